#ifndef HYSSOPLOFT_LIBCONTROL_FLEET_CONTROL_HPP
#define HYSSOPLOFT_LIBCONTROL_FLEET_CONTROL_HPP

// The control thread of a VM whose fleet is not declared: VMs find each other
// through seeds and report to every control VM, which answers with what
// changed. On a control VM it also owns the replica of the log. Other threads
// read published snapshots and post requests.

#include <LibControl/manifest_store.hpp>
#include <LibControl/proposal_client.hpp>
#include <LibControl/replica_driver.hpp>
#include <LibCore/clock.hpp>
#include <LibCore/random_source.hpp>
#include <LibFleet/load_table.hpp>
#include <LibFleet/peer_loads.hpp>
#include <LibFleet/traffic_view.hpp>
#include <LibFleet/upstream_table.hpp>
#include <LibFleet/view_merger.hpp>
#include <LibFleet/vm_table.hpp>
#include <LibManifest/manifest_codec.hpp>
#include <LibRate/credit_lender.hpp>
#include <LibRate/credit_pool.hpp>
#include <LibRate/loan_search.hpp>
#include <LibRate/share_allocator.hpp>
#include <LibRate/share_holder.hpp>
#include <LibWire/peer_transport.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace hyssoploft::control {

struct fleet_options
{
    std::string vm; ///< IP address: peers reach it at the peer port.
    std::string region;
    std::string data_center;
    std::string entry_address;   ///< Empty: takes no callers.
    std::string relay_address;   ///< Empty: takes no calls of other VMs.
    std::string control_address; ///< Empty: takes no operators.
    std::string peer_address;
    std::vector<std::string> seeds; ///< VMs; they are control VMs.
    std::string data_dir;           ///< Empty: no replica.
    bool first_start = false;       ///< Of the whole fleet: may found a log.
    std::size_t max_voters = 5;
    /// Credit of each account above its burst, over all VMs, in tokens.
    double extra_burst_tokens = 0;
    wire::fleet_keys keys;
    std::uint64_t incarnation = 0; ///< Differs in each process.
};

