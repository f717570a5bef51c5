// Start-up, periodic work and message dispatch of the control thread.

#include <LibControl/fleet_control.hpp>

#include <LibCore/log_line.hpp>
#include <LibCore/text.hpp>
#include <LibWire/asio_transport.hpp>

#include <boost/asio/post.hpp>
#include <glog/logging.h>

#include <utility>

namespace hyssoploft::control {

namespace {

using wire::message_type;

/// Half of the consensus node's heartbeat interval, which bounds the delay that
/// ticks add. Entry VMs run no replica and tick less often.
constexpr std::chrono::milliseconds control_vm_tick_interval{50};
constexpr std::chrono::milliseconds entry_vm_tick_interval{100};
/// Interval of replica hello messages. Replacing a replica waits for one.
constexpr std::chrono::milliseconds hello_interval{500};
/// A voter that sent no hello for this time is replaced: five hello intervals,
/// and less than the time after which the fleet may lose further disks.
constexpr std::chrono::milliseconds voter_removal_timeout{2500};
/// Covers three heartbeats and a round trip between regions. Kept short because
/// nothing is served before an election after a power loss.
constexpr std::chrono::milliseconds election_timeout_min{700};
constexpr std::chrono::milliseconds election_timeout_max{1400};
/// Minimum of the first election timeout after a start, when connections to
/// other regions are open. With the random spread above, the first of five
/// replicas starts an election after 0.4 s.
constexpr std::chrono::milliseconds first_timeout_min{250};
/// Ages in the published snapshot, such as that of the last report, grow even
/// when no state changes.
constexpr std::chrono::milliseconds view_rebuild_interval{500};
/// A connection without a completed handshake is replaced after this time.
constexpr std::chrono::milliseconds handshake_timeout{1000};
constexpr std::chrono::milliseconds max_reconnect_backoff{500};
/// Ticks further apart than this mean that the process was paused. Far above
/// the delay of a tick on a VM that is short of processor time.
constexpr std::chrono::seconds pause_threshold{2};
/// After a pause, a VM that no control VM answers within this time is cut off
/// and goes on with what it knows.
constexpr std::chrono::seconds resume_timeout{1};

} // namespace

absl::StatusOr<std::shared_ptr<fleet_control>> fleet_control::create(
    const fleet_options& options,
    std::shared_ptr<const manifest::manifest_codec> codec,
    std::shared_ptr<core::clock> clock,
    std::shared_ptr<core::random_source> random)
{
    std::shared_ptr<fleet_control> it(new fleet_control(
        options, std::move(codec), std::move(clock), std::move(random)));
    const auto status = it->open();
    if (!status.ok())
    {
        return status;
    }
    return it;
}

fleet_control::fleet_control(
    const fleet_options& options,
    std::shared_ptr<const manifest::manifest_codec> codec,
    std::shared_ptr<core::clock> clock,
    std::shared_ptr<core::random_source> random)
    : options_(options), codec_(std::move(codec)), clock_(std::move(clock)),
      random_(std::move(random)),
      share_holder_(std::make_shared<rate::share_holder>()),
      seeds_(options.seeds), announcer_(options.incarnation),
      sums_announcer_(options.incarnation),
      fleet_(std::make_shared<membership::fleet_view>())
{
    fleet_->self = options_.vm;
}

absl::Status fleet_control::open()
{
    wire::transport_options transport;
    transport.self = options_.vm;
    transport.incarnation = options_.incarnation;
    transport.listen_address = options_.peer_address;
    transport.keys = options_.keys;
    transport.limits.handshake = handshake_timeout;
    transport.limits.max_backoff = max_reconnect_backoff;
    auto opened = wire::create_asio_transport(io_, transport);
    if (!opened.ok())
    {
        return opened.status();
    }
    transport_ = *std::move(opened);
    transport_->set_handler([this](const wire::incoming_message& it) {
        on_message(it);
    });
    started_ = clock_->now();
    last_tick_ = started_;
    epoch_ = random_->next() | 1U;
    if (!options_.data_dir.empty())
    {
        replica_options replica;
        replica.vm = options_.vm;
        replica.data_dir = options_.data_dir;
        replica.limits.max_voters = options_.max_voters;
        replica.limits.voter_silence_timeout = voter_removal_timeout;
        replica.consensus.election_timeout_min = election_timeout_min;
        replica.consensus.election_timeout_max = election_timeout_max;
        replica.consensus.first_timeout_min = first_timeout_min;
        if (options_.first_start)
        {
            replica.initial_voters = options_.seeds;
        }
        auto created =
            replica_driver::create(io_, replica, *this, *clock_, *random_);
        if (!created.ok())
        {
            return created.status();
        }
        replica_ = *std::move(created);
        aggregation_ =
            std::make_unique<fleet::load_aggregation>(options_.vm, started_);
        allocator_ = std::make_unique<rate::share_allocator>(
            started_, options_.first_start);
        credit_pool_ =
            std::make_unique<rate::credit_pool>(options_.first_start);
    }
    proposals_ = std::make_unique<proposal_client>(
        *transport_, *this, replica_.get(), *clock_);
    if (replica_)
    {
        manifest_changed();
        departures_changed();
    }
    rebuild_view();
    publish();
    return absl::OkStatus();
}

fleet_control::~fleet_control()
{
    io_.stop();
    if (thread_.joinable())
    {
        thread_.join();
    }
    if (transport_)
    {
        transport_->close();
    }
}

void fleet_control::start()
{
    boost::asio::post(io_, [this] {
        tick();
        schedule_tick();
    });
    thread_ = std::thread([this] {
        io_.run();
    });
}

void fleet_control::schedule_tick()
{
    tick_timer_.expires_after(
        replica_ ? control_vm_tick_interval : entry_vm_tick_interval);
    tick_timer_.async_wait([this](const boost::system::error_code& ec) {
        if (!ec)
        {
            tick();
            schedule_tick();
        }
    });
}

void fleet_control::detect_pause(core::time_point now)
{
    const auto since = now - std::exchange(last_tick_, now);
    if (since > pause_threshold)
    {
        resumed_at_ = now;
        view_changed_ = true;
        LOG(WARNING) << core::log_line("resumed_after_pause")
                            .with("seconds", core::to_seconds(since));
        for (auto& [vm, it] : peers_)
        {
            it.next_sync = {};
        }
    }
    else if (resumed_at_ && now - *resumed_at_ > resume_timeout)
    {
        resumed_at_.reset();
        view_changed_ = true;
        LOG(WARNING) << core::log_line("no_news_after_pause");
    }
}

void fleet_control::tick()
{
    const auto now = clock_->now();
    detect_pause(now);
    if (replica_)
    {
        replica_->tick();
        vms_.apply_report(own_vm_row(), now);
        vms_.tick(now);
        upstreams_.tick(now);
        kept_departures_ = upstreams_.departed().size();
        forgotten_departures_ = upstreams_.departed().forgotten();
        aggregation_->tick(now);
        send_load_sums();
        if (now >= next_hello_)
        {
            next_hello_ = now + hello_interval;
            send_hello();
        }
    }
    proposals_->tick();
    sync_peers();
    update_suspects();
    update_leaving();
    if (now >= next_view_rebuild_ || view_changed_ || sums_are_outdated(now))
    {
        next_view_rebuild_ = now + view_rebuild_interval;
        rebuild_view();
        publish();
    }
}

void fleet_control::on_message(const wire::incoming_message& it)
{
    switch (it.type)
    {
    case message_type::consensus:
        if (replica_)
        {
            replica_->on_message(it.sender, it.payload);
        }
        return;
    case message_type::replica_hello: {
        const auto hello = wire::decode<replica_hello>(it.payload);
        if (replica_ && hello.ok() && hello->vm == it.sender)
        {
            aggregation_->record_contact(it.sender, clock_->now());
            replica_->on_hello(*hello);
        }
        return;
    }
    case message_type::propose:
        on_propose(it);
        return;
    case message_type::fleet_sync:
        serve_sync(it);
        return;
    case message_type::fleet_notice:
        on_fleet_notice(it);
        return;
    case message_type::load_notice:
        on_load_notice(it);
        return;
    case message_type::suspect_notice:
        on_suspect_notice(it);
        return;
    case message_type::leave_notice:
        on_leave_notice(it);
        return;
    case message_type::loan_request:
        serve_loan(it);
        return;
    default:
        return;
    }
}

void fleet_control::on_propose(const wire::incoming_message& it)
{
    const auto command = wire::decode<log_command>(it.payload);
    const auto answer = [this, reply = it.reply](const propose_result& out) {
        (void)transport_->respond(
            reply, message_type::propose_result, wire::encode(out));
    };
    if (!replica_ || !command.ok())
    {
        answer(
            {static_cast<std::uint8_t>(propose_status::not_leader),
             proposals_->leader_vm(), ""});
        return;
    }
    replica_->propose(
        static_cast<command_kind>(command->kind), command->body, answer);
}

void fleet_control::send_hello()
{
    if (!replica_->is_announceable())
    {
        return;
    }
    const auto payload = wire::encode(replica_->hello());
    for (const auto& vm : control_vms())
    {
        (void)transport_->send(
            peer_address_of(vm), message_type::replica_hello, payload);
    }
}

void fleet_control::send_consensus(
    const std::string& vm, const std::string& bytes)
{
    (void)transport_->send(peer_address_of(vm), message_type::consensus, bytes);
}

void fleet_control::manifest_changed()
{
    const auto& store = replica_->state().manifests();
    install_manifest(store.status().version, store.packed());
    install_evacuations(store.status().evacuation_revision, store.evacuated());
    send_fleet_notices(false);
}

void fleet_control::role_changed(bool, std::uint64_t) {}

void fleet_control::storage_failed(const absl::Status& status)
{
    LOG(ERROR)
        << core::log_line("storage_failed").with("error", status.ToString());
    failed_ = true;
}

std::shared_ptr<const membership::fleet_view> fleet_control::current_fleet()
{
    return fleet_;
}

void fleet_control::set_seeds(std::vector<std::string> seeds)
{
    boost::asio::post(io_, [this, seeds = std::move(seeds)]() mutable {
        seeds_ = std::move(seeds);
    });
}

void fleet_control::begin_leaving()
{
    leaving_ = true;
    ready_ = false;
    boost::asio::post(io_, [this] {
        if (replica_)
        {
            replica_->hand_over_leadership();
        }
        // Reports to every control VM at once instead of at the next interval.
        for (auto& [vm, it] : peers_)
        {
            it.next_sync = {};
        }
        sync_peers();
    });
}

} // namespace hyssoploft::control
