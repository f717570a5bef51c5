// Start and shutdown of one VM on the users' platform.

#include "fleet_process.hpp"

#include <platform/call_headers.hpp>
#include <platform/control_api.hpp>
#include <platform/directory_api.hpp>
#include <platform/manifest_document.hpp>

#include <LibCore/log_line.hpp>
#include <LibCore/text.hpp>
#include <LibRelay/relay_handler.hpp>
#include <LibRelay/relay_run.hpp>

#include <boost/asio/post.hpp>
#include <glog/logging.h>
#include <malloc.h>
#include <sys/stat.h>

#include <algorithm>
#include <csignal>
#include <limits>
#include <utility>

namespace hyssoploft::service {

namespace {

/// Each wake-up is charged; a shutdown is noticed by its signal.
constexpr std::chrono::milliseconds step_interval{250};
/// Loads are told to the control thread, and by it to other VMs, this often.
constexpr std::chrono::milliseconds load_interval{40};
/// Waiting log lines are this old at most.
constexpr std::chrono::milliseconds traffic_interval{200};
/// New requests are still taken for this time after SIGTERM, until callers
/// have learned of other VMs: the time to live of the directory's answers and
/// an exchange of state. A stream that comes later than 3 s may not end within
/// the time that the platform gives, so a late timer has 100 ms.
constexpr std::chrono::milliseconds accept_while_leaving{2900};
/// Covers a request that was on its way when callers learned of other VMs.
constexpr std::chrono::milliseconds quiet_before_stop{250};
/// Kept free at the end of the time that the platform gives: the answers of
/// requests that are still open, and the end of the process.
constexpr std::chrono::milliseconds fail_margin{400};
constexpr std::chrono::milliseconds stop_margin{150};
/// A control VM hands over leadership and finishes calls meanwhile.
constexpr std::chrono::milliseconds control_leaving{1000};
/// Part of the slack on rates that VMs use as additional burst; the rest
/// covers calls that wait on their way.
constexpr double used_rate_slack = 0.8;
/// Part of the process's memory that answers in progress may take; the rest is
/// for requests, connections and the state of the fleet.
constexpr double answer_memory_share = 0.25;
/// Part of it that the answers of one upstream, or of one VM, may take.
constexpr double answer_share_of_sender = 0.25;
/// Part of the process's memory that requests may take, with their copies on
/// the way to upstreams.
constexpr double request_memory_share = 0.35;
/// The same for requests that VMs of other regions pass on. Clients must not
/// take their room: a call that is cut off on the way may have run.
constexpr double peer_memory_share = 0.15;
/// Part of it that large requests leave to small ones.
constexpr double small_request_share = 0.25;
/// Connections of clients, so that descriptors remain for files, peers and
/// upstreams.
constexpr std::size_t max_callers = 2500;
/// The platform's own files, which max-fds includes.
constexpr std::uint32_t reserved_descriptors = 200;
/// Parts of the other descriptors that clients and VMs of other regions may
/// take.
constexpr double client_descriptor_share = 0.64;
constexpr double peer_descriptor_share = 0.2;
/// Larger buffers return to the system when they are freed.
constexpr int large_buffer_bytes = 256 << 10;
constexpr int kept_free_bytes = 1 << 20;
/// Parts of the fleet's own key identifiers.
constexpr std::uint8_t fleet_key_id = 1;

class metrics_page final : public http::request_handler
{
public:
    metrics_page(
        telemetry::metrics& from, std::shared_ptr<core::memory_account> account,
        std::shared_ptr<control::fleet_control> control)
        : from_(from), account_(std::move(account)),
          control_(std::move(control))
    {}

    http::asio::awaitable<void> handle(http::exchange& it) override
    {
        update();
        update_departures();
        http::response out(http::bhttp::status::ok, 11);
        out.set(http::bhttp::field::content_type, "text/plain; version=0.0.4");
        out.body() = from_.to_text();
        (void)co_await it.respond(std::move(out));
    }

private:
    // Only readers need the figures of the account up to date.
    void update()
    {
        if (!account_)
        {
            return;
        }
        from_.get_gauge("hyssoploft_request_memory_bytes")
            .set(static_cast<double>(account_->used()));
        from_.get_gauge("hyssoploft_client_connections")
            .set(static_cast<double>(account_->connections()));
        const auto closed = account_->closed();
        from_.get_counter("hyssoploft_connections_closed_for_room_total")
            .add(closed - std::exchange(closed_, closed));
        const auto refused = account_->refused();
        from_
            .get_counter("hyssoploft_refusals_total", {{"reason", "no_memory"}})
            .add(refused - std::exchange(refused_, refused));
    }

