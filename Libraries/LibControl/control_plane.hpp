#ifndef HYSSOPLOFT_LIBCONTROL_CONTROL_PLANE_HPP
#define HYSSOPLOFT_LIBCONTROL_CONTROL_PLANE_HPP

// The control thread of a VM in a fleet with declared membership: owns the
// transport, the membership, the configuration, and on a control VM the replica
// of the log. Other threads read published snapshots and post requests.

#include <LibControl/config_feed.hpp>
#include <LibControl/lease_driver.hpp>
#include <LibControl/ledger_service.hpp>
#include <LibControl/proposal_client.hpp>
#include <LibControl/replica_driver.hpp>
#include <LibCore/clock.hpp>
#include <LibCore/random_source.hpp>
#include <LibGateway/control_view.hpp>
#include <LibMembership/fleet_member.hpp>
#include <LibResource/admin_api.hpp>
#include <LibTelemetry/metrics.hpp>
#include <LibWire/peer_transport.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace hyssoploft::control {

struct control_options
{
    std::string vm;
    std::string region;
    std::string data_center;
    std::string http_address;
    std::string peer_address;
    std::vector<std::string> seeds;          ///< Peer addresses.
    std::string data_dir;                    ///< Empty: no replica.
    std::vector<std::string> initial_voters; ///< VMs of a new cluster.
    wire::fleet_keys keys;
    std::uint64_t incarnation = 0; ///< Higher at each start.
};

class control_plane final : public gateway::control_view,
                            public replica_environment,
                            public fleet_source
{
public:
    /// Opens sockets and the data directory. Errors of the transport and of
    /// the storage.
    static absl::StatusOr<std::unique_ptr<control_plane>> create(
        const control_options& options, std::shared_ptr<core::clock> clock,
        std::shared_ptr<core::random_source> random,
        telemetry::metrics& metrics);

    ~control_plane() override;

    /// Starts the control thread.
    void start();

    // control_view: callable from any thread.
    std::shared_ptr<const resource::configuration>
    configuration() const override;
    std::shared_ptr<const membership::fleet_view> fleet() const override;
    bool is_withdrawn(const std::string& key_digest) const override;
    void announce(membership::upstream_record record) override;
    void report_load(
        const std::string& upstream, membership::load_report report) override;
    void leave(
        const std::string& upstream, std::uint64_t incarnation,
        leave_handler done) override;
    void set_overloaded(bool overloaded) override;

    /// For the gateway; both live as long as this object.
    std::shared_ptr<rate::lease_holder> rates()
    {
        return lease_holder_;
    }

    ledger::ledger_client& ledger()
    {
        return *ledger_service_;
    }

    // Operator requests: callable from any thread; handlers run on the control
    // thread.
    using apply_handler =
        std::function<void(absl::StatusOr<resource::apply_result>)>;
    void apply(resource::change_batch batch, apply_handler done);

    /// The result that apply() would have; UNAVAILABLE on a VM without a
    /// replica.
    void dry_run(resource::change_batch batch, apply_handler done);

    using withdraw_handler =
        std::function<void(absl::StatusOr<resource::withdraw_response>)>;
    void withdraw(resource::withdraw_request request, withdraw_handler done);

    using status_handler = std::function<void(resource::status_response)>;
    void status(status_handler done);

    using watch_handler = std::function<void(resource::watch_response)>;
    /// Long poll: calls `done` with the changes after `from` as soon as there
    /// are any, or without changes after watch_wait.
    void watch(std::uint64_t from, watch_handler done);

    /// Leaves the membership, transfers leadership and returns the leases.
    void begin_leaving();

    /// Set when the disk failed and the process has to end.
    bool failed() const
    {
        return failed_;
    }

    /// True once this VM has received a configuration.
    bool has_configuration() const
    {
        return configuration()->version > 0;
    }

    /// Records that must be finished or abandoned before the process may end.
    std::size_t unsettled() const
    {
        return ledger_service_->unsettled();
    }

    bool leads() const
    {
        return is_leader_;
    }

    static constexpr std::chrono::seconds watch_wait{10};

private:
    struct pending_watch
    {
        std::uint64_t from = 0;
        core::time_point deadline{};
        watch_handler done;
    };

    control_plane(
        const control_options& options, std::shared_ptr<core::clock> clock,
        std::shared_ptr<core::random_source> random,
        telemetry::metrics& metrics);

    absl::Status open();

    // replica_environment
    void
    send_consensus(const std::string& vm, const std::string& bytes) override;
    void resources_changed() override;
    void departures_changed() override
    {
        apply_departures();
    }
    void role_changed(bool leader, std::uint64_t term) override;
    void storage_failed(const absl::Status& status) override;

    // fleet_source
    std::shared_ptr<const membership::fleet_view> current_fleet() override;

    void schedule_tick();
    void tick();
    void run_every_second();
    void on_message(const wire::incoming_message& it);
    void on_membership(const wire::incoming_message& it);
    void on_propose(const wire::incoming_message& it);
    void flush_membership();
    void write_audit();
    void send_hello();
    /// Marks upstreams as leaving whose departure is in the log, whenever this
    /// VM hears of them.
    void apply_departures();
    void commit_withdrawals();
    void configuration_installed();
    void publish_fleet();
    void publish_withdrawals();
    void answer_watches();
    resource::watch_response make_watch_response(std::uint64_t from) const;
    resource::status_response make_status();
    void update_metrics();

    const control_options options_;
    std::shared_ptr<core::clock> clock_;
    std::shared_ptr<core::random_source> random_;
    telemetry::metrics& metrics_;

    boost::asio::io_context io_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        work_{io_.get_executor()};
    boost::asio::steady_timer tick_timer_{io_};
    std::unique_ptr<wire::peer_transport> transport_;
    std::unique_ptr<membership::fleet_member> fleet_member_;
    std::unique_ptr<config_feed> config_feed_;
    std::unique_ptr<replica_driver> replica_; // Null without a data directory.
    std::unique_ptr<proposal_client> proposals_;
    std::shared_ptr<rate::lease_holder> lease_holder_;
    std::unique_ptr<lease_driver> lease_driver_;
    std::unique_ptr<ledger_service> ledger_service_;
    std::vector<pending_watch> watches_; // At most max_watches.
    core::time_point next_second_{};
    std::uint64_t audited_sequence_ = 0; // Last audit entry written to the log.
    bool committing_withdrawals_ = false;

    mutable std::mutex published_mutex_; // Guards the three pointers.
    std::shared_ptr<const resource::configuration> published_configuration_;
    std::shared_ptr<const membership::fleet_view> published_fleet_;
    std::shared_ptr<const std::set<std::string>> published_withdrawn_;

    std::atomic<bool> failed_{false};
    std::atomic<bool> is_leader_{false};
    std::thread thread_;
};

} // namespace hyssoploft::control

#endif
