// Requests that traffic threads and operators post to the control thread.

#include <LibControl/control_plane.hpp>

#include <LibCore/keyed_hash.hpp>
#include <LibCore/log_line.hpp>

#include <boost/asio/post.hpp>
#include <glog/logging.h>

#include <algorithm>
#include <cstring>
#include <utility>

namespace hyssoploft::control {

namespace {

constexpr std::chrono::seconds apply_timeout{5};
constexpr std::size_t max_watches = 256;

absl::StatusOr<membership::key_digest> parse_digest(const std::string& hex)
{
    const auto bytes = core::from_hex(hex);
    membership::key_digest out{};
    if (!bytes.ok() || bytes->size() != out.size())
    {
        return absl::InvalidArgumentError("the digest is not 64 hex digits");
    }
    std::memcpy(out.data(), bytes->data(), out.size());
    return out;
}

void log_failure(std::string_view event, const absl::Status& status)
{
    if (!status.ok())
    {
        LOG(WARNING) << core::log_line(event).with("error", status.ToString());
    }
}

} // namespace

std::shared_ptr<const resource::configuration>
control_plane::configuration() const
{
    const std::lock_guard lock(published_mutex_);
    return published_configuration_;
}

std::shared_ptr<const membership::fleet_view> control_plane::fleet() const
{
    const std::lock_guard lock(published_mutex_);
    return published_fleet_;
}

bool control_plane::is_withdrawn(const std::string& key_digest) const
{
    std::shared_ptr<const resource::configuration> declared;
    std::shared_ptr<const std::set<std::string>> gossiped;
    {
        const std::lock_guard lock(published_mutex_);
        declared = published_configuration_;
        gossiped = published_withdrawn_;
    }
    return declared->withdrawn_digests.contains(key_digest) ||
           gossiped->contains(key_digest);
}

void control_plane::announce(membership::upstream_record record)
{
    boost::asio::post(io_, [this, record = std::move(record)] {
        log_failure(
            "announcement_rejected",
            fleet_member_->announce(record, clock_->now()));
    });
}

void control_plane::report_load(
    const std::string& upstream, membership::load_report report)
{
    boost::asio::post(io_, [this, upstream, report]() mutable {
        report.received = clock_->now();
        // A report of an upstream that is not yet known is dropped.
        (void)fleet_member_->report_load(upstream, report, clock_->now());
    });
}

void control_plane::leave(
    const std::string& upstream, std::uint64_t incarnation, leave_handler done)
{
    boost::asio::post(
        io_, [this, left = fleet::departure{upstream, incarnation},
              done = std::move(done)] {
            // At once: its side of a partition hears of it, too.
            log_failure(
                "leave_rejected",
                fleet_member_->leave(
                    left.upstream, left.incarnation, clock_->now()));
            flush_membership();
            proposals_->propose(
                command_kind::departure, wire::encode(departure_command{left}),
                departure_timeout,
                [done](const absl::StatusOr<std::string>& result) {
                    log_failure("departure_not_recorded", result.status());
                    done(result.status());
                });
        });
}

void control_plane::apply_departures()
{
    const auto& departed = replica_->state().departures().items();
    std::vector<fleet::departure> left;
    for (const auto& [id, it] : fleet_member_->upstreams().entries())
    {
        const bool serves =
            it.record.state == membership::upstream_state::serving;
        if (serves && departed.contains(id, it.record.incarnation))
        {
            left.push_back({id, it.record.incarnation});
        }
    }
    for (const auto& it : left)
    {
        log_failure(
            "leave_rejected",
            fleet_member_->leave(it.upstream, it.incarnation, clock_->now()));
    }
}

void control_plane::set_overloaded(bool overloaded)
{
    boost::asio::post(io_, [this, overloaded] {
        fleet_member_->set_overloaded(overloaded);
    });
}

void control_plane::apply(resource::change_batch batch, apply_handler done)
{
    boost::asio::post(
        io_, [this, batch = std::move(batch), done = std::move(done)] {
            proposals_->propose(
                command_kind::resources, resource::encode_batch(batch),
                apply_timeout, [done](absl::StatusOr<std::string> result) {
                    if (!result.ok())
                    {
                        done(result.status());
                        return;
                    }
                    done(resource::decode_result(*result));
                });
        });
}

void control_plane::dry_run(resource::change_batch batch, apply_handler done)
{
    boost::asio::post(
        io_, [this, batch = std::move(batch), done = std::move(done)] {
            if (!replica_)
            {
                done(absl::UnavailableError(
                    "this VM has no replica of the log; ask a control VM"));
                return;
            }
            done(replica_->state().resources().dry_run(batch));
        });
}

void control_plane::withdraw(
    resource::withdraw_request request, withdraw_handler done)
{
    boost::asio::post(
        io_,
        [this, request = std::move(request), done = std::move(done)]() mutable {
            const auto& declared = config_feed_->view();
            for (const auto& name : request.names)
            {
                const auto key = declared.keys.find(name);
                if (key == declared.keys.end())
                {
                    done(absl::NotFoundError(
                        "no key is named \"" + name + "\""));
                    return;
                }
                request.digests.push_back(key->second.digest);
            }
            resource::withdraw_response out;
            for (const auto& it : request.digests)
            {
                const auto digest = parse_digest(it);
                const auto status = digest.ok()
                                        ? fleet_member_->withdraw(*digest)
                                        : digest.status();
                if (!status.ok())
                {
                    done(status);
                    return;
                }
                ++out.accepted;
                out.committed +=
                    declared.withdrawn_digests.contains(it) ? 1 : 0;
            }
            publish_withdrawals();
            flush_membership();
            LOG(INFO) << core::log_line("keys_withdrawn")
                             .with("count", request.digests.size())
                             .with("request", request.request_id);
            done(out);
        });
}

void control_plane::status(status_handler done)
{
    boost::asio::post(io_, [this, done = std::move(done)] {
        done(make_status());
    });
}

resource::status_response control_plane::make_status()
{
    const auto fleet = current_fleet();
    resource::status_response out;
    out.vm = options_.vm;
    out.leader = proposals_->leader_vm();
    out.version = config_feed_->version();
    out.uncommitted_withdrawals = fleet_member_->withdrawals().items().size();
    if (replica_)
    {
        out.term = replica_->node().term();
        out.commit_index = replica_->node().commit_index();
        out.ledger_records = replica_->state().records().size();
    }
    out.everywhere = out.version;
    for (const auto& declared : config_feed_->view().declared_fleet.vms)
    {
        const auto found = fleet->vms.find(declared.id);
        resource::vm_status vm;
        vm.id = declared.id;
        vm.region = declared.region;
        vm.state = "unknown";
        if (found != fleet->vms.end())
        {
            vm.state = std::string(
                core::name_of(membership::vm_state_names, found->second.state));
            vm.version = declared.id == options_.vm
                             ? out.version
                             : found->second.config_version;
            vm.control = found->second.control;
        }
        out.everywhere = std::min(out.everywhere, vm.version);
        if (vm.version < out.version)
        {
            out.lacking.push_back(vm.id);
        }
        out.vms.push_back(std::move(vm));
    }
    return out;
}

void control_plane::watch(std::uint64_t from, watch_handler done)
{
    boost::asio::post(io_, [this, from, done = std::move(done)] {
        if (from != config_feed_->version() || watches_.size() >= max_watches)
        {
            done(make_watch_response(from));
            return;
        }
        watches_.push_back({from, clock_->now() + watch_wait, done});
    });
}

resource::watch_response
control_plane::make_watch_response(std::uint64_t from) const
{
    resource::watch_response out;
    out.version = from;
    const auto events = config_feed_->replica().changes_since(from);
    if (!events.ok())
    {
        out.list_again = true;
        out.version = config_feed_->version();
        return out;
    }
    for (const auto& it : *events)
    {
        auto event = resource::decode_event(it);
        if (event.ok())
        {
            out.version = event->version;
            out.events.push_back(*std::move(event));
        }
    }
    return out;
}

void control_plane::answer_watches()
{
    const auto now = clock_->now();
    auto pending = std::exchange(watches_, {});
    for (auto& it : pending)
    {
        if (it.from != config_feed_->version() || now >= it.deadline)
        {
            it.done(make_watch_response(it.from));
            continue;
        }
        watches_.push_back(std::move(it));
    }
}

void control_plane::begin_leaving()
{
    boost::asio::post(io_, [this] {
        fleet_member_->begin_leaving();
        lease_driver_->release();
        if (replica_)
        {
            replica_->hand_over_leadership();
        }
        flush_membership();
    });
}

} // namespace hyssoploft::control
