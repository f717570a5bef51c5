// Dispatches committed commands and reads snapshots of all formats.

#include <LibControl/control_state_machine.hpp>

#include <LibControl/control_messages.hpp>

#include <glog/logging.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace hyssoploft::control {

namespace {

// Each disk replacement adds an entry. Above this number the oldest entry with
// a successor on the same VM is removed. Rejecting new entries instead would
// make replacements impossible after some months.
constexpr std::size_t max_replica_entries = 64;

// Format of earlier builds, which did not record the order of replicas.
struct snapshot_without_replica_order
{
    std::string resources;
    std::string ledger;
    std::map<std::uint64_t, std::string> replicas;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(resources, ledger, replicas);
    }
};

// Format of builds without manifests.
struct snapshot_without_manifests
{
    snapshot_without_replica_order without_replica_order;
    std::vector<std::uint64_t> replica_order;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(without_replica_order, replica_order);
    }
};

// Format of builds whose evacuations had no order revisions.
struct snapshot_without_evacuation_orders
{
    snapshot_without_manifests without_manifests;
    manifest_store manifests;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(without_manifests, manifests);
    }
};

// Format of builds without departures. Still written before the first one.
struct snapshot_without_departures
{
    snapshot_without_manifests without_manifests;
    manifest_store manifests;
    manifest_store::order_revisions evacuation_orders;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(without_manifests, manifests, evacuation_orders);
    }
};

struct snapshot_body
{
    snapshot_without_departures without_departures;
    departure_store departures;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(without_departures, departures);
    }
};

absl::StatusOr<snapshot_body> decode_snapshot(std::string_view bytes)
{
    auto body = wire::decode<snapshot_body>(bytes);
    if (body.ok())
    {
        return body;
    }
    snapshot_body out;
    auto& earlier = out.without_departures;
    auto without_departures = wire::decode<snapshot_without_departures>(bytes);
    if (without_departures.ok())
    {
        earlier = *std::move(without_departures);
        return out;
    }
    auto without_orders =
        wire::decode<snapshot_without_evacuation_orders>(bytes);
    if (without_orders.ok())
    {
        earlier.without_manifests =
            std::move(without_orders->without_manifests);
        earlier.manifests = std::move(without_orders->manifests);
        return out;
    }
    auto without_manifests = wire::decode<snapshot_without_manifests>(bytes);
    if (without_manifests.ok())
    {
        earlier.without_manifests = *std::move(without_manifests);
        return out;
    }
    auto oldest_format = wire::decode<snapshot_without_replica_order>(bytes);
    if (!oldest_format.ok())
    {
        return body.status();
    }
    for (const auto& [id, vm] : oldest_format->replicas)
    {
        earlier.without_manifests.replica_order.push_back(id);
    }
    earlier.without_manifests.without_replica_order = *std::move(oldest_format);
    return out;
}

} // namespace

std::string
control_state_machine::apply(std::uint64_t index, std::string_view command)
{
    const auto decoded = wire::decode<log_command>(command);
    if (!decoded.ok())
    {
        // Skipping is deterministic: every replica applies the same bytes.
        LOG(ERROR) << "log_command_malformed index=" << index;
        return {};
    }
    switch (static_cast<command_kind>(decoded->kind))
    {
    case command_kind::resources:
        return resources_.apply(decoded->body);
    case command_kind::ledger: {
        auto result = ledger_.apply(decoded->body);
        departures_.advance_time(ledger_.time());
        return result;
    }
    case command_kind::replica:
        return apply_replica(decoded->body);
    case command_kind::manifest:
        return manifests_.apply_manifest(decoded->body);
    case command_kind::evacuation:
        return manifests_.apply_evacuation(decoded->body);
    case command_kind::evacuation_change:
        return manifests_.apply_evacuation_change(decoded->body);
    case command_kind::barrier:
        return wire::encode(manifests_.status());
    case command_kind::departure:
        departures_.apply(decoded->body, ledger_.time());
        return {};
    }
    LOG(ERROR) << "log_command_unknown index=" << index
               << " kind=" << static_cast<int>(decoded->kind);
    return {};
}

std::string control_state_machine::apply_replica(std::string_view body)
{
    const auto entry = wire::decode<replica_entry>(body);
    if (!entry.ok())
    {
        return {};
    }
    if (const auto found = replicas_.find(entry->replica);
        found != replicas_.end())
    {
        found->second = entry->vm;
        return {};
    }
    replicas_.emplace(entry->replica, entry->vm);
    replica_order_.push_back(entry->replica);
    if (replicas_.size() > max_replica_entries)
    {
        remove_oldest_replaced_replica();
    }
    return {};
}

void control_state_machine::remove_oldest_replaced_replica()
{
    auto removed = replica_order_.end() - 1;
    for (auto it = replica_order_.begin(); it != replica_order_.end(); ++it)
    {
        const auto& vm = replicas_.at(*it);
        const bool replaced =
            std::any_of(std::next(it), replica_order_.end(), [&](auto later) {
                return replicas_.at(later) == vm;
            });
        if (replaced)
        {
            removed = it;
            break;
        }
    }
    // If no replica has been replaced, the new one is not recorded.
    replicas_.erase(*removed);
    replica_order_.erase(removed);
}

std::string control_state_machine::take_snapshot()
{
    snapshot_without_departures out{
        {{resources_.snapshot(), ledger_.snapshot(), replicas_},
         replica_order_},
        manifests_,
        manifests_.evacuation_orders()};
    return departures_.is_new()
               ? wire::encode(out)
               : wire::encode(snapshot_body{std::move(out), departures_});
}

absl::Status control_state_machine::install_snapshot(std::string_view bytes)
{
    // The snapshot of a new cluster is empty.
    if (bytes.empty())
    {
        return absl::OkStatus();
    }
    auto body = decode_snapshot(bytes);
    if (!body.ok())
    {
        return body.status();
    }
    auto& earlier = body->without_departures;
    auto& without_replica_order =
        earlier.without_manifests.without_replica_order;
    auto& order = earlier.without_manifests.replica_order;
    const bool same_replicas =
        without_replica_order.replicas.size() == order.size() &&
        std::all_of(order.begin(), order.end(), [&](auto id) {
            return without_replica_order.replicas.contains(id);
        });
    if (!same_replicas)
    {
        return absl::InvalidArgumentError(
            "the snapshot's replica order does not list its replicas");
    }
    if (auto status = resources_.restore(without_replica_order.resources);
        !status.ok())
    {
        return status;
    }
    if (auto status = ledger_.restore(without_replica_order.ledger);
        !status.ok())
    {
        return status;
    }
    replicas_ = std::move(without_replica_order.replicas);
    replica_order_ = std::move(order);
    manifests_ = std::move(earlier.manifests);
    manifests_.set_evacuation_orders(std::move(earlier.evacuation_orders));
    departures_ = std::move(body->departures);
    return absl::OkStatus();
}

} // namespace hyssoploft::control
