// Pages for callers and monitoring that need no upstream.

#include <LibGateway/public_pages.hpp>

#include <LibCore/text.hpp>
#include <LibMembership/entry_vm_directory.hpp>
#include <LibResource/admin_api.hpp>

#include <absl/strings/str_split.h>
#include <boost/json.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace hyssoploft::gateway {

namespace {

namespace json = boost::json;

http::response json_response(const json::value& body)
{
    http::response out(http::bhttp::status::ok, 11);
    out.set(http::bhttp::field::content_type, "application/json");
    out.body() = json::serialize(body);
    return out;
}

http::response text_response(bool ok, std::string body)
{
    http::response out(
        ok ? http::bhttp::status::ok : http::bhttp::status::service_unavailable,
        11);
    out.set(http::bhttp::field::content_type, "text/plain; version=0.0.4");
    out.body() = std::move(body);
    return out;
}

// Regions in which the data of this route or model may be; empty: all.
std::set<std::string> allowed_regions_for(
    const resource::configuration& declared, const std::string& route,
    const std::string& model)
{
    for (const auto& [name, it] : declared.routes)
    {
        const bool wanted = (!route.empty() && name == route) ||
                            (!model.empty() && it.model == model);
        const auto rule = wanted ? declared.residencies.find(it.residency)
                                 : declared.residencies.end();
        if (rule != declared.residencies.end())
        {
            return rule->second.regions;
        }
    }
    return {};
}

http::response
entry_vms_page(gateway_services& services, const http::exchange& it)
{
    const std::string_view target(
        it.message().target().data(), it.message().target().size());
    const auto fleet = services.control->fleet();
    const auto declared = services.control->configuration();
    const auto regions = allowed_regions_for(
        *declared, query_parameter(target, "route"),
        query_parameter(target, "model"));
    membership::directory_query query;
    query.region = query_parameter(target, "region");
    query.data_center = query_parameter(target, "data_center");
    if (query.region.empty())
    {
        query.region = services.self.region;
        query.data_center = services.self.data_center;
    }
    query.caller = it.remote().to_string();
    query.limit = fleet->vms.size();
    const auto list = membership::find_entry_vms(*fleet, query);
    resource::entry_vm_list out;
    out.lifetime_seconds = core::to_seconds(list.lifetime);
    for (const auto& vm : list.vms)
    {
        if (regions.empty() || regions.contains(vm.region))
        {
            out.vms.push_back(
                {vm.id, vm.http_address, vm.region, vm.data_center});
        }
    }
    http::response answer(http::bhttp::status::ok, 11);
    answer.set(http::bhttp::field::content_type, "application/json");
    answer.body() = resource::to_json_text(out);
    return answer;
}

http::response models_page(gateway_services& services, const http::exchange& it)
{
    const auto declared = services.control->configuration();
    auto found = services.keys->authenticate(
        it, *declared, *services.control, services.dispatch->now());
    if (const auto* refused = std::get_if<refusal>(&found))
    {
        return to_response(*refused);
    }
    json::array data;
    for (const auto& [name, route] : declared->routes)
    {
        if (route.kind == resource::route_kind::inference)
        {
            data.push_back(json::object{
                {"id", route.model},
                {"object", "model"},
                {"owned_by", "hyssoploft"}});
        }
    }
    return json_response(
        json::object{{"object", "list"}, {"data", std::move(data)}});
}

} // namespace

std::string query_parameter(std::string_view target, std::string_view name)
{
    const auto question = target.find('?');
    if (question == std::string_view::npos)
    {
        return {};
    }
    const std::vector<std::string> parameters =
        absl::StrSplit(core::to_absl(target.substr(question + 1)), '&');
    const std::string prefix = std::string(name) + "=";
    for (const auto& it : parameters)
    {
        if (it.rfind(prefix, 0) == 0)
        {
            return it.substr(prefix.size());
        }
    }
    return {};
}

std::optional<http::response>
answer_page(gateway_services& services, const http::exchange& it, bool ready)
{
    if (it.message().method() != http::bhttp::verb::get)
    {
        return std::nullopt;
    }
    const std::string_view target(
        it.message().target().data(), it.message().target().size());
    const auto path = target.substr(0, target.find('?'));
    if (path == "/v1/entry-vms")
    {
        return entry_vms_page(services, it);
    }
    if (path == "/v1/models")
    {
        return models_page(services, it);
    }
    if (path == "/healthz")
    {
        return text_response(true, "ok\n");
    }
    if (path == "/readyz")
    {
        return text_response(ready, ready ? "ready\n" : "not ready\n");
    }
    if (path == "/metrics")
    {
        return text_response(true, services.metrics->to_text());
    }
    return std::nullopt;
}

} // namespace hyssoploft::gateway
