// Validates ranges and formats of each kind of resource by itself.

#include <LibCore/text.hpp>
#include <LibResource/validation.hpp>

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>
#include <utility>

namespace hyssoploft::resource {

namespace {

constexpr std::size_t max_name_bytes = 63;
constexpr std::size_t max_text_bytes = 256;
constexpr std::size_t digest_digits = 64;
constexpr double max_weight = 1000;
constexpr double max_tokens = 1e12;
// Above the 350 VMs of the design target; a fleet must fit into one batch.
constexpr std::uint32_t max_floor_slots = 2000;
constexpr auto max_deadline = std::chrono::hours(24);
constexpr auto max_record_lifetime = std::chrono::hours(24 * 30);

class value_checker
{
public:
    explicit value_checker(resource_id id) : id_(std::move(id)) {}

    void add(std::string field, std::string message)
    {
        problems_.push_back({id_, std::move(field), std::move(message)});
    }

    void require(bool holds, const char* field, const char* message)
    {
        if (!holds)
        {
            add(field, message);
        }
    }

    void check_range(double value, double low, double high, const char* field)
    {
        if (!std::isfinite(value) || value < low || value > high)
        {
            add(field, core::concat("must be from ", low, " to ", high));
        }
    }

    void check_name(const std::string& value, const std::string& field)
    {
        if (!is_valid_name(value))
        {
            add(field, "must be 1 to 63 letters, digits, '.', '_' or '-'");
        }
    }

    void check_optional_name(const std::string& value, const char* field)
    {
        if (!value.empty())
        {
            check_name(value, field);
        }
    }

