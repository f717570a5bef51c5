// OTLP JSON (protobuf JSON mapping of the OpenTelemetry protocol 1.0).

#include <LibTelemetry/span.hpp>

#include <LibCore/text.hpp>

#include <boost/json.hpp>

namespace hyssoploft::telemetry {

namespace {

namespace json = boost::json;

constexpr int otlp_status_error = 2;

json::object attribute(const std::string& key, const std::string& value)
{
    return {{"key", key}, {"value", {{"stringValue", value}}}};
}

json::object to_json(const span& it)
{
    json::object out{
        {"traceId", it.context.trace_id_hex()},
        {"spanId", it.context.span_id_hex()},
        {"name", it.name},
        {"kind", static_cast<int>(it.kind)},
        {"startTimeUnixNano", std::to_string(it.start_unix_ns)},
        {"endTimeUnixNano", std::to_string(it.end_unix_ns)}};
    if (it.parent_span_id != 0)
    {
        trace_context parent = it.context;
        parent.span_id = it.parent_span_id;
        out["parentSpanId"] = parent.span_id_hex();
    }
    if (it.error)
    {
        out["status"] = {{"code", otlp_status_error}};
    }
    json::array attributes;
    for (const auto& [key, value] : it.attributes)
    {
        attributes.push_back(attribute(key, value));
    }
    out["attributes"] = std::move(attributes);
    return out;
}

} // namespace

std::string to_otlp_json(
    const std::vector<span>& spans, const std::string& service,
    const std::string& vm)
{
    json::array items;
    for (const auto& it : spans)
    {
        items.push_back(to_json(it));
    }
    json::array resource_attributes{
        attribute("service.name", service),
        attribute("service.instance.id", vm)};
    json::object scope_spans{
        {"scope", {{"name", "hyssoploft"}}}, {"spans", std::move(items)}};
    json::object resource_spans{
        {"resource", {{"attributes", std::move(resource_attributes)}}},
        {"scopeSpans", json::array{std::move(scope_spans)}}};
    const json::object request{
        {"resourceSpans", json::array{std::move(resource_spans)}}};
    return json::serialize(request);
}

} // namespace hyssoploft::telemetry
