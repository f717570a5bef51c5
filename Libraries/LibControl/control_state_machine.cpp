// Dispatches committed commands.

#include <LibControl/control_state_machine.hpp>

#include <LibControl/control_messages.hpp>

#include <glog/logging.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace hyssoploft::control {

namespace {

// Each replacement of a disk adds one. The oldest that has a successor on the
// same VM is dropped above this number: refusing new ones instead would end
// all replacements after some months.
constexpr std::size_t max_replica_entries = 64;

// Snapshots of earlier builds end before the order.
struct unordered_snapshot
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

// Snapshots of builds without manifests end here.
struct ordered_snapshot
{
    unordered_snapshot unordered;
    std::vector<std::uint64_t> replica_order;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(unordered, replica_order);
    }
};

struct snapshot_body
{
    ordered_snapshot ordered;
    manifest_store manifests;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(ordered, manifests);
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
    auto ordered = wire::decode<ordered_snapshot>(bytes);
    if (ordered.ok())
    {
        out.ordered = *std::move(ordered);
        return out;
    }
    auto older = wire::decode<unordered_snapshot>(bytes);
    if (!older.ok())
    {
        return body.status();
    }
    for (const auto& [id, vm] : older->replicas)
    {
        out.ordered.replica_order.push_back(id);
    }
    out.ordered.unordered = *std::move(older);
    return out;
}

} // namespace

std::string
control_state_machine::apply(std::uint64_t index, std::string_view command)
{
    const auto decoded = wire::decode<log_command>(command);
    if (!decoded.ok())
    {
        // Every replica sees the same bytes and skips them in the same way.
        LOG(ERROR) << "log_command_malformed index=" << index;
        return {};
    }
    switch (static_cast<command_kind>(decoded->kind))
    {
    case command_kind::resources:
        return resources_.apply(decoded->body);
    case command_kind::ledger:
        return ledger_.apply(decoded->body);
    case command_kind::replica:
        return apply_replica(decoded->body);
    case command_kind::manifest:
        return manifests_.apply_manifest(decoded->body);
    case command_kind::evacuation:
        return manifests_.apply_evacuation(decoded->body);
    case command_kind::barrier:
        return wire::encode(manifests_.status());
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
        forget_oldest_replaced();
    }
    return {};
}

void control_state_machine::forget_oldest_replaced()
{
    auto victim = replica_order_.end() - 1;
    for (auto it = replica_order_.begin(); it != replica_order_.end(); ++it)
    {
        const auto& vm = replicas_.at(*it);
        const bool replaced =
            std::any_of(std::next(it), replica_order_.end(), [&](auto later) {
                return replicas_.at(later) == vm;
            });
        if (replaced)
        {
            victim = it;
            break;
        }
    }
    // Without any replaced one, the new one is not recorded.
    replicas_.erase(*victim);
    replica_order_.erase(victim);
}

std::string control_state_machine::take_snapshot()
{
    return wire::encode(snapshot_body{
        {{resources_.snapshot(), ledger_.snapshot(), replicas_},
         replica_order_},
        manifests_});
}

absl::Status control_state_machine::install_snapshot(std::string_view bytes)
{
    // The snapshot of a new cluster holds nothing.
    if (bytes.empty())
    {
        return absl::OkStatus();
    }
    auto body = decode_snapshot(bytes);
    if (!body.ok())
    {
        return body.status();
    }
    auto& unordered = body->ordered.unordered;
    auto& order = body->ordered.replica_order;
    const bool same_replicas =
        unordered.replicas.size() == order.size() &&
        std::all_of(order.begin(), order.end(), [&](auto id) {
            return unordered.replicas.contains(id);
        });
    if (!same_replicas)
    {
        return absl::InvalidArgumentError(
            "the replicas of the snapshot and their order differ");
    }
    if (auto status = resources_.restore(unordered.resources); !status.ok())
    {
        return status;
    }
    if (auto status = ledger_.restore(unordered.ledger); !status.ok())
    {
        return status;
    }
    replicas_ = std::move(unordered.replicas);
    replica_order_ = std::move(order);
    manifests_ = std::move(body->manifests);
    return absl::OkStatus();
}

} // namespace hyssoploft::control
