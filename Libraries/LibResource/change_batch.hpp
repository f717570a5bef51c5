#ifndef HYSSOPLOFT_LIBRESOURCE_CHANGE_BATCH_HPP
#define HYSSOPLOFT_LIBRESOURCE_CHANGE_BATCH_HPP

// Requested changes (change_batch), the result that the operator receives
// (apply_result) and the effect of an accepted batch (change_event), with
// their binary encodings.

#include <LibCore/enum_table.hpp>
#include <LibResource/resource_value.hpp>

#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hyssoploft::resource {

/// Maximum size of an encoded batch.
inline constexpr std::size_t max_batch_bytes = std::size_t{256} * 1024;

struct change
{
    resource_id id;
    std::optional<resource_value> value; ///< Absent: delete.
    /// 0: must not exist; absent: any version.
    std::optional<std::uint64_t> expected_version;
};

/// Applied atomically.
struct change_batch
{
    std::string request_id; ///< The same in every retry; 1 to 128 bytes.
    std::string author;     ///< Operator, for the audit log.
    std::uint64_t unix_milliseconds = 0; ///< For the audit log only.
    std::vector<change> changes;
    /// Digests of keys to withdraw; a key resource need not exist.
    std::vector<std::string> withdrawn_digests;
};

/// A validation error.
struct problem
{
    resource_id id;
    std::string field; ///< Such as "vms[2].region"; empty: the whole resource.
    std::string message;

    bool operator==(const problem&) const = default;
};

/// "kind/name: field: message"
std::string to_string(const problem& it);

enum class apply_outcome : std::uint8_t
{
    applied,
    unchanged,        ///< The configuration already matches; the version stays.
    conflict,         ///< A resource is at another version than expected.
    refused,          ///< Values or references are invalid; see the problems.
    request_id_reuse, ///< A different batch has used the identifier.
    malformed         ///< The bytes are not a batch.
};

inline constexpr core::enum_table<apply_outcome, 6> apply_outcome_names{
    {{apply_outcome::applied, "applied"},
     {apply_outcome::unchanged, "unchanged"},
     {apply_outcome::conflict, "conflict"},
     {apply_outcome::refused, "refused"},
     {apply_outcome::request_id_reuse, "request_id_reuse"},
     {apply_outcome::malformed, "malformed"}}};

struct conflict
{
    resource_id id;
    std::uint64_t expected_version = 0;
    std::uint64_t current_version = 0; ///< 0: it doesn't exist.
    /// Left out when it doesn't exist, and when the values of all conflicts
    /// exceed max_conflict_value_bytes.
    std::optional<resource_value> current;
};

/// Results are kept for retries, so their size is bounded.
inline constexpr std::size_t max_conflict_value_bytes = 2048;
inline constexpr std::size_t max_reported_items = 32;

struct apply_result
{
    apply_outcome outcome = apply_outcome::malformed;
    std::uint64_t version = 0; ///< After the batch.
    std::vector<conflict> conflicts;
    std::vector<problem> problems;
    std::uint32_t omitted = 0; ///< Conflicts and problems left out.
};

/// The new value of a resource; absent: deleted.
struct resource_update
{
    resource_id id;
    std::optional<resource_value> value;
};

/// The effect of one accepted batch. `version` is one more than before it.
struct change_event
{
    std::uint64_t version = 0;
    std::vector<resource_update> updates;
    std::vector<std::string> withdrawn_digests; ///< Newly withdrawn.
};

std::string encode_batch(const change_batch& it);
absl::StatusOr<change_batch> decode_batch(std::string_view bytes);

std::string encode_result(const apply_result& it);
absl::StatusOr<apply_result> decode_result(std::string_view bytes);

std::string encode_event(const change_event& it);
absl::StatusOr<change_event> decode_event(std::string_view bytes);

std::string encode_configuration(const configuration& it);
absl::StatusOr<configuration> decode_configuration(std::string_view bytes);

/// Installs the event. Its version must be one more than that of `to`.
void install_event(configuration& to, const change_event& event);

} // namespace hyssoploft::resource

#endif
