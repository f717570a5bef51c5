#ifndef HYSSOPLOFT_LIBCONTROL_FLEET_CONTROL_HPP
#define HYSSOPLOFT_LIBCONTROL_FLEET_CONTROL_HPP

// The control thread of a VM in a fleet without declared membership. VMs
// discover each other through seeds and report to every control VM, which
// answers with the changes since the last report. On a control VM the thread
// also owns the replica of the log. Other threads read published snapshots and
// post requests.

#include <LibControl/evacuation_orders.hpp>
#include <LibControl/manifest_store.hpp>
#include <LibControl/proposal_client.hpp>
#include <LibControl/replica_driver.hpp>
#include <LibControl/upstream_departures.hpp>
#include <LibCore/clock.hpp>
#include <LibCore/random_source.hpp>
#include <LibFleet/leaving_upstreams.hpp>
#include <LibFleet/load_aggregation.hpp>
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
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace hyssoploft::control {

struct fleet_options
{
    std::string vm; ///< IP address; peers connect to its peer port.
    std::string region;
    std::string data_center;
    std::string entry_address;   ///< Empty: does not serve callers.
    std::string relay_address;   ///< Empty: accepts no relayed calls.
    std::string control_address; ///< Empty: no operator interface.
    std::string peer_address;
    std::vector<std::string> seeds; ///< Control VMs.
    std::string data_dir;           ///< Empty: no replica.
    bool first_start = false;       ///< Of the fleet: may bootstrap a log.
    std::size_t max_voters = 5;
    /// Credit of each account beyond its burst, summed over all VMs.
    double extra_burst_tokens = 0;
    wire::fleet_keys keys;
    std::uint64_t incarnation = 0; ///< Differs in each process.
};

class fleet_control final : public fleet::traffic_source,
                            public fleet::suspect_sink,
                            public fleet::leave_sink,
                            public rate::credit_lender,
                            public evacuation_log,
                            public departure_log,
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

    /// Replicates a manifest. INVALID_ARGUMENT if validation fails;
    /// UNAVAILABLE if the document is certainly not in the log,
    /// DEADLINE_EXCEEDED if it may still be committed. OK if a manifest of the
    /// same or a higher version is already in force.
    void put_manifest(std::string document, status_handler done);

    using document_handler = std::function<void(absl::StatusOr<std::string>)>;
    /// The newest document as it was sent; a linearizable read. UNAVAILABLE
    /// if the newest version can't be determined, NOT_FOUND if there is none.
    void read_manifest(document_handler done);

    // evacuation_log
    void read_evacuation_order(
        std::string data_center, revision_handler done) override;
    void
    change_evacuation(evacuation_change change, change_handler done) override;

    /// Records that an upstream registered. Only on a control VM.
    void announce(fleet::upstream_row row);

    // departure_log; only on a control VM.
    void find_departing(
        std::string upstream, std::uint64_t unix_ms,
        incarnation_handler done) override;
    void record_departure(fleet::departure it, record_handler done) override;

    /// Sets the load of this VM that the next reports carry.
    void set_loads(std::vector<fleet::load_row> loads) override;

    // suspect_sink
    void report_crash(
        std::uint64_t upstream, std::vector<std::uint64_t> parts,
        core::time_point at) override;
    void report_answer(std::uint64_t part, core::time_point at) override;

    // leave_sink
    void report_leaving(
        const std::string& upstream, std::uint64_t incarnation,
        core::time_point at) override;

    /// Requests credit of an account from the grantors.
    void borrow(
        const std::string& account, double tokens, loan_handler done) override;

    void set_ready(bool ready)
    {
        ready_ = ready;
    }

    /// Marks this VM as leaving, so that it gets no new work, and transfers
    /// leadership.
    void begin_leaving();

    /// Replaces the seeds after the settings file changed.
    void set_seeds(std::vector<std::string> seeds);

    std::shared_ptr<rate::share_holder> rates()
    {
        return share_holder_;
    }

    /// Departures of upstreams at a control VM.
    struct departure_counts
    {
        std::uint64_t kept = 0;
        std::uint64_t forgotten = 0;  ///< Since the start, for lack of room.
        std::uint64_t unrecorded = 0; ///< Not acknowledged since the start.
    };
    departure_counts departures() const
    {
        return {
            kept_departures_, forgotten_departures_, unrecorded_departures_};
    }

    /// Whether the replica waits for space on its disk.
    bool is_disk_full() const
    {
        return disk_full_;
    }

    /// Set when the disk failed and the process has to end.
    bool failed() const
    {
        return failed_;
    }

private:
    struct sync_peer
    {
        bool request_pending = false;
        bool resync_requested =
            false; // State changed while a request was pending.
        core::time_point next_sync{};
    };

    fleet_control(
        const fleet_options& options,
        std::shared_ptr<const manifest::manifest_codec> codec,
        std::shared_ptr<core::clock> clock,
        std::shared_ptr<core::random_source> random);

    absl::Status open();
    void schedule_tick();
    void tick();
    void detect_pause(core::time_point now);

    // replica_environment
    void
    send_consensus(const std::string& vm, const std::string& bytes) override;
    void resources_changed() override {}
    void manifest_changed() override;
    void departures_changed() override;
    void role_changed(bool leader, std::uint64_t term) override;
    void disk_full_changed(bool full) override
    {
        disk_full_ = full;
    }
    void storage_failed(const absl::Status& status) override;

    // fleet_source
    std::shared_ptr<const membership::fleet_view> current_fleet() override;

    void on_message(const wire::incoming_message& it);
    void on_propose(const wire::incoming_message& it);

    // Exchange with control VMs (fleet_control_sync.cpp).
    void sync_peers();
    void sync_with(const std::string& vm);
    core::duration sync_interval_with(const std::string& vm) const;
    void on_sync_answer(
        const std::string& vm, const fleet::sync_reply& it,
        core::time_point requested_at);
    void serve_sync(const wire::incoming_message& it);
    fleet::sync_reply
    make_sync_answer(const fleet::sync_request& it, core::time_point now);
    fleet::sync_request make_sync_request(const std::string& vm);
    void on_fleet_notice(const wire::incoming_message& it);
    void send_fleet_notices(bool upstreams);
    fleet::vm_row own_vm_row() const;
    std::set<std::string> control_vms() const;
    std::string peer_address_of(const std::string& vm) const;
    void send_hello();

    // Load reports within the region (fleet_control_loads.cpp).
    void send_loads(
        const std::vector<fleet::load_notice>& notices,
        const std::vector<std::string>& to);
    void send_own_loads();
    void send_load_sums();
    void on_load_notice(const wire::incoming_message& it);
    void fill_loads(fleet::traffic_view& out, core::time_point now);
    /// The sender of the published sums fell silent.
    bool sums_are_outdated(core::time_point now) const;

    // Prompt parts under which upstreams crashed (fleet_control_suspects.cpp).
    void on_suspect_notice(const wire::incoming_message& it);
    void update_suspects();
    void publish_suspects();
    void send_suspects(core::time_point now);
    std::vector<std::string> suspect_recipients() const;

    // Upstreams that leave (fleet_control_leaving.cpp).
    void
    apply_departure(const fleet::departure& it, const std::string& seen_by);
    void on_leave_notice(const wire::incoming_message& it);
    void update_leaving();
    void send_leaving(core::time_point now);

    // Account credit (fleet_control_credit.cpp).
    struct pending_loan;
    std::uint32_t update_grantor_count(core::time_point now);
    void return_credit(
        const fleet::sync_request& it, const rate::share_grant& granted,
        core::time_point now);
    void
    start_loan(const std::string& account, double tokens, loan_handler done);
    void send_loan_requests(const std::shared_ptr<pending_loan>& it);
    void finish_loan(const pending_loan& it);
    void serve_loan(const wire::incoming_message& it);

    // Published snapshots (fleet_control_view.cpp).
    void rebuild_view();
    void publish();
    void install_manifest(std::uint64_t version, const std::string& packed);
    void install_evacuations(
        std::uint64_t revision, const std::set<std::string>& evacuated);
    void install_rates();
    void update_recent_entry_vms(core::time_point now);

    // Operator requests (fleet_control_calls.cpp).
    void propose_manifest(
        std::uint64_t version, std::string packed, status_handler done);
    void finish_read(
        const manifest_status& committed, core::time_point deadline,
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
    std::shared_ptr<rate::share_holder> share_holder_;

    // Tables of a control VM, versioned by one change counter.
    std::uint64_t epoch_ = 0; // Of this process; not 0 after open().
    std::uint64_t change_counter_ = 0;
    fleet::vm_table vms_{change_counter_};
    fleet::upstream_table upstreams_{change_counter_};
    fleet::load_table loads_;
    std::unique_ptr<rate::share_allocator> allocator_;
    std::unique_ptr<rate::credit_pool> credit_pool_; // Null without a replica.
    /// Accounts that every grantor refused credit for, and until when no new
    /// request is sent.
    std::map<std::string, core::time_point> loan_refused_until_;
    rate::silent_grantors silent_grantors_;
    core::time_point started_{};
    /// Recent numbers of voters, and when each was last current.
    std::map<std::uint32_t, core::time_point> recent_voter_counts_;

    fleet::crash_suspects suspects_;     // What this VM knows.
    fleet::crash_suspects own_suspects_; // What it observed itself.
    bool suspects_changed_ = false;      // Since publish_suspects().
    std::uint64_t sent_suspect_change_ = 0;
    core::time_point next_suspect_notice_{};
    core::time_point next_suspect_refresh_{};
    /// Never null.
    std::shared_ptr<const fleet::suspect_parts> suspect_states_ =
        std::make_shared<fleet::suspect_parts>();

    /// Number of the last departure of the log that upstreams_ has.
    std::uint64_t applied_departure_ = 0;
    fleet::leaving_upstreams own_leaving_; // Seen by this VM itself.
    core::time_point next_leave_notice_{};

    std::vector<std::string> seeds_;         // VMs.
    std::map<std::string, sync_peer> peers_; // By VM.
    fleet::view_merger merger_;
    fleet::load_notice_builder announcer_;      // Of this VM's loads.
    fleet::load_notice_builder sums_announcer_; // Of the region's sums.
    /// On a control VM the loads of each entry VM of the region, on other VMs
    /// the sums of each aggregator.
    fleet::peer_load_table peer_loads_;
    std::string sums_sender_; // Of the published sums; empty: none.
    /// Null without a replica.
    std::unique_ptr<fleet::load_aggregation> aggregation_;
    core::time_point next_load_notice_{};
    core::time_point next_load_sums_{};
    core::time_point next_load_publish_{};
    std::shared_ptr<membership::fleet_view> fleet_; // Never null.
    std::uint64_t manifest_version_ = 0;
    std::string packed_manifest_; // Of manifest_version_.
    core::time_point manifest_installed_at_{};
    std::shared_ptr<const manifest::route_table> routes_;
    std::uint64_t evacuation_revision_ = 0;
    std::set<std::string> evacuated_;
    std::map<std::string, core::time_point> recent_entry_vms_; // Last seen.
    core::time_point next_hello_{};
    core::time_point next_view_rebuild_{};
    core::time_point last_tick_{};
    /// End of the process's last pause; no value once a control VM answered a
    /// later request, or none did in time.
    std::optional<core::time_point> resumed_at_;
    bool view_changed_ = true; // Since the last publish().

    mutable std::mutex published_mutex_; // Guards the two members below.
    std::shared_ptr<const fleet::traffic_view> published_;
    std::vector<fleet::load_row> own_loads_;

    std::atomic<bool> ready_{false};
    std::atomic<bool> leaving_{false};
    std::atomic<bool> disk_full_{false};
    std::atomic<std::uint64_t> kept_departures_{0};
    std::atomic<std::uint64_t> forgotten_departures_{0};
    std::atomic<std::uint64_t> unrecorded_departures_{0};
    std::atomic<bool> failed_{false};
    std::thread thread_;
};

} // namespace hyssoploft::control

#endif
