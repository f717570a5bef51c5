#ifndef HYSSOPLOFT_LIBRESOURCE_ADMIN_API_HPP
#define HYSSOPLOFT_LIBRESOURCE_ADMIN_API_HPP

// Requests and responses of the admin API for operators, with their JSON
// forms, for the server and for hyssopctl. docs/operations/hyssopctl.md lists
// paths and fields.

#include <LibResource/change_batch.hpp>

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hyssoploft::resource {

namespace admin_path {

inline constexpr std::string_view apply = "/admin/v1/apply";
inline constexpr std::string_view resources = "/admin/v1/resources";
inline constexpr std::string_view watch = "/admin/v1/watch";
inline constexpr std::string_view withdraw = "/admin/v1/keys/withdraw";
inline constexpr std::string_view status = "/admin/v1/status";
inline constexpr std::string_view drain = "/admin/v1/drain";
inline constexpr std::string_view entry_vms = "/v1/entry-vms";

} // namespace admin_path

/// POST admin_path::apply. The server adds author and time.
struct apply_request
{
    std::string request_id;
    bool dry_run = false;
    std::vector<change> changes;
};

/// POST admin_path::withdraw. Accepted at once by any VM, committed later.
struct withdraw_request
{
    std::string request_id;
    std::vector<std::string> digests;
    std::vector<std::string> names; ///< Of key resources.
};

struct withdraw_response
{
    std::uint64_t accepted = 0;  ///< Digests that the VM rejects from now on.
    std::uint64_t committed = 0; ///< Of these, committed in the log.
};

struct listed_resource
{
    resource_value value;
    std::uint64_t version = 0;
};

/// GET admin_path::resources, with the queries `kind` and `name`.
struct resource_list
{
    std::uint64_t version = 0; ///< From which a watch continues.
    std::vector<listed_resource> items;
};

/// GET admin_path::watch?from=N: the changes after N. Long polling: responds
/// at the first change or after some seconds without one.
struct watch_response
{
    std::uint64_t version = 0; ///< `from` of the next request.
    bool list_again = false;   ///< N is older than the change window.
    std::vector<change_event> events;
};

struct vm_status
{
    std::string id;
    std::string region;
    std::string state; ///< Name of a membership::vm_state, or "unknown".
    std::uint64_t version = 0; ///< In force on that VM.
    bool control = false;
};

/// GET admin_path::status.
struct status_response
{
    std::string vm;     ///< The responding VM.
    std::string leader; ///< Empty: unknown.
    std::uint64_t term = 0;
    std::uint64_t commit_index = 0;
    std::uint64_t version = 0;    ///< Of the responding VM's configuration.
    std::uint64_t everywhere = 0; ///< In force on every declared VM.
    std::uint64_t uncommitted_withdrawals = 0;
    std::uint64_t ledger_records = 0;
    std::vector<vm_status> vms;
    std::vector<std::string> lacking; ///< VMs that have not reported `version`.
};

/// POST admin_path::drain: the VM leaves the directory and takes no new work.
struct drain_response
{
    std::string vm;
    std::uint64_t running = 0; ///< Requests that are still running.
};

/// GET admin_path::entry_vms, on the address for callers.
struct entry_vm
{
    std::string id;
    std::string address; ///< "IP:port"
    std::string region;
    std::string data_center;
};

struct entry_vm_list
{
    double lifetime_seconds = 0;
    std::vector<entry_vm> vms; ///< In order of preference.
};

/// Body of a response that is not 2xx.
struct admin_error
{
    std::string message;
    std::vector<std::string> details; ///< Findings, one each.
};

/// HTTP status of an outcome: 200, 409 for a conflict or a reused request
/// identifier, 422 for refused, 400 for malformed.
unsigned http_status(apply_outcome it);

std::string to_json_text(const apply_request& it);
std::string to_json_text(const apply_result& it);
std::string to_json_text(const withdraw_request& it);
std::string to_json_text(const withdraw_response& it);
std::string to_json_text(const resource_list& it);
std::string to_json_text(const watch_response& it);
std::string to_json_text(const status_response& it);
std::string to_json_text(const drain_response& it);
std::string to_json_text(const entry_vm_list& it);
std::string to_json_text(const admin_error& it);

/// Reads one of the types above. INVALID_ARGUMENT with every finding, one a
/// line, if the text is not JSON or a field is missing, unknown or invalid.
template <typename T>
absl::StatusOr<T> from_json_text(std::string_view text);

extern template absl::StatusOr<apply_request>
    from_json_text<apply_request>(std::string_view);
extern template absl::StatusOr<apply_result>
    from_json_text<apply_result>(std::string_view);
extern template absl::StatusOr<withdraw_request>
    from_json_text<withdraw_request>(std::string_view);
extern template absl::StatusOr<withdraw_response>
    from_json_text<withdraw_response>(std::string_view);
extern template absl::StatusOr<resource_list>
    from_json_text<resource_list>(std::string_view);
extern template absl::StatusOr<watch_response>
    from_json_text<watch_response>(std::string_view);
extern template absl::StatusOr<status_response>
    from_json_text<status_response>(std::string_view);
extern template absl::StatusOr<drain_response>
    from_json_text<drain_response>(std::string_view);
extern template absl::StatusOr<entry_vm_list>
    from_json_text<entry_vm_list>(std::string_view);
extern template absl::StatusOr<admin_error>
    from_json_text<admin_error>(std::string_view);

} // namespace hyssoploft::resource

#endif
