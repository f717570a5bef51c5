// Start-up, periodic work and message dispatch of the control thread.

#include <LibControl/control_plane.hpp>

#include <LibCore/keyed_hash.hpp>
#include <LibCore/log_line.hpp>
#include <LibWire/asio_transport.hpp>

#include <absl/strings/str_join.h>
#include <boost/asio/post.hpp>
#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace hyssoploft::control {

namespace {

using wire::message_type;

/// The components need a tick at least every 50 ms. Each tick costs a few
/// microseconds and a wake-up; at 20 ms that is about half of the CPU time of
/// an idle VM.
constexpr std::chrono::milliseconds tick_interval{40};
constexpr std::size_t max_withdrawals_per_batch = 512;
constexpr std::chrono::seconds commit_timeout{5};

message_type message_type_of(const membership::message& it)
{
    struct visitor
    {
        message_type operator()(const membership::ping&) const
        {
            return message_type::ping;
        }
        message_type operator()(const membership::ack&) const
        {
            return message_type::ack;
        }
        message_type operator()(const membership::ping_request&) const
        {
            return message_type::ping_request;
        }
        message_type operator()(const membership::state_sync&) const
        {
            return message_type::state_sync;
        }
    };
    return std::visit(visitor{}, it);
}

template <typename Message>
absl::StatusOr<membership::message> decode_as(const std::string& payload)
{
    auto it = wire::decode<Message>(payload);
    if (!it.ok())
    {
        return it.status();
    }
    return membership::message(*std::move(it));
}

absl::StatusOr<membership::message>
decode_membership(message_type type, const std::string& payload)
{
    switch (type)
    {
    case message_type::ping:
        return decode_as<membership::ping>(payload);
    case message_type::ack:
        return decode_as<membership::ack>(payload);
    case message_type::ping_request:
        return decode_as<membership::ping_request>(payload);
    default:
        return decode_as<membership::state_sync>(payload);
    }
}

std::string hex_of(const membership::key_digest& it)
{
    return core::to_hex(
        std::string_view(reinterpret_cast<const char*>(it.data()), it.size()));
}

} // namespace

absl::StatusOr<std::unique_ptr<control_plane>> control_plane::create(
    const control_options& options, std::shared_ptr<core::clock> clock,
    std::shared_ptr<core::random_source> random, telemetry::metrics& metrics)
{
    std::unique_ptr<control_plane> it(new control_plane(
        options, std::move(clock), std::move(random), metrics));
    const auto status = it->open();
    if (!status.ok())
    {
        return status;
    }
    return it;
}

control_plane::control_plane(
    const control_options& options, std::shared_ptr<core::clock> clock,
    std::shared_ptr<core::random_source> random, telemetry::metrics& metrics)
    : options_(options), clock_(std::move(clock)), random_(std::move(random)),
      metrics_(metrics),
      published_withdrawn_(std::make_shared<std::set<std::string>>())
{}

absl::Status control_plane::open()
{
    wire::transport_options transport;
    transport.self = options_.vm;
    transport.incarnation = options_.incarnation;
    transport.listen_address = options_.peer_address;
    transport.keys = options_.keys;
    auto opened = wire::create_asio_transport(io_, transport);
    if (!opened.ok())
    {
        return opened.status();
    }
    transport_ = *std::move(opened);
    transport_->set_handler([this](const wire::incoming_message& it) {
        on_message(it);
    });
    config_feed_ = std::make_unique<config_feed>(*transport_, [this] {
        configuration_installed();
    });

    membership::member_options member;
    member.self.id = options_.vm;
    member.self.region = options_.region;
    member.self.data_center = options_.data_center;
    member.self.http_address = options_.http_address;
    member.self.peer_address = options_.peer_address;
    member.self.incarnation = options_.incarnation;
    member.self.control = !options_.data_dir.empty();
    member.seeds = options_.seeds;
    member.is_committed = [this](const membership::key_digest& it) {
        return config_feed_->view().withdrawn_digests.contains(hex_of(it));
    };
    auto created =
        membership::fleet_member::create(std::move(member), *random_);
    if (!created.ok())
    {
        return created.status();
    }
    fleet_member_ = *std::move(created);
    if (!options_.data_dir.empty())
    {
        auto replica = replica_driver::create(
            io_, {options_.vm, options_.data_dir, options_.initial_voters},
            *this, *clock_, *random_);
        if (!replica.ok())
        {
            return replica.status();
        }
        replica_ = *std::move(replica);
        audited_sequence_ = replica_->state().resources().audit_sequence();
    }
    proposals_ = std::make_unique<proposal_client>(
        *transport_, *this, replica_.get(), *clock_);
    rate::holder_settings holder;
    holder.vm = options_.vm;
    holder.incarnation = options_.incarnation;
    lease_holder_ = std::make_shared<rate::lease_holder>(holder);
    lease_driver_ = std::make_unique<lease_driver>(
        *transport_, *proposals_, lease_holder_, *clock_);
    ledger_service_ = std::make_unique<ledger_service>(
        io_, *transport_, *proposals_, *this, *clock_);
    published_configuration_ = config_feed_->current();
    publish_fleet();
    if (replica_)
    {
        config_feed_->install_from_store(replica_->state().resources());
    }
    return absl::OkStatus();
}

