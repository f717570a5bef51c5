#ifndef HYSSOPLOFT_LIBCONTROL_CONTROL_MESSAGES_HPP
#define HYSSOPLOFT_LIBCONTROL_CONTROL_MESSAGES_HPP

// Messages of the control thread and the commands of the log.

#include <LibWire/serialization.hpp>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace hyssoploft::control {

/// Sent by a control VM to the other control VMs to announce its replica. Also
/// lets the voters of a new cluster discover each other.
struct replica_hello
{
    std::string vm;
    std::uint64_t replica = 0;
    bool has_history = false;                ///< Its log is not empty.
    std::vector<std::string> initial_voters; ///< VMs, from its settings.

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(vm, replica, has_history, initial_voters);
    }
};

enum class command_kind : std::uint8_t
{
    resources = 1, ///< resource::change_batch
    ledger = 2,    ///< ledger::command
    replica = 3,   ///< replica_entry
    manifest = 4,  ///< manifest_command
    /// evacuation_command, whatever came before it. No longer proposed; logs
    /// of earlier builds contain it.
    evacuation = 5,
    barrier = 6,           ///< No body: reads the manifest_status in log order.
    evacuation_change = 7, ///< control::evacuation_change
    departure = 8          ///< departure_command
};

/// A command as stored in a log entry.
struct log_command
{
    std::uint8_t kind = 0; ///< command_kind
    std::string body;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(kind, body);
    }
};

/// The VM that a replica runs on.
struct replica_entry
{
    std::uint64_t replica = 0;
    std::string vm;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(replica, vm);
    }
};

enum class propose_status : std::uint8_t
{
    committed = 0,
    not_leader = 1, ///< Not in the log; `leader_vm` may name the leader.
    overloaded = 2, ///< Not in the log.
    lost = 3,       ///< May or may not be in the log.
    disk_full = 4   ///< Not in the log: the leader's disk has no space.
};

struct propose_result
{
    std::uint8_t status = 0; ///< propose_status
    std::string leader_vm;   ///< Empty if unknown.
    std::string result;      ///< Result of the state machine, if committed.

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(status, leader_vm, result);
    }
};

struct config_pull
{
    std::uint64_t from_version = 0;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(from_version);
    }
};

/// Changes after the requested version.
struct config_changes
{
    std::uint64_t version = 0; ///< In force at the sender.
    std::vector<std::string> events;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(version, events);
    }
};

/// Requests the part of the snapshot that begins at `offset`; version 0 selects
/// the newest snapshot of the VM that answers.
struct snapshot_pull
{
    std::uint64_t version = 0;
    std::uint64_t offset = 0;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(version, offset);
    }
};

struct snapshot_part
{
    std::uint64_t version = 0;
    std::uint64_t total_bytes = 0;
    std::uint64_t offset = 0;
    std::string bytes;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(version, total_bytes, offset, bytes);
    }
};

/// The answer of an at-most-once call, for storage on another VM of the region;
/// also the request and the response of a fetch.
struct answer_message
{
    std::string account;
    std::string route;
    std::string key_digest;
    std::string answer_digest; ///< In a fetch: selects the answer.
    std::string region;        ///< The answer must not leave it.
    std::uint64_t lifetime_ms = 0;
    std::uint32_t status = 0; ///< 0: no answer.
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(
            account, route, key_digest, answer_digest, region, lifetime_ms,
            status, headers, body);
    }
};

} // namespace hyssoploft::control

#endif
