// Parses and validates the requests of upstreams.

#include <LibGateway/upstream_api.hpp>

#include <LibCore/findings.hpp>
#include <LibCore/keyed_hash.hpp>
#include <LibCore/text.hpp>
#include <LibGateway/await_callback.hpp>
#include <LibHttp/connection_pool.hpp>
#include <LibHttp/header_policy.hpp>

#include <boost/json.hpp>

#include <charconv>
#include <string>
#include <utility>
#include <vector>

namespace hyssoploft::gateway {

namespace {

namespace json = boost::json;

constexpr std::size_t max_name_bytes = 128;
constexpr std::size_t max_list_entries = 64;
constexpr std::int64_t max_capacity = 65536;
constexpr std::size_t max_cache_hashes = 4096;
constexpr double lease_seconds = 6;
constexpr double renew_seconds = 2;

// Reads the fields of a JSON object and collects validation errors.
class field_reader
{
public:
    field_reader(const json::object& from, core::findings& found)
        : from_(from), found_(found)
    {}

    std::string string(const char* name, bool required)
    {
        const auto* it = from_.if_contains(name);
        if (!it || it->is_null())
        {
            if (required)
            {
                add_error(name, "is missing");
            }
            return {};
        }
        if (!it->is_string() || it->get_string().size() > max_name_bytes ||
            (required && it->get_string().empty()))
        {
            add_error(name, "is no text of 1 to 128 bytes");
            return {};
        }
        return {it->get_string().data(), it->get_string().size()};
    }

    std::vector<std::string> string_list(const char* name)
    {
        std::vector<std::string> out;
        const auto* it = from_.if_contains(name);
        if (!it || it->is_null())
        {
            return out;
        }
        if (!it->is_array() || it->get_array().size() > max_list_entries)
        {
            add_error(name, "is no list of at most 64 texts");
            return out;
        }
        for (const auto& entry : it->get_array())
        {
            if (!entry.is_string() ||
                entry.get_string().size() > max_name_bytes)
            {
                add_error(
                    name, "has an entry that is no text of 1 to 128 bytes");
                return out;
            }
            out.emplace_back(entry.get_string().c_str());
        }
        return out;
    }

    std::int64_t integer(
        const char* name, std::int64_t low, std::int64_t high, bool required)
    {
        const auto* it = from_.if_contains(name);
        if (!it)
        {
            if (required)
            {
                add_error(name, "is missing");
            }
            return low;
        }
        if (!it->is_int64() || it->get_int64() < low || it->get_int64() > high)
        {
            add_error(
                name,
                core::concat("is no whole number from ", low, " to ", high));
            return low;
        }
        return it->get_int64();
    }

    double number(const char* name)
    {
        const auto* it = from_.if_contains(name);
        if (!it)
        {
            return 0;
        }
        if (!it->is_number() || it->to_number<double>() < 0)
        {
            add_error(name, "is no number of at least 0");
            return 0;
        }
        return it->to_number<double>();
    }

    bool flag(const char* name)
    {
        const auto* it = from_.if_contains(name);
        if (it && !it->is_bool())
        {
            add_error(name, "is neither true nor false");
        }
        return it && it->is_bool() && it->get_bool();
    }