control_plane::~control_plane()
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

void control_plane::start()
{
    schedule_tick();
    thread_ = std::thread([this] {
        io_.run();
    });
}

void control_plane::schedule_tick()
{
    tick_timer_.expires_after(tick_interval);
    tick_timer_.async_wait([this](const boost::system::error_code& ec) {
        if (!ec)
        {
            tick();
            schedule_tick();
        }
    });
}

void control_plane::tick()
{
    const auto now = clock_->now();
    if (replica_)
    {
        replica_->tick();
    }
    fleet_member_->tick(now);
    flush_membership();
    proposals_->tick();
    lease_driver_->tick();
    publish_fleet();
    if (now >= next_second_)
    {
        next_second_ = now + std::chrono::seconds(1);
        run_every_second();
    }
}

void control_plane::run_every_second()
{
    send_hello();
    if (replica_)
    {
        apply_departures();
    }
    commit_withdrawals();
    publish_withdrawals();
    ledger_service_->expire();
    answer_watches();
    update_metrics();
}

void control_plane::on_message(const wire::incoming_message& it)
{
    switch (it.type)
    {
    case message_type::ping:
    case message_type::ack:
    case message_type::ping_request:
    case message_type::state_sync:
        on_membership(it);
        return;
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
            replica_->on_hello(*hello);
        }
        return;
    }
    case message_type::propose:
        on_propose(it);
        return;
    case message_type::lease_request:
        lease_driver_->serve(it);
        return;
    case message_type::config_pull:
    case message_type::config_snapshot:
        config_feed_->serve(it);
        return;
    case message_type::answer_store:
    case message_type::answer_fetch:
        ledger_service_->serve(it);
        return;
    default:
        return;
    }
}

void control_plane::on_membership(const wire::incoming_message& it)
{
    const auto decoded = decode_membership(it.type, it.payload);
    if (!decoded.ok())
    {
        return;
    }
    fleet_member_->on_message(it.sender, *decoded, clock_->now());
    flush_membership();
}

void control_plane::flush_membership()
{
    for (const auto& it : fleet_member_->take_outgoing())
    {
        const auto type = message_type_of(it.body);
        const auto payload = std::visit(
            [](const auto& body) {
                return wire::encode(body);
            },
            it.body);
        // Send errors are ignored: the protocol tolerates message loss.
        if (type == message_type::state_sync)
        {
            (void)transport_->send(it.address, type, payload);
            continue;
        }
        (void)transport_->send_datagram(it.address, type, payload);
    }
    bool withdrawn = false;
    for (const auto& it : fleet_member_->take_events())
    {
        if (const auto* newer = std::get_if<membership::config_newer>(&it))
        {
            config_feed_->on_newer_version(
                newer->address, newer->config_version);
            continue;
        }
        withdrawn = true;
    }
    if (withdrawn)
    {
        publish_withdrawals();
    }
}

void control_plane::on_propose(const wire::incoming_message& it)
{
    const auto command = wire::decode<log_command>(it.payload);
    if (!command.ok())
    {
        return;
    }
    const auto answer = [this, to = it.reply](const propose_result& result) {
        (void)transport_->respond(
            to, message_type::propose_result, wire::encode(result));
    };
    if (!replica_)
    {
        answer(
            {static_cast<std::uint8_t>(propose_status::not_leader),
             proposals_->leader_vm(), ""});
        return;
    }
    replica_->propose(
        static_cast<command_kind>(command->kind), command->body, answer);
}

void control_plane::send_hello()
{
    if (!replica_ || !replica_->is_announceable())
    {
        return;
    }
    const auto payload = wire::encode(replica_->hello());
    // The view is held: a later call may publish another one.
    const auto fleet = current_fleet();
    for (const auto& [id, it] : fleet->vms)
    {
        const bool reachable = it.control && id != options_.vm &&
                               it.state != membership::vm_state::dead;
        if (reachable)
        {
            (void)transport_->send(
                it.peer_address, message_type::replica_hello, payload);
        }
    }
}

