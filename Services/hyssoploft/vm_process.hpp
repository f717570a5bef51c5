#ifndef HYSSOPLOFT_SERVICES_HYSSOPLOFT_VM_PROCESS_HPP
#define HYSSOPLOFT_SERVICES_HYSSOPLOFT_VM_PROCESS_HPP

// One VM's process: wires the control thread, the gateway and the servers
// together, and shuts them down in order.

#include "settings.hpp"

#include <LibControl/admin_handler.hpp>
#include <LibControl/control_plane.hpp>
#include <LibGateway/gateway.hpp>
#include <LibHttp/http_server.hpp>
#include <LibHttp/traffic_thread.hpp>
#include <LibTelemetry/span_exporter.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <memory>
#include <vector>

namespace hyssoploft::service {

class vm_process
{
public:
    /// Opens everything. Errors of the control plane, of the servers and of
    /// the trace file.
    static absl::StatusOr<std::unique_ptr<vm_process>>
    create(const settings& from);

    ~vm_process();

    /// Serves until SIGTERM, SIGINT, a drain request or a failure of the
    /// disk. Returns the exit code: 0 after an orderly shutdown.
    int run();

private:
    enum class phase
    {
        serving,
        leaving,  // Out of the directory; still takes requests.
        draining, // Takes none; finishes what runs.
        stopped
    };

    vm_process();

    absl::Status open(const settings& from);
    std::unique_ptr<gateway::gateway_services> make_services(
        const settings& from, std::shared_ptr<telemetry::span_sink> spans);
    gateway::decision_modules make_modules(const settings& from);
    void schedule();
    void step();
    void start_leaving();
    bool is_idle() const;

    std::shared_ptr<core::clock> clock_;
    std::shared_ptr<core::random_source> random_;
    core::system_random router_random_; // Outlives the decision modules.
    telemetry::metrics metrics_;
    boost::asio::io_context io_{1};
    boost::asio::signal_set signals_{io_};
    boost::asio::steady_timer timer_{io_};
    std::shared_ptr<control::control_plane> control_;
    std::shared_ptr<gateway::gateway> gateway_;
    std::vector<std::shared_ptr<http::traffic_thread>> threads_;
    std::shared_ptr<http::traffic_thread> admin_thread_;
    std::shared_ptr<http::http_server> server_;
    std::shared_ptr<http::http_server> admin_server_;
    phase phase_ = phase::serving;
    core::time_point phase_since_{};
    std::atomic<bool> drain_requested_{false};
    int exit_code_ = 0;
};

} // namespace hyssoploft::service

#endif