    std::vector<problem> take_problems()
    {
        return std::move(problems_);
    }

private:
    resource_id id_;
    std::vector<problem> problems_;
};

void check(value_checker& checker, const account& it)
{
    checker.check_optional_name(it.home_region, "home_region");
    if (!std::isfinite(it.weight) || it.weight <= 0 || it.weight > max_weight)
    {
        checker.add("weight", "must be greater than 0 and at most 1000");
    }
}

void check(value_checker& checker, const key& it)
{
    checker.check_name(it.account, "account");
    checker.require(
        is_valid_digest(it.digest), "digest",
        "must be 64 lower case hexadecimal digits");
}

void check(value_checker& checker, const rate& it)
{
    checker.check_range(
        it.tokens_per_second, 0, max_tokens, "tokens_per_second");
    checker.check_range(it.burst_tokens, 0, max_tokens, "burst_tokens");
    checker.check_range(it.floor_fraction, 0, 1, "floor_fraction");
}

void check_match(value_checker& checker, const route& it)
{
    const bool is_inference = it.kind == route_kind::inference;
    if (it.kind != route_kind::inference && it.kind != route_kind::service)
    {
        checker.add("type", "is unknown");
        return;
    }
    checker.require(
        it.model.empty() != is_inference, "model",
        is_inference ? "is missing" : "is for inference routes only");
    checker.require(
        it.model.size() <= max_text_bytes, "model", "is longer than 256 bytes");
    checker.require(
        it.path_prefix.empty() == is_inference, "path_prefix",
        is_inference ? "is for service routes only" : "is missing");
    if (!is_inference && !it.path_prefix.empty())
    {
        // A service route must not shadow the gateway's own endpoints.
        const bool is_reserved = it.path_prefix.starts_with("/v1/") ||
                                 it.path_prefix.starts_with("/upstreams/") ||
                                 it.path_prefix == "/";
        checker.require(
            it.path_prefix.front() == '/' && !is_reserved &&
                it.path_prefix.size() <= max_text_bytes,
            "path_prefix",
            "must begin with '/', have at most 256 bytes and not be one of "
            "the gateway's own paths");
    }
}

void check(value_checker& checker, const route& it)
{
    check_match(checker, it);
    checker.check_name(it.upstream_role, "upstream_role");
    checker.check_optional_name(it.residency, "residency");
    checker.require(
        it.repeat == repeat_rule::idempotent ||
            it.repeat == repeat_rule::not_repeatable,
        "repeat", "is unknown");
    checker.require(
        it.priority == priority_class::interactive ||
            it.priority == priority_class::batch,
        "priority", "is unknown");
    checker.require(
        it.deadline > core::duration::zero() && it.deadline <= max_deadline,
        "deadline", "must be greater than 0 and at most 24 h");
    checker.require(
        it.record_lifetime > core::duration::zero() &&
            it.record_lifetime <= max_record_lifetime,
        "record_lifetime", "must be greater than 0 and at most 30 days");
    checker.check_range(
        it.remote_price_seconds, 0, 3600, "remote_price_seconds");
    if (it.repeat == repeat_rule::not_repeatable)
    {
        // If the idempotency record expired during the call, a retry would
        // run the call a second time.
        checker.require(
            it.record_lifetime >= it.deadline, "record_lifetime",
            "must not be shorter than the deadline");
        // Callers without an account would share one set of idempotency
        // records and could fetch each other's responses.
        checker.require(
            !it.open, "open", "a not_repeatable route can't be open to all");
    }
}

void check(value_checker& checker, const residency& it)
{
    checker.require(!it.regions.empty(), "regions", "must name a region");
    for (const auto& region : it.regions)
    {
        checker.check_name(region, "regions");
    }
}

void check(value_checker& /*checker*/, const upstream_role& /*it*/) {}

void check_vms(value_checker& checker, const fleet& it)
{
    std::set<std::string> ids;
    for (std::size_t n = 0; n < it.vms.size(); ++n)
    {
        const auto& vm = it.vms[n];
        const auto field = core::concat("vms[", n, "].");
        checker.check_name(vm.id, field + "id");
        checker.check_name(vm.region, field + "region");
        checker.check_name(vm.data_center, field + "data_center");
        if (!ids.insert(vm.id).second)
        {
            checker.add(
                field + "id", core::concat("'", vm.id, "' is duplicate"));
        }
    }
    if (it.vms.size() > it.floor_slots)
    {
        checker.add(
            "vms", core::concat(
                       it.vms.size(), " VMs are more than floor_slots (",
                       it.floor_slots, ")"));
    }
}

void check(value_checker& checker, const fleet& it)
{
    checker.require(
        it.floor_slots >= 1 && it.floor_slots <= max_floor_slots, "floor_slots",
        "must be from 1 to 2000");
    check_vms(checker, it);
    std::set<std::string> regions;
    for (const auto& vm : it.vms)
    {
        regions.insert(vm.region);
    }
    std::set<std::pair<std::string, std::string>> pairs;
    for (std::size_t n = 0; n < it.links.size(); ++n)
    {
        const auto& link = it.links[n];
        const auto field = core::concat("links[", n, "].");
        for (const auto& [end, name] :
             {std::pair(&link.from, "from"), std::pair(&link.to, "to")})
        {
            if (!regions.contains(*end))
            {
                checker.add(
                    field + name,
                    core::concat("no VM is in region '", *end, "'"));
            }
        }
        if (link.from == link.to)
        {
            checker.add(field + "to", "is the same region as from");
        }
        if (!pairs.emplace(link.from, link.to).second)
        {
            checker.add(field + "to", "this link is duplicate");
        }
        if (!std::isfinite(link.bytes_per_second) || link.bytes_per_second <= 0)
        {
            checker.add(field + "bytes_per_second", "must be greater than 0");
        }
    }
}

} // namespace

bool is_valid_name(std::string_view it)
{
    return !it.empty() && it.size() <= max_name_bytes &&
           std::all_of(it.begin(), it.end(), [](char c) {
               return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                      (c >= '0' && c <= '9') || c == '.' || c == '_' ||
                      c == '-';
           });
}

bool is_valid_digest(std::string_view it)
{
    return it.size() == digest_digits &&
           std::all_of(it.begin(), it.end(), [](char c) {
               return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
           });
}

std::vector<problem> check_values(const resource_value& it)
{
    const auto id = id_of(it);
    value_checker checker(id);
    checker.check_name(id.name, "name");
    std::visit(
        [&](const auto& v) {
            check(checker, v);
        },
        it);
    return checker.take_problems();
}

} // namespace hyssoploft::resource
