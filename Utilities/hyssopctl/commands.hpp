#ifndef HYSSOPLOFT_HYSSOPCTL_COMMANDS_HPP
#define HYSSOPLOFT_HYSSOPCTL_COMMANDS_HPP

// The commands. Each writes its result to `out`, errors to `err`, and returns
// an exit code.

#include <LibCore/random_source.hpp>
#include <LibResource/admin_api.hpp>
#include <hyssopctl/admin_client.hpp>

#include <absl/status/status.h>

#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace hyssoploft::ctl {

enum class exit_code : int
{
    done = 0,
    failed = 1,   ///< No VM answered, or the server refused.
    usage = 2,    ///< Wrong arguments, or findings in a file.
    conflict = 3, ///< Somebody else changed a resource; nothing was applied.
    differs = 4   ///< diff: there are differences.
};

struct command_context
{
    admin_client& client;
    core::random_source& random; ///< Fit for secrets.
    std::ostream& out;
    std::ostream& err;
    bool dry_run = false;
};

// Resources (resource_commands.cpp).

/// Applies a declaration file whole, if no resource of it has changed since
/// it was listed.
exit_code apply_file(command_context& to, const std::string& path);
/// Shows what apply_file() would change.
exit_code diff_file(command_context& to, const std::string& path);
/// Lists resources as JSON, one a line; that is also YAML.
exit_code get_resources(
    command_context& to, const std::string& kind, const std::string& name);
exit_code delete_resource(
    command_context& to, const std::string& kind, const std::string& name);
/// Tells the outcome of an earlier request. One that was not applied never
/// will be from now on, even if it is still on its way.
exit_code show_outcome(command_context& to, const std::string& request_id);
/// Prints changes after `from` (nothing: from now), `count` at most.
exit_code watch(
    command_context& to, std::optional<std::uint64_t> from, std::size_t count);

// Keys (key_commands.cpp).

/// Makes a key, sends its keyed hash and prints the key once.
exit_code create_key(
    command_context& to, const std::string& account, const std::string& name,
    const std::string& hash_secret);
/// Withdraws keys given by name or digest.
exit_code withdraw_keys(
    command_context& to, const std::vector<std::string>& names_or_digests);

// The fleet (operator_commands.cpp).

exit_code show_status(command_context& to);
/// Drains the only VM of the client's addresses.
exit_code drain(command_context& to);
exit_code show_entry_vms(command_context& to);

// Shared by the commands.

/// A new identifier of 128 random bits.
std::string make_request_id(core::random_source& random);
absl::StatusOr<resource::resource_list> list_resources(
    command_context& to, const std::string& kind, const std::string& name);
/// Sends changes and prints the outcome.
exit_code
send_changes(command_context& to, std::vector<resource::change> changes);
/// Prints an error and returns exit_code::failed.
exit_code fail(command_context& to, const std::string& message);

} // namespace hyssoploft::ctl

#endif