class fleet_control final : public fleet::traffic_source,
                            public rate::credit_lender,
                            public replica_environment,
                            public fleet_source
{
public:
    /// Opens sockets and the data directory. Errors of the transport and of
    /// the storage.
    static absl::StatusOr<std::shared_ptr<fleet_control>> create(
        const fleet_options& options,
        std::shared_ptr<const manifest::manifest_codec> codec,
        std::shared_ptr<core::clock> clock,
        std::shared_ptr<core::random_source> random);

    ~fleet_control() override;

    /// Starts the control thread.
    void start();

    /// The newest snapshot; never null. Callable from any thread, as are the
    /// functions below; handlers run on the control thread.
    std::shared_ptr<const fleet::traffic_view> view() const override;

    using status_handler = std::function<void(absl::Status)>;

    /// Puts a document in force. INVALID_ARGUMENT if it breaks a rule;
    /// UNAVAILABLE if it is certain not to be in the log, DEADLINE_EXCEEDED
    /// if it may get there. A document that was overtaken is accepted.
    void put_manifest(std::string document, status_handler done);

    using document_handler = std::function<void(absl::StatusOr<std::string>)>;
    /// The newest document as it was sent. UNAVAILABLE if this VM can't be
    /// sure which one that is, NOT_FOUND before the first one.
    void read_manifest(document_handler done);

    /// Errors as put_manifest().
    void
    set_evacuation(std::string data_center, bool active, status_handler done);

    /// An upstream announced itself, or leaves. Only on a control VM.
    void announce(fleet::upstream_row row);
    void leave(std::string upstream);

    /// Calls of this VM, for the next reports.
    void set_loads(std::vector<fleet::load_row> loads) override;

    /// Asks the grantors for credit of an account.
    void borrow(
        const std::string& account, double tokens, loan_handler done) override;

    void set_ready(bool ready)
    {
        ready_ = ready;
    }

    /// This VM takes no new work and will stop; gives up leadership.
    void begin_leaving();

    /// Seeds of a changed settings file.
    void set_seeds(std::vector<std::string> seeds);

    std::shared_ptr<rate::share_holder> rates()
    {
        return holder_;
    }

    /// Set when the disk failed and the process has to end.
    bool failed() const
    {
        return failed_;
    }

private:
    struct sync_peer
    {
        bool pending = false;
        bool again = false; // Something changed while a request was pending.
        core::time_point next{};
    };

    fleet_control(
        const fleet_options& options,
        std::shared_ptr<const manifest::manifest_codec> codec,
        std::shared_ptr<core::clock> clock,
        std::shared_ptr<core::random_source> random);

    absl::Status open();
    void schedule_tick();
    void tick();

    // replica_environment
    void
    send_consensus(const std::string& vm, const std::string& bytes) override;
    void resources_changed() override {}
    void manifest_changed() override;
    void role_changed(bool leader, std::uint64_t term) override;
    void storage_failed(const absl::Status& status) override;

    // fleet_source
    std::shared_ptr<const membership::fleet_view> fleet_now() override;

    void on_message(const wire::incoming_message& it);
    void on_propose(const wire::incoming_message& it);

    // Exchange with control VMs (fleet_control_sync.cpp).
    void sync_peers();
    void sync_with(const std::string& vm);
    void on_answer(const std::string& vm, const fleet::sync_answer& it);
    void serve_sync(const wire::incoming_message& it);
    fleet::sync_answer
    make_answer(const fleet::sync_request& it, core::time_point now);
    fleet::sync_request make_request(const std::string& vm);
    void on_notice(const wire::incoming_message& it);
    void notify_all(bool upstreams);
    fleet::vm_row own_row() const;
    std::set<std::string> control_vms() const;
    std::string peer_address_of(const std::string& vm) const;
    void send_hello();

    // Loads within the region (fleet_control_loads.cpp).
    /// The control VM of this region that sums loads; empty: none is alive.
    std::string load_hub() const;
    void send_loads(
        const std::vector<fleet::load_row>& loads,
        const std::vector<std::string>& to);
    void announce_loads();
    void announce_sums();
    void on_load_notice(const wire::incoming_message& it);
    void fill_loads(fleet::traffic_view& out, core::time_point now);

    // Credit of accounts (fleet_control_credit.cpp).
    struct running_loan;
    std::uint32_t grantors_now(core::time_point now);
    void return_credit(
        const fleet::sync_request& it, const rate::share_grant& granted,
        core::time_point now);
    void
    start_loan(const std::string& account, double tokens, loan_handler done);
    void ask_round(const std::shared_ptr<running_loan>& it);
    void finish_loan(const running_loan& it);
    void serve_loan(const wire::incoming_message& it);

    // Publication (fleet_control_view.cpp).
    void rebuild_view();
    void publish();
    void install_manifest(std::uint64_t version, const std::string& packed);
    void install_evacuations(
        std::uint64_t revision, const std::set<std::string>& evacuated);
    void install_rates();
    void count_entry_vms(core::time_point now);

    // Operators' calls (fleet_control_calls.cpp).
    void propose_manifest(
        std::uint64_t version, std::string packed, status_handler done);
    void finish_read(
        const manifest_status& wanted, core::time_point until,
        document_handler done);

    const fleet_options options_;
    std::shared_ptr<const manifest::manifest_codec> codec_;
    std::shared_ptr<core::clock> clock_;
    std::shared_ptr<core::random_source> random_;

    boost::asio::io_context io_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        work_{io_.get_executor()};
    boost::asio::steady_timer tick_timer_{io_};
    std::unique_ptr<wire::peer_transport> transport_;
    std::unique_ptr<replica_driver> replica_; // Null without a data directory.
    std::unique_ptr<proposal_client> proposals_;
    std::shared_ptr<rate::share_holder> holder_;

    // Tables of a control VM; their changes share one counter.
    std::uint64_t epoch_ = 0; // Never 0 after open().
    std::uint64_t changes_ = 0;
    fleet::vm_table vms_{changes_};
    fleet::upstream_table upstreams_{changes_};
    fleet::load_table loads_;
    std::unique_ptr<rate::share_allocator> allocator_;
    std::unique_ptr<rate::credit_pool> pool_; // Null without a replica.
    /// Accounts that no grantor lent anything for, and until when that holds.
    std::map<std::string, core::time_point> no_loan_until_;
    core::time_point started_{};
    /// Numbers of voters that held lately, and when each one held last.
    std::map<std::uint32_t, core::time_point> voter_counts_;

    std::vector<std::string> seeds_;         // VMs.
    std::map<std::string, sync_peer> peers_; // By VM.
    fleet::view_merger merger_;
    core::time_point loads_at_{}; // When merger_ got loads of other VMs.
    fleet::load_announcer announcer_;
    /// On a hub of each entry VM of the region, elsewhere of the hub.
    fleet::peer_loads peer_loads_;
    std::string heard_hub_; // Whose sums peer_loads_ holds.
    core::time_point next_notice_{};
    core::time_point next_load_publish_{};
    std::shared_ptr<membership::fleet_view> fleet_; // Never null.
    std::uint64_t manifest_version_ = 0;
    std::string packed_; // Document of manifest_version_.
    std::shared_ptr<const manifest::route_table> routes_;
    std::uint64_t evacuation_revision_ = 0;
    std::set<std::string> evacuated_;
    std::map<std::string, core::time_point> entry_vms_; // Seen lately.
    core::time_point next_hello_{};
    core::time_point next_build_{};
    bool changed_ = true; // Since the last publish().

    mutable std::mutex published_mutex_; // Guards the two members below.
    std::shared_ptr<const fleet::traffic_view> published_;
    std::vector<fleet::load_row> own_loads_;

    std::atomic<bool> ready_{false};
    std::atomic<bool> leaving_{false};
    std::atomic<bool> failed_{false};
    std::thread thread_;
};

} // namespace hyssoploft::control

#endif
