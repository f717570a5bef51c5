// Applies, compares, lists, deletes and watches resources.

#include <hyssopctl/commands.hpp>

#include <LibCore/keyed_hash.hpp>
#include <LibCore/text.hpp>
#include <LibResource/declaration_file.hpp>
#include <LibResource/resource_json.hpp>
#include <LibResource/validation.hpp>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <fstream>
#include <iterator>
#include <utility>

namespace hyssoploft::ctl {

namespace json = boost::json;
using namespace resource;

namespace {

constexpr std::size_t request_id_words = 2;

absl::StatusOr<std::string> read_file(const std::string& path)
{
    std::ifstream in(path, std::ios::binary);
    if (!in)
    {
        return absl::NotFoundError(core::concat(path, ": can't be read"));
    }
    return std::string(std::istreambuf_iterator<char>(in), {});
}

std::string text_of(const absl::Status& it)
{
    return std::string(it.message());
}

configuration to_configuration(const resource_list& from)
{
    configuration to;
    to.version = from.version;
    for (const auto& it : from.items)
    {
        put_resource(to, it.value, it.version);
    }
    return to;
}

struct comparison
{
    configuration current;
    std::vector<change> changes; ///< Those that differ from `current`.
};

/// Reads a file and compares it to the listing; findings go to `err`.
std::optional<comparison>
compare_file(command_context& to, const std::string& path, exit_code& failure)
{
    const auto text = read_file(path);
    if (!text.ok())
    {
        to.err << text_of(text.status()) << "\n";
        failure = exit_code::usage;
        return std::nullopt;
    }
    const auto listed = list_resources(to, "", "");
    if (!listed.ok())
    {
        failure = fail(to, text_of(listed.status()));
        return std::nullopt;
    }
    comparison it;
    it.current = to_configuration(*listed);
    auto file = parse_declarations(*text, path, &it.current);
    if (!file.found.empty())
    {
        to.err << text_of(file.found.to_status()) << "\n";
        failure = exit_code::usage;
        return std::nullopt;
    }
    for (auto& item : file.changes)
    {
        if (find_resource(it.current, item.id) != item.value)
        {
            item.expected_version = version_of(it.current, item.id);
            it.changes.push_back(std::move(item));
        }
    }
    return it;
}

void print_difference(
    std::ostream& out, const resource_id& id,
    const std::optional<resource_value>& old, const resource_value& now)
{
    const auto after = to_json(now);
    if (!old)
    {
        out << "+ " << to_string(id) << " " << json::serialize(after) << "\n";
        return;
    }
    const auto before = to_json(*old);
    out << "~ " << to_string(id) << "\n";
    for (const auto& it : after)
    {
        const auto* value = before.if_contains(it.key());
        if (value == nullptr || *value != it.value())
        {
            out << "    " << it.key() << ": "
                << (value == nullptr ? "" : json::serialize(*value)) << " -> "
                << json::serialize(it.value()) << "\n";
        }
    }
}

void print_result(std::ostream& out, const apply_result& it)
{
    out << core::name_of(apply_outcome_names, it.outcome) << " at version "
        << it.version << "\n";
    for (const auto& item : it.conflicts)
    {
        out << "  " << to_string(item.id) << ": expected version "
            << item.expected_version << ", is at " << item.current_version;
        if (item.current)
        {
            out << ": " << json::serialize(to_json(*item.current));
        }
        out << "\n";
    }
    for (const auto& item : it.problems)
    {
        out << "  " << to_string(item) << "\n";
    }
    if (it.omitted > 0)
    {
        out << "  and " << it.omitted << " more\n";
    }
}

void print_event(std::ostream& out, const change_event& event)
{
    for (const auto& it : event.updates)
    {
        out << event.version << (it.value ? " set " : " delete ")
            << to_string(it.id);
        if (it.value)
        {
            out << " " << json::serialize(to_json(*it.value));
        }
        out << "\n";
    }
    for (const auto& it : event.withdrawn_digests)
    {
        out << event.version << " withdrawn " << it << "\n";
    }
    out.flush();
}

exit_code send_request(command_context& to, const apply_request& request)
{
    const auto reply = to.client.post(admin_path::apply, to_json_text(request));
    if (!reply.ok())
    {
        return fail(
            to, core::concat(
                    text_of(reply.status()),
                    "\nit is not known whether the change was applied; ask by "
                    "hyssopctl outcome ",
                    request.request_id));
    }
    const auto result = from_json_text<apply_result>(reply->body);
    if (!result.ok())
    {
        return fail(to, error_text(*reply));
    }
    print_result(to.out, *result);
    switch (result->outcome)
    {
    case apply_outcome::applied:
    case apply_outcome::unchanged:
        return exit_code::done;
    case apply_outcome::conflict:
        return exit_code::conflict;
    default:
        return exit_code::failed;
    }
}

std::optional<resource_id>
parse_id(command_context& to, const std::string& kind, const std::string& name)
{
    const auto it = core::value_of(resource_kind_names, kind);
    if (!it || !is_valid_name(name))
    {
        to.err << "unknown kind or wrong name: " << kind << "/" << name << "\n";
        return std::nullopt;
    }
    return resource_id{*it, name};
}

} // namespace

exit_code fail(command_context& to, const std::string& message)
{
    to.err << message << "\n";
    return exit_code::failed;
}

std::string make_request_id(core::random_source& random)
{
    std::string bytes;
    for (std::size_t n = 0; n < request_id_words; ++n)
    {
        const auto word = random.next();
        bytes.append(reinterpret_cast<const char*>(&word), sizeof word);
    }
    return core::to_hex(bytes);
}

absl::StatusOr<resource_list> list_resources(
    command_context& to, const std::string& kind, const std::string& name)
{
    auto target = std::string(admin_path::resources);
    if (!kind.empty())
    {
        target += "?kind=" + kind;
    }
    if (!name.empty())
    {
        target += "&name=" + name;
    }
    const auto reply = to.client.get(target);
    if (!reply.ok())
    {
        return reply.status();
    }
    if (reply->status != 200)
    {
        return absl::UnavailableError(error_text(*reply));
    }
    return from_json_text<resource_list>(reply->body);
}

exit_code send_changes(command_context& to, std::vector<change> changes)
{
    return send_request(
        to, {make_request_id(to.random), to.dry_run, std::move(changes)});
}

exit_code show_outcome(command_context& to, const std::string& request_id)
{
    // An empty batch never acts; see resource_store::apply().
    return send_request(to, {request_id, false, {}});
}

exit_code apply_file(command_context& to, const std::string& path)
{
    auto code = exit_code::failed;
    auto it = compare_file(to, path, code);
    if (!it)
    {
        return code;
    }
    if (it->changes.empty())
    {
        to.out << "unchanged at version " << it->current.version << "\n";
        return exit_code::done;
    }
    return send_changes(to, std::move(it->changes));
}

exit_code diff_file(command_context& to, const std::string& path)
{
    auto code = exit_code::failed;
    const auto it = compare_file(to, path, code);
    if (!it)
    {
        return code;
    }
    for (const auto& item : it->changes)
    {
        print_difference(
            to.out, item.id, find_resource(it->current, item.id), *item.value);
    }
    return it->changes.empty() ? exit_code::done : exit_code::differs;
}

exit_code get_resources(
    command_context& to, const std::string& kind, const std::string& name)
{
    if (!core::value_of(resource_kind_names, kind) ||
        (!name.empty() && !is_valid_name(name)))
    {
        to.err << "unknown kind or wrong name\n";
        return exit_code::usage;
    }
    const auto listed = list_resources(to, kind, name);
    if (!listed.ok())
    {
        return fail(to, text_of(listed.status()));
    }
    for (const auto& it : listed->items)
    {
        auto form = to_json(it.value);
        form["version"] = it.version;
        to.out << json::serialize(form) << "\n";
    }
    const bool missing = listed->items.empty() && !name.empty();
    return missing ? fail(to, core::concat(kind, "/", name, ": not found"))
                   : exit_code::done;
}

exit_code delete_resource(
    command_context& to, const std::string& kind, const std::string& name)
{
    const auto id = parse_id(to, kind, name);
    if (!id)
    {
        return exit_code::usage;
    }
    const auto listed = list_resources(to, kind, name);
    if (!listed.ok())
    {
        return fail(to, text_of(listed.status()));
    }
    if (listed->items.empty())
    {
        return fail(to, to_string(*id) + ": not found");
    }
    return send_changes(to, {{*id, {}, listed->items.front().version}});
}

exit_code
watch(command_context& to, std::optional<std::uint64_t> from, std::size_t count)
{
    if (!from)
    {
        const auto listed =
            list_resources(to, "fleet", std::string(fleet_name));
        if (!listed.ok())
        {
            return fail(to, text_of(listed.status()));
        }
        from = listed->version;
    }
    while (count > 0)
    {
        const auto reply =
            to.client.get(core::concat(admin_path::watch, "?from=", *from));
        if (!reply.ok())
        {
            return fail(to, text_of(reply.status()));
        }
        const auto changes = from_json_text<watch_response>(reply->body);
        if (!changes.ok())
        {
            return fail(to, error_text(*reply));
        }
        if (changes->list_again)
        {
            to.err << "changes after version " << *from
                   << " are no longer kept; list the resources again\n";
        }
        for (const auto& it : changes->events)
        {
            // A VM that lags sends nothing older than what was printed.
            if (it.version > *from && count > 0)
            {
                print_event(to.out, it);
                *from = it.version;
                --count;
            }
        }
        *from = std::max(*from, count > 0 ? changes->version : 0);
    }
    return exit_code::done;
}

} // namespace hyssoploft::ctl