void control_plane::commit_withdrawals()
{
    const bool leader = replica_ && replica_->is_leader();
    if (!leader || committing_withdrawals_)
    {
        return;
    }
    resource::change_batch batch;
    for (const auto& it : fleet_member_->withdrawals().items())
    {
        const auto digest = hex_of(it);
        const bool is_uncommitted =
            !config_feed_->view().withdrawn_digests.contains(digest) &&
            batch.withdrawn_digests.size() < max_withdrawals_per_batch;
        if (is_uncommitted)
        {
            batch.withdrawn_digests.push_back(digest);
        }
    }
    if (batch.withdrawn_digests.empty())
    {
        return;
    }
    batch.request_id =
        "withdraw-" + core::to_hex(core::sha256(resource::encode_batch(batch)));
    batch.author = "gossip";
    batch.unix_milliseconds = clock_->unix_nanoseconds() / 1'000'000;
    committing_withdrawals_ = true;
    proposals_->propose(
        command_kind::resources, resource::encode_batch(batch), commit_timeout,
        [this](const absl::StatusOr<std::string>&) {
            committing_withdrawals_ = false;
        });
}

void control_plane::configuration_installed()
{
    const auto current = config_feed_->current();
    {
        const std::lock_guard lock(published_mutex_);
        published_configuration_ = current;
    }
    LOG(INFO) << core::log_line("configuration_in_force")
                     .with("version", current->version);
    // The log fills the feed before the other components exist.
    if (fleet_member_)
    {
        fleet_member_->set_config_version(current->version);
    }
    if (lease_driver_)
    {
        lease_driver_->install(*current);
    }
    answer_watches();
}

void control_plane::publish_fleet()
{
    auto view = fleet_member_->publish(clock_->now());
    const std::lock_guard lock(published_mutex_);
    published_fleet_ = std::move(view);
}

void control_plane::publish_withdrawals()
{
    auto digests = std::make_shared<std::set<std::string>>();
    for (const auto& it : fleet_member_->withdrawals().items())
    {
        digests->insert(hex_of(it));
    }
    const std::lock_guard lock(published_mutex_);
    published_withdrawn_ = std::move(digests);
}

void control_plane::send_consensus(
    const std::string& vm, const std::string& bytes)
{
    const auto fleet = current_fleet();
    const auto found = fleet->vms.find(vm);
    if (found != fleet->vms.end())
    {
        (void)transport_->send(
            found->second.peer_address, message_type::consensus, bytes);
    }
}

void control_plane::resources_changed()
{
    write_audit();
    config_feed_->install_from_store(replica_->state().resources());
}

void control_plane::write_audit()
{
    const auto& store = replica_->state().resources();
    for (const auto& it : store.audit_since(audited_sequence_))
    {
        LOG(INFO) << core::log_line("audit")
                         .with("sequence", it.sequence)
                         .with("author", it.author)
                         .with("request", it.request_id)
                         .with("unix_ms", it.unix_milliseconds)
                         .with(
                             "outcome",
                             std::string(core::name_of(
                                 resource::apply_outcome_names, it.outcome)))
                         .with("what", absl::StrJoin(it.what, ", "));
    }
    audited_sequence_ = store.audit_sequence();
}

void control_plane::role_changed(bool leader, std::uint64_t term)
{
    is_leader_ = leader;
    if (lease_driver_)
    {
        lease_driver_->role_changed(leader, term);
    }
}

void control_plane::storage_failed(const absl::Status& status)
{
    LOG(ERROR)
        << core::log_line("storage_failed").with("error", status.ToString());
    failed_ = true;
}

std::shared_ptr<const membership::fleet_view> control_plane::current_fleet()
{
    return fleet_member_->publish(clock_->now());
}

void control_plane::update_metrics()
{
    const auto& counters = transport_->counters();
    metrics_.get_gauge("hyssoploft_control_bytes_sent")
        .set(static_cast<double>(counters.bytes_sent));
    metrics_.get_gauge("hyssoploft_control_bytes_received")
        .set(static_cast<double>(counters.bytes_received));
    metrics_.get_gauge("hyssoploft_config_version")
        .set(static_cast<double>(config_feed_->version()));
    metrics_.get_gauge("hyssoploft_leader").set(is_leader_ ? 1 : 0);
    // One reading: two calls may return two views, and a range must not begin
    // in one and end in the other.
    const auto fleet = current_fleet();
    metrics_.get_gauge("hyssoploft_vms_alive")
        .set(static_cast<double>(std::count_if(
            fleet->vms.begin(), fleet->vms.end(), [](const auto& it) {
                return it.second.state == membership::vm_state::alive;
            })));
    if (replica_)
    {
        metrics_.get_gauge("hyssoploft_commit_index")
            .set(static_cast<double>(replica_->node().commit_index()));
        metrics_.get_gauge("hyssoploft_disk_full")
            .set(replica_->is_disk_full() ? 1 : 0);
        metrics_.get_gauge("hyssoploft_order_records")
            .set(static_cast<double>(replica_->state().records().size()));
    }
}

} // namespace hyssoploft::control
