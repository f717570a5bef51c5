// Start and shutdown of one VM.

#include "vm_process.hpp"

#include <LibAdmission/fair_admission.hpp>
#include <LibAdmission/fifo_admission.hpp>
#include <LibCore/log_line.hpp>
#include <LibRetry/budgeted_retry_policy.hpp>
#include <LibRouting/expected_time_router.hpp>
#include <LibRouting/least_in_flight_router.hpp>
#include <LibRouting/round_robin_router.hpp>

#include <glog/logging.h>

#include <csignal>
#include <utility>

namespace hyssoploft::service {

namespace {

constexpr std::chrono::milliseconds step_interval{50};
/// Time for the news that this VM leaves to reach the others and callers that
/// refresh their list.
constexpr std::chrono::seconds leaving_time{2};
/// Bound on waiting for order records that can't be committed.
constexpr std::chrono::seconds settle_time{30};

} // namespace

absl::StatusOr<std::unique_ptr<vm_process>>
vm_process::create(const settings& from)
{
    std::unique_ptr<vm_process> it(new vm_process);
    const auto status = it->open(from);
    if (!status.ok())
    {
        return status;
    }
    return it;
}

vm_process::vm_process()
    : clock_(std::make_shared<core::system_clock>()),
      random_(std::make_shared<core::system_random>())
{}

vm_process::~vm_process()
{
    // Sessions use the control plane and the gateway: their threads end first.
    for (const auto& it : threads_)
    {
        it->stop();
    }
    if (admin_thread_)
    {
        admin_thread_->stop();
    }
}

absl::Status vm_process::open(const settings& from)
{
    auto options = from.control;
    // Higher at each start as long as the clock does not jump back.
    options.incarnation = clock_->unix_nanoseconds() / 1'000'000;
    auto control =
        control::control_plane::create(options, clock_, random_, metrics_);
    if (!control.ok())
    {
        return control.status();
    }
    control_ = *std::move(control);

    std::shared_ptr<telemetry::span_sink> spans =
        std::make_shared<telemetry::null_span_sink>();
    if (!from.trace_file.empty())
    {
        auto exporter = telemetry::span_file_exporter::create(
            from.trace_file, "hyssoploft", from.control.vm);
        if (!exporter.ok())
        {
            return exporter.status();
        }
        spans = *std::move(exporter);
    }
    gateway_ = std::make_shared<gateway::gateway>(
        make_services(from, std::move(spans)));
    for (std::uint32_t n = 0; n < from.traffic_threads; ++n)
    {
        threads_.push_back(std::make_shared<http::traffic_thread>());
    }
    admin_thread_ = std::make_shared<http::traffic_thread>();
    auto server = http::http_server::create(
        {from.control.http_address, from.max_connections}, threads_, gateway_);
    if (!server.ok())
    {
        return server.status();
    }
    server_ = *std::move(server);
    const auto admin = std::make_shared<control::admin_handler>(
        *control_, from.operator_token, clock_,
        [this] {
            drain_requested_ = true;
        },
        [this] {
            return gateway_->pending();
        });
    auto admin_server = http::http_server::create(
        {from.admin_address, 256}, {admin_thread_}, admin);
    if (!admin_server.ok())
    {
        return admin_server.status();
    }
    admin_server_ = *std::move(admin_server);
    return absl::OkStatus();
}

std::unique_ptr<gateway::gateway_services> vm_process::make_services(
    const settings& from, std::shared_ptr<telemetry::span_sink> spans)
{
    auto out = std::make_unique<gateway::gateway_services>();
    out->self.id = from.control.vm;
    out->self.region = from.control.region;
    out->self.data_center = from.control.data_center;
    out->self.fleet_keys = {from.fleet_key};
    if (!from.other_fleet_key.empty())
    {
        out->self.fleet_keys.push_back(from.other_fleet_key);
    }
    out->control = control_;
    out->ledger =
        std::shared_ptr<ledger::ledger_client>(control_, &control_->ledger());
    out->random = random_;
    out->spans = std::move(spans);
    out->metrics = &metrics_;
    out->keys = std::make_unique<gateway::authenticator>(from.key_hash_secret);
    out->upstream_token = from.upstream_token;
    out->dispatch = std::make_shared<gateway::dispatcher>(
        make_modules(from), control_, clock_, random_, metrics_);
    return out;
}

gateway::decision_modules vm_process::make_modules(const settings& from)
{
    gateway::decision_modules out;
    switch (from.router)
    {
    case router_kind::expected_time:
        out.router = std::make_unique<routing::expected_time_router>(
            routing::expected_time_settings{}, router_random_);
        break;
    case router_kind::round_robin:
        out.router = std::make_unique<routing::round_robin_router>();
        break;
    case router_kind::least_in_flight:
        out.router = std::make_unique<routing::least_in_flight_router>();
        break;
    }
    if (from.admission == admission_kind::fair)
    {
        out.admission = std::make_unique<admission::fair_admission>();
    }
    else
    {
        out.admission = std::make_unique<admission::fifo_admission>();
    }
    out.retries = std::make_unique<retry::budgeted_retry_policy>(
        retry::retry_settings{}, router_random_);
    out.rates = control_->rates();
    return out;
}

int vm_process::run()
{
    signals_.add(SIGTERM);
    signals_.add(SIGINT);
    signals_.async_wait([this](const boost::system::error_code& ec, int) {
        if (!ec)
        {
            drain_requested_ = true;
        }
    });
    control_->start();
    server_->start();
    admin_server_->start();
    LOG(INFO) << core::log_line("serving").with("vm", control_->fleet()->self);
    schedule();
    io_.run();
    return exit_code_;
}

void vm_process::schedule()
{
    timer_.expires_after(step_interval);
    timer_.async_wait([this](const boost::system::error_code& ec) {
        if (ec)
        {
            return;
        }
        step();
        if (phase_ == phase::stopped)
        {
            io_.stop();
            return;
        }
        schedule();
    });
}

void vm_process::step()
{
    gateway_->tick();
    const auto now = clock_->now();
    if (control_->failed())
    {
        // Without its disk this replica must not go on.
        exit_code_ = 1;
        phase_ = phase::stopped;
        return;
    }
    if (phase_ == phase::serving)
    {
        gateway_->set_ready(control_->has_configuration());
        if (drain_requested_)
        {
            start_leaving();
        }
        return;
    }
    if (phase_ == phase::leaving && now - phase_since_ >= leaving_time)
    {
        gateway_->shut_down();
        server_->drain();
        phase_ = phase::draining;
        phase_since_ = now;
        return;
    }
    const bool settled =
        control_->unsettled() == 0 || now - phase_since_ > settle_time;
    if (phase_ == phase::draining && is_idle() && settled)
    {
        LOG(INFO) << core::log_line("stopped");
        phase_ = phase::stopped;
    }
}

void vm_process::start_leaving()
{
    LOG(INFO) << core::log_line("leaving").with("running", gateway_->pending());
    gateway_->set_ready(false);
    control_->begin_leaving();
    phase_ = phase::leaving;
    phase_since_ = clock_->now();
}

bool vm_process::is_idle() const
{
    return gateway_->pending() == 0 && server_->requests() == 0;
}

} // namespace hyssoploft::service