    void add_error(const char* name, std::string message)
    {
        found_.add({"", 0, name}, std::move(message));
    }

private:
    const json::object& from_;
    core::findings& found_;
};

absl::StatusOr<json::object> parse_object(std::string_view body)
{
    boost::system::error_code ec;
    json::value parsed = json::parse(body, ec);
    if (ec || !parsed.is_object())
    {
        return absl::InvalidArgumentError("body is no JSON object");
    }
    return std::move(parsed.get_object());
}

http::response accepted_response(const json::object& body)
{
    http::response out(http::bhttp::status::ok, 11);
    out.set(http::bhttp::field::content_type, "application/json");
    out.body() = json::serialize(body);
    return out;
}

http::response rejected_response(const absl::Status& status)
{
    return to_response(make_refusal(
        refusal_reason::malformed_request, std::string(status.message())));
}

absl::StatusOr<membership::load_report>
parse_load_report(std::string_view body, std::string& upstream)
{
    auto object = parse_object(body);
    if (!object.ok())
    {
        return object.status();
    }
    core::findings found;
    field_reader in(*object, found);
    membership::load_report out;
    upstream = in.string("id", true);
    out.sequence =
        static_cast<std::uint64_t>(in.integer("sequence", 0, INT64_MAX, true));
    out.running =
        static_cast<std::uint32_t>(in.integer("running", 0, 1 << 20, true));
    out.queued =
        static_cast<std::uint32_t>(in.integer("queued", 0, 1 << 20, false));
    out.tokens_per_second = in.number("tokens_per_second");
    out.lag = core::from_seconds(in.number("lag_seconds"));
    const auto status = found.to_status();
    return status.ok() ? absl::StatusOr<membership::load_report>(out) : status;
}

std::vector<std::uint64_t>
parse_hashes(const json::object& from, const char* name, core::findings& found)
{
    std::vector<std::uint64_t> out;
    const auto* it = from.if_contains(name);
    const auto* list = it ? it->if_array() : nullptr;
    if (!it)
    {
        return out;
    }
    if (!list || list->size() > max_cache_hashes)
    {
        found.add({"", 0, name}, "is no list of at most 4096 hashes");
        return out;
    }
    for (const auto& entry : *list)
    {
        const auto* text = entry.if_string();
        std::uint64_t n = 0;
        const bool parsed =
            text &&
            std::from_chars(text->data(), text->data() + text->size(), n, 16)
                    .ec == std::errc();
        if (!parsed)
        {
            found.add({"", 0, name}, "has an entry that is no hash");
            return out;
        }
        out.push_back(n);
    }
    return out;
}

http::response
handle_announcement(gateway_services& services, const std::string& body)
{
    auto record = parse_announcement(body);
    if (!record.ok())
    {
        return rejected_response(record.status());
    }
    services.control->announce(*std::move(record));
    return accepted_response(
        {{"lease_seconds", lease_seconds}, {"renew_seconds", renew_seconds}});
}

http::response
handle_load_report(gateway_services& services, const std::string& body)
{
    std::string upstream;
    const auto report = parse_load_report(body, upstream);
    if (!report.ok())
    {
        return rejected_response(report.status());
    }
    services.control->report_load(upstream, *report);
    return accepted_response({});
}

http::response
handle_cache_events(gateway_services& services, const std::string& body)
{
    const auto object = parse_object(body);
    if (!object.ok())
    {
        return rejected_response(object.status());
    }
    core::findings found;
    field_reader in(*object, found);
    const auto upstream = in.string("id", true);
    const auto sequence = in.integer("sequence", 0, INT64_MAX, true);
    const auto stored = parse_hashes(*object, "stored", found);
    const auto evicted = parse_hashes(*object, "evicted", found);
    if (!found.empty())
    {
        return rejected_response(found.to_status());
    }
    services.dispatch->apply_cache_event(
        upstream, static_cast<std::uint64_t>(sequence), stored, evicted);
    return accepted_response({});
}

http::asio::awaitable<http::response>
handle_leave(gateway_services& services, http::exchange& it)
{
    const auto object = parse_object(it.message().body());
    if (!object.ok())
    {
        co_return rejected_response(object.status());
    }
    core::findings found;
    field_reader in(*object, found);
    const auto upstream = in.string("id", true);
    const auto incarnation = in.integer("incarnation", 0, INT64_MAX, true);
    if (!found.empty())
    {
        co_return rejected_response(found.to_status());
    }
    const auto status =
        co_await await_callback<absl::Status>(it.executor(), [&](auto done) {
            services.control->leave(
                upstream, static_cast<std::uint64_t>(incarnation), done);
        });
    co_return status.ok()
        ? accepted_response({})
        : to_response(make_refusal(
              refusal_reason::no_quorum, "the departure is not committed yet"));
}

} // namespace

absl::StatusOr<membership::upstream_record>
parse_announcement(std::string_view body)
{
    const auto object = parse_object(body);
    if (!object.ok())
    {
        return object.status();
    }
    core::findings found;
    field_reader in(*object, found);
    membership::upstream_record out;
    out.id = in.string("id", true);
    out.address = in.string("address", true);
    if (!out.address.empty() && !http::parse_endpoint(out.address).ok())
    {
        in.add_error("address", "is not of the form IP:port");
    }
    out.role = in.string("role", true);
    out.region = in.string("region", true);
    out.data_center = in.string("data_center", true);
    out.models = in.string_list("models");
    out.adapters = in.string_list("adapters");
    out.version = in.string("version", false);
    out.capacity = static_cast<std::uint32_t>(
        in.integer("capacity", 1, max_capacity, true));
    out.incarnation = static_cast<std::uint64_t>(
        in.integer("incarnation", 0, INT64_MAX, true));
    out.sequence =
        static_cast<std::uint64_t>(in.integer("sequence", 0, INT64_MAX, true));
    const auto* listed = object->if_contains("capabilities");
    if (listed && listed->is_object())
    {
        field_reader capabilities(listed->get_object(), found);
        out.capabilities.resume = capabilities.flag("resume");
        out.capabilities.cancel = capabilities.flag("cancel");
        out.capabilities.priorities = capabilities.flag("priorities");
        out.capabilities.kv_export = capabilities.flag("kv_export");
    }
    else if (listed)
    {
        in.add_error("capabilities", "is no object");
    }
    const auto status = found.to_status();
    if (!status.ok())
    {
        return status;
    }
    return out;
}

http::asio::awaitable<http::response>
answer_upstream(gateway_services& services, http::exchange& it)
{
    const auto& message = it.message();
    if (!services.upstream_token.empty() &&
        !core::equal_constant_time(
            http::caller_key(message), services.upstream_token))
    {
        co_return to_response(make_refusal(
            refusal_reason::unknown_key,
            "upstreams need the announcement token"));
    }
    const std::string_view target(
        message.target().data(), message.target().size());
    const auto action = target.substr(upstream_api_prefix.size());
    if (message.method() == http::bhttp::verb::post)
    {
        if (action == "announce")
        {
            co_return handle_announcement(services, message.body());
        }
        if (action == "load")
        {
            co_return handle_load_report(services, message.body());
        }
        if (action == "cache-events")
        {
            co_return handle_cache_events(services, message.body());
        }
        if (action == "leave")
        {
            co_return co_await handle_leave(services, it);
        }
    }
    co_return to_response(make_refusal(
        refusal_reason::unknown_route, "there is no such upstream request"));
}

} // namespace hyssoploft::gateway
