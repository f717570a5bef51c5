// Pulls the configuration from peers and serves it to them.

#include <LibControl/config_feed.hpp>

#include <LibCore/log_line.hpp>

#include <glog/logging.h>

#include <utility>

namespace hyssoploft::control {

namespace {

constexpr std::chrono::seconds pull_timeout{3};
constexpr std::size_t snapshot_part_bytes = std::size_t{512} * 1024;
/// Ample: 3,000 accounts with their keys and rates take a few MB.
constexpr std::size_t max_snapshot_bytes = std::size_t{64} * 1024 * 1024;

using wire::message_type;

} // namespace

config_feed::config_feed(
    wire::peer_transport& transport, std::function<void()> on_installed)
    : transport_(transport), on_installed_(std::move(on_installed))
{}

void config_feed::on_newer_version(
    const std::string& address, std::uint64_t version)
{
    if (version > replica_.version() && !pulling_)
    {
        pull(address);
    }
}

void config_feed::install_from_store(const resource::resource_store& store)
{
    const auto before = replica_.version();
    if (store.version() <= before)
    {
        return;
    }
    while (replica_.version() < store.version())
    {
        const auto events = store.changes_since(replica_.version());
        const auto status =
            events.ok() ? replica_.install_changes(*events)
                        : replica_.install_snapshot(
                              resource::encode_configuration(store.view()));
        if (!status.ok())
        {
            install(status, before);
            return;
        }
    }
    install(absl::OkStatus(), before);
}

void config_feed::pull(const std::string& address)
{
    pulling_ = true;
    transport_.request(
        address, message_type::config_pull,
        wire::encode(config_pull{replica_.version()}), pull_timeout,
        [this, address](absl::StatusOr<wire::incoming_message> answer) {
            pulling_ = false;
            if (!answer.ok())
            {
                return;
            }
            if (answer->type == message_type::config_snapshot)
            {
                received_snapshot_.clear();
                pull_snapshot(address, {});
                return;
            }
            const auto it = wire::decode<config_changes>(answer->payload);
            if (it.ok())
            {
                on_changes(address, *it);
            }
        });
}

void config_feed::on_changes(
    const std::string& address, const config_changes& it)
{
    const auto before = replica_.version();
    install(replica_.install_changes(it.events), before);
    const bool more =
        replica_.version() > before && replica_.version() < it.version;
    if (more)
    {
        pull(address);
    }
}

void config_feed::pull_snapshot(const std::string& address, snapshot_pull from)
{
    pulling_ = true;
    transport_.request(
        address, message_type::config_snapshot, wire::encode(from),
        pull_timeout,
        [this, address](absl::StatusOr<wire::incoming_message> answer) {
            pulling_ = false;
            const auto it = answer.ok()
                                ? wire::decode<snapshot_part>(answer->payload)
                                : answer.status();
            if (it.ok())
            {
                on_snapshot_part(address, *it);
            }
        });
}

void config_feed::on_snapshot_part(
    const std::string& address, const snapshot_part& it)
{
    if (received_snapshot_.empty())
    {
        part_version_ = it.version;
    }
    const bool is_next_part =
        it.version == part_version_ && it.offset == received_snapshot_.size() &&
        !it.bytes.empty() && it.total_bytes <= max_snapshot_bytes &&
        it.offset + it.bytes.size() <= it.total_bytes;
    if (!is_next_part)
    {
        // The sender switched to a newer snapshot; gossip starts a new pull.
        return;
    }
    received_snapshot_ += it.bytes;
    if (received_snapshot_.size() < it.total_bytes)
    {
        pull_snapshot(address, {it.version, received_snapshot_.size()});
        return;
    }
    const auto before = replica_.version();
    install(
        replica_.install_snapshot(std::exchange(received_snapshot_, {})),
        before);
}

void config_feed::install(const absl::Status& status, std::uint64_t before)
{
    if (!status.ok())
    {
        LOG(WARNING) << core::log_line("configuration_not_installed")
                            .with("error", status.ToString());
    }
    if (replica_.version() != before)
    {
        on_installed_();
    }
}

void config_feed::serve(const wire::incoming_message& request)
{
    if (request.type == message_type::config_pull)
    {
        serve_changes(request);
        return;
    }
    serve_snapshot(request);
}

void config_feed::serve_changes(const wire::incoming_message& request)
{
    const auto pull = wire::decode<config_pull>(request.payload);
    if (!pull.ok())
    {
        return;
    }
    auto events = replica_.changes_since(pull->from_version);
    if (!events.ok())
    {
        (void)transport_.respond(
            request.reply, message_type::config_snapshot, {});
        return;
    }
    (void)transport_.respond(
        request.reply, message_type::config_changes,
        wire::encode(config_changes{replica_.version(), *std::move(events)}));
}

void config_feed::serve_snapshot(const wire::incoming_message& request)
{
    const auto pull = wire::decode<snapshot_pull>(request.payload);
    if (!pull.ok())
    {
        return;
    }
    // Cached until the configuration changes, so that all parts come from the
    // same snapshot.
    if (served_version_ != replica_.version() || served_snapshot_.empty())
    {
        served_snapshot_ = replica_.snapshot();
        served_version_ = replica_.version();
    }
    snapshot_part part;
    part.version = served_version_;
    part.total_bytes = served_snapshot_.size();
    const bool same = pull->version == 0 || pull->version == served_version_;
    part.offset = same ? pull->offset : 0;
    if (same && pull->offset < served_snapshot_.size())
    {
        part.bytes = served_snapshot_.substr(pull->offset, snapshot_part_bytes);
    }
    (void)transport_.respond(
        request.reply, message_type::config_snapshot, wire::encode(part));
}

} // namespace hyssoploft::control
