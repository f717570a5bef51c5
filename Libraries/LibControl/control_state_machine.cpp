// Dispatches committed commands.

#include <LibControl/control_state_machine.hpp>

#include <LibControl/control_messages.hpp>

#include <glog/logging.h>

namespace hyssoploft::control {

namespace {

// The oldest entries are dropped above this number: one is added for each
// replacement of a disk.
constexpr std::size_t max_replica_entries = 64;

struct snapshot_body
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
    }
    LOG(ERROR) << "log_command_unknown index=" << index
               << " kind=" << static_cast<int>(decoded->kind);
    return {};
}

std::string control_state_machine::apply_replica(std::string_view body)
{
    const auto entry = wire::decode<replica_entry>(body);
    if (entry.ok() && replicas_.size() < max_replica_entries)
    {
        replicas_[entry->replica] = entry->vm;
    }
    return {};
}

std::string control_state_machine::take_snapshot()
{
    return wire::encode(
        snapshot_body{resources_.snapshot(), ledger_.snapshot(), replicas_});
}

absl::Status control_state_machine::install_snapshot(std::string_view bytes)
{
    // The snapshot of a new cluster holds nothing.
    if (bytes.empty())
    {
        return absl::OkStatus();
    }
    auto body = wire::decode<snapshot_body>(bytes);
    if (!body.ok())
    {
        return body.status();
    }
    if (auto status = resources_.restore(body->resources); !status.ok())
    {
        return status;
    }
    if (auto status = ledger_.restore(body->ledger); !status.ok())
    {
        return status;
    }
    replicas_ = std::move(body->replicas);
    return absl::OkStatus();
}

} // namespace hyssoploft::control
