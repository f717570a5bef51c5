#ifndef HYSSOPLOFT_SERVICES_HYSSOPLOFT_FLEET_PROCESS_HPP
#define HYSSOPLOFT_SERVICES_HYSSOPLOFT_FLEET_PROCESS_HPP

// One VM's process on the users' platform: wires the control thread, the relay
// of calls and the platform's interfaces together, and shuts them down in
// order.

#include <platform/vm_settings.hpp>

#include <LibControl/fleet_control.hpp>
#include <LibHttp/http_server.hpp>
#include <LibHttp/traffic_thread.hpp>
#include <LibRelay/leave_sequence.hpp>
#include <LibRelay/relay_services.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <memory>
#include <string>
#include <vector>

namespace hyssoploft::service {

struct fleet_process_options
{
    std::string settings_path;      ///< The platform's settings file.
    std::string fleet_key;          ///< Signs messages between VMs.
    std::uint16_t metrics_port = 0; ///< 0: no metrics.
    double hedge_share = 0;         ///< See relay_services.
};

class fleet_process
{
public:
    /// Opens everything. Errors of the settings, the control thread and the
    /// servers.
    static absl::StatusOr<std::unique_ptr<fleet_process>>
    create(const fleet_process_options& options);

    ~fleet_process();

    /// Serves until SIGTERM, SIGINT or a failure of the disk. Returns the
    /// exit code: 0 after an orderly shutdown.
    int run();

private:
    fleet_process();

    absl::Status open(const fleet_process_options& options);
    void set_answer_budget();
    void open_accounts();
    absl::Status open_control();
    absl::Status open_entry();
    absl::Status add_server(
        const std::string& address,
        std::shared_ptr<http::request_handler> handler,
        std::shared_ptr<core::memory_account> account,
        std::shared_ptr<http::http_server>* out = nullptr);
    bool is_ready() const;
    /// Requests that were read and are not answered, also those that wait for
    /// credit or are being refused.
    std::size_t open_requests() const;
    void wait_for_signal();
    void schedule();
    void step();
    void schedule_traffic();
    void reload_if_changed(bool forced);
    void start_leaving();

    fleet_process_options options_;
    platform::vm_settings settings_;
    std::shared_ptr<core::clock> clock_;
    std::shared_ptr<core::random_source> random_;
    core::system_random traffic_random_; // Of the traffic thread.
    telemetry::metrics metrics_;
    boost::asio::io_context io_{1};
    boost::asio::signal_set signals_{io_};
    boost::asio::steady_timer timer_{io_};
    std::shared_ptr<control::fleet_control> control_;
    std::shared_ptr<relay::relay_services> relay_; // Null without callers.
    std::shared_ptr<http::traffic_thread> traffic_;
    std::unique_ptr<boost::asio::steady_timer> traffic_timer_;
    core::time_point next_traffic_tick_{};
    // Of traffic_; both null if the settings state no limits.
    std::shared_ptr<core::memory_account> account_;
    std::shared_ptr<core::memory_account> peer_account_;
    std::vector<std::shared_ptr<http::http_server>> servers_;
    std::shared_ptr<http::http_server> entry_server_;
    std::shared_ptr<http::http_server> relay_server_;
    std::int64_t settings_changed_ = 0; // Modification time of the file.
    std::atomic<bool> leaving_{false};  // Read by the traffic thread.
    std::unique_ptr<relay::leave_sequence> leave_; // Never null after open().
    int exit_code_ = 0;
    bool stopped_ = false;
};

} // namespace hyssoploft::service

#endif