    void update_departures()
    {
        const auto now = control_->departures();
        from_.get_gauge("hyssoploft_departed_upstreams")
            .set(static_cast<double>(now.kept));
        from_.get_counter("hyssoploft_departures_forgotten_total")
            .add(now.forgotten - departures_.forgotten);
        from_.get_counter("hyssoploft_departures_not_recorded_total")
            .add(now.unrecorded - departures_.unrecorded);
        departures_ = now;
    }

    telemetry::metrics& from_;
    const std::shared_ptr<core::memory_account> account_; // May be null.
    const std::shared_ptr<control::fleet_control> control_;
    control::fleet_control::departure_counts
        departures_;           // As counted in from_.
    std::uint64_t closed_ = 0; // Counted in from_, as the next one.
    std::uint64_t refused_ = 0;
};

std::string address_of(const std::string& ip, std::uint16_t port)
{
    return core::concat(ip, ":", port);
}

} // namespace

absl::StatusOr<std::unique_ptr<fleet_process>>
fleet_process::create(const fleet_process_options& options)
{
    std::unique_ptr<fleet_process> it(new fleet_process);
    const auto status = it->open(options);
    if (!status.ok())
    {
        return status;
    }
    return it;
}

fleet_process::fleet_process()
    : clock_(std::make_shared<core::suspend_aware_clock>()),
      random_(std::make_shared<core::system_random>())
{}

fleet_process::~fleet_process()
{
    // Sessions use the control thread's snapshots: their thread ends first.
    if (traffic_)
    {
        traffic_->stop();
    }
}

absl::Status fleet_process::open(const fleet_process_options& options)
{
    options_ = options;
    auto settings = platform::read_vm_settings(options.settings_path);
    if (!settings.ok())
    {
        return settings.status();
    }
    settings_ = *std::move(settings);
    if (auto status = open_control(); !status.ok())
    {
        return status;
    }
    leave_ = std::make_unique<relay::leave_sequence>(relay::leave_settings{
        settings_.entry_address.empty() ? control_leaving
                                        : accept_while_leaving,
        quiet_before_stop, settings_.stop_grace - fail_margin,
        fail_margin - stop_margin});
    traffic_ = std::make_shared<http::traffic_thread>();
    set_answer_budget();
    open_accounts();
    if (!settings_.control_address.empty())
    {
        auto status = add_server(
            settings_.control_address,
            std::make_shared<platform::control_api>(
                control_, settings_.regions),
            account_);
        if (!status.ok())
        {
            return status;
        }
    }
    if (!settings_.directory_address.empty())
    {
        auto status = add_server(
            settings_.directory_address,
            std::make_shared<platform::directory_api>(control_), account_);
        if (!status.ok())
        {
            return status;
        }
    }
    if (options.metrics_port != 0)
    {
        auto status = add_server(
            address_of(settings_.ip, options.metrics_port),
            std::make_shared<metrics_page>(metrics_, account_, control_),
            account_);
        if (!status.ok())
        {
            return status;
        }
    }
    return settings_.entry_address.empty() ? absl::OkStatus() : open_entry();
}

void fleet_process::set_answer_budget()
{
    const auto bytes = static_cast<double>(settings_.memory_bytes);
    if (bytes <= 0)
    {
        return;
    }
    const auto limit = bytes * answer_memory_share;
    const auto budget = std::make_shared<core::byte_budget>(
        static_cast<std::size_t>(limit),
        static_cast<std::size_t>(limit * answer_share_of_sender));
    boost::asio::post(traffic_->context(), [traffic = traffic_.get(), budget] {
        traffic->pool().set_answer_budget(budget);
    });
}

void fleet_process::open_accounts()
{
    const auto bytes = static_cast<double>(settings_.memory_bytes);
    if (bytes <= 0 || settings_.max_descriptors <= reserved_descriptors)
    {
        return;
    }
    // By default the allocator keeps what large buffers have once used.
    (void)::mallopt(M_MMAP_THRESHOLD, large_buffer_bytes);
    (void)::mallopt(M_TRIM_THRESHOLD, kept_free_bytes);
    const double descriptors =
        static_cast<double>(settings_.max_descriptors - reserved_descriptors);
    const auto make_account = [&](double memory_share, double fd_share) {
        core::account_limits limits;
        limits.bytes = static_cast<std::size_t>(bytes * memory_share);
        limits.small_part = static_cast<std::size_t>(
            bytes * memory_share * small_request_share);
        limits.connections = std::min(
            max_callers, static_cast<std::size_t>(descriptors * fd_share));
        return std::make_shared<core::memory_account>(limits);
    };
    account_ = make_account(request_memory_share, client_descriptor_share);
    peer_account_ = make_account(peer_memory_share, peer_descriptor_share);
}

absl::Status fleet_process::open_control()
{
    control::fleet_options out;
    out.vm = settings_.ip;
    out.region = settings_.region;
    out.data_center = settings_.data_center;
    out.entry_address = settings_.entry_address;
    if (!settings_.entry_address.empty())
    {
        out.relay_address = address_of(
            settings_.ip,
            static_cast<std::uint16_t>(settings_.first_peer_port + 1));
    }
    out.control_address = settings_.control_address;
    out.peer_address = address_of(settings_.ip, settings_.first_peer_port);
    out.seeds = settings_.seed_ips;
    out.data_dir =
        settings_.control_address.empty() ? std::string() : settings_.data_dir;
    out.first_start = settings_.first_start;
    // A majority remains after the losses that are to be borne.
    out.max_voters = 2 * std::size_t{settings_.tolerated_losses} + 1;
    out.extra_burst_tokens = used_rate_slack * settings_.rate_slack_tokens;
    out.keys.current = {fleet_key_id, options_.fleet_key};
    out.incarnation = random_->next() | 1U;
    auto created = control::fleet_control::create(
        out, std::make_shared<platform::manifest_document>(), clock_, random_);
    if (!created.ok())
    {
        return created.status();
    }
    control_ = *std::move(created);
    return absl::OkStatus();
}

absl::Status fleet_process::open_entry()
{
    relay_ = std::make_shared<relay::relay_services>();
    relay_->vm = settings_.ip;
    relay_->region = settings_.region;
    relay_->fleet_key = options_.fleet_key;
    relay_->repeats = {
        retry::used_fleet_share * settings_.repeat_share,
        settings_.repeat_slack, settings_.repeat_window};
    relay_->hedge_share = options_.hedge_share;
    relay_->source = control_;
    relay_->codec = std::make_shared<platform::call_headers>();
    relay_->rates = control_->rates();
    relay_->lender = control_;
    relay_->suspects = control_;
    relay_->leaves = control_;
    relay_->clock = clock_;
    relay_->random = &traffic_random_;
    relay_->metrics = &metrics_;
    relay_->router = std::make_unique<routing::backlog_router>(
        settings_.region, routing::backlog_settings{}, traffic_random_);
    auto status = add_server(
        settings_.entry_address, std::make_shared<relay::entry_handler>(relay_),
        account_, &entry_server_);
    if (!status.ok())
    {
        return status;
    }
    status = add_server(
        address_of(
            settings_.ip,
            static_cast<std::uint16_t>(settings_.first_peer_port + 1)),
        std::make_shared<relay::peer_handler>(relay_), peer_account_,
        &relay_server_);
    if (!status.ok() || settings_.readiness_address.empty())
    {
        return status;
    }
    return add_server(
        settings_.readiness_address,
        std::make_shared<platform::readiness_api>([this] {
            return is_ready();
        }),
        account_);
}

absl::Status fleet_process::add_server(
    const std::string& address, std::shared_ptr<http::request_handler> handler,
    std::shared_ptr<core::memory_account> account,
    std::shared_ptr<http::http_server>* out)
{
    // The account closes an older connection at its limit; a limit of the
    // server would turn the new one away.
    const auto limit =
        account ? std::numeric_limits<std::size_t>::max() : max_callers;
    auto server = http::http_server::create(
        {address, limit, std::move(account)}, {traffic_}, std::move(handler));
    if (!server.ok())
    {
        return server.status();
    }
    servers_.push_back(*server);
    if (out)
    {
        *out = *std::move(server);
    }
    return absl::OkStatus();
}

bool fleet_process::is_ready() const
{
    return !leaving_ && control_->view()->routes != nullptr;
}

std::size_t fleet_process::open_requests() const
{
    std::size_t out = 0;
    for (const auto& it : servers_)
    {
        out += it->requests();
    }
    return out;
}

int fleet_process::run()
{
    signals_.add(SIGTERM);
    signals_.add(SIGINT);
    signals_.add(SIGHUP);
    wait_for_signal();
    struct stat info
    {};
    if (::stat(options_.settings_path.c_str(), &info) == 0)
    {
        settings_changed_ = info.st_mtime;
    }
    control_->start();
    for (const auto& it : servers_)
    {
        it->start();
    }
    if (relay_)
    {
        boost::asio::post(traffic_->context(), [this] {
            traffic_timer_ = std::make_unique<boost::asio::steady_timer>(
                traffic_->context());
            schedule_traffic();
        });
    }
    LOG(INFO) << core::log_line("serving")
                     .with("vm", settings_.ip)
                     .with("machine", settings_.machine)
                     .with("region", settings_.region)
                     .with("first_start", settings_.first_start ? 1 : 0);
    schedule();
    io_.run();
    return exit_code_;
}

void fleet_process::wait_for_signal()
{
    signals_.async_wait(
        [this](const boost::system::error_code& ec, int signal) {
            if (ec)
            {
                return;
            }
            if (signal == SIGHUP)
            {
                reload_if_changed(true);
            }
            else if (!leaving_)
            {
                start_leaving();
            }
            wait_for_signal();
        });
}

void fleet_process::schedule()
{
    timer_.expires_after(
        leave_->time_to_next_phase(clock_->now(), step_interval));
    timer_.async_wait([this](const boost::system::error_code& ec) {
        if (ec)
        {
            return;
        }
        step();
        if (stopped_)
        {
            io_.stop();
            return;
        }
        schedule();
    });
}

void fleet_process::schedule_traffic()
{
    traffic_timer_->expires_after(load_interval);
    traffic_timer_->async_wait([this](const boost::system::error_code& ec) {
        if (ec)
        {
            return;
        }
        control_->set_loads(relay_->router->own_loads());
        const auto now = clock_->now();
        if (now >= next_traffic_tick_)
        {
            next_traffic_tick_ = now + traffic_interval;
            relay_->router->remove_stale_state(*control_->view(), now);
            relay_->guard.report_answers(*control_->view(), now, *control_);
            relay_->log.flush();
        }
        schedule_traffic();
    });
}

void fleet_process::step()
{
    const auto now = clock_->now();
    if (control_->failed())
    {
        // Without its disk this replica must not go on.
        exit_code_ = 1;
        stopped_ = true;
        return;
    }
    metrics_.get_gauge("hyssoploft_disk_full")
        .set(control_->is_disk_full() ? 1 : 0);
    if (!leaving_)
    {
        control_->set_ready(relay_ && is_ready());
        reload_if_changed(false);
        return;
    }
    const auto before = leave_->phase();
    const auto open = open_requests();
    const auto phase = leave_->update(open, now);
    if (phase == before)
    {
        return;
    }
    stopped_ = phase == relay::leave_phase::stopped;
    const auto event = stopped_ ? "stopped"
                       : phase == relay::leave_phase::failing
                           ? "failing_open_requests"
                           : "refusing_new_requests";
    LOG(INFO) << core::log_line(event).with("open_requests", open);
    if (!relay_)
    {
        return;
    }
    relay_->is_draining = true;
    if (phase == relay::leave_phase::failing)
    {
        boost::asio::post(traffic_->context(), [services = relay_] {
            relay::end_open_runs(*services);
        });
    }
}

void fleet_process::reload_if_changed(bool forced)
{
    struct stat info
    {};
    if (::stat(options_.settings_path.c_str(), &info) != 0)
    {
        return;
    }
    if (!forced && info.st_mtime == settings_changed_)
    {
        return;
    }
    settings_changed_ = info.st_mtime;
    const auto read = platform::read_vm_settings(options_.settings_path);
    if (!read.ok())
    {
        LOG(WARNING) << core::log_line("settings_unreadable")
                            .with("error", read.status().ToString());
        return;
    }
    control_->set_seeds(read->seed_ips);
    LOG(INFO) << core::log_line("settings_reloaded")
                     .with("seeds", read->seed_ips.size());
}

void fleet_process::start_leaving()
{
    leaving_ = true;
    leave_->begin(clock_->now());
    LOG(INFO) << core::log_line("leaving").with(
        "open_requests", open_requests());
    control_->begin_leaving();
    for (const auto& it : {entry_server_, relay_server_})
    {
        if (it)
        {
            it->close_kept_connections();
        }
    }
}

} // namespace hyssoploft::service
