#ifndef HYSSOPLOFT_LIBTELEMETRY_SPAN_HPP
#define HYSSOPLOFT_LIBTELEMETRY_SPAN_HPP

// One span for each hop of a request. Attributes hold names, reasons and
// numbers only: no prompt, answer or key may be put into a span.

#include <LibTelemetry/trace_context.hpp>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace hyssoploft::telemetry {

enum class span_kind : std::uint8_t
{
    server = 2, // Values of the OTLP enumeration SpanKind.
    client = 3
};

struct span
{
    trace_context context;
    std::uint64_t parent_span_id = 0; ///< 0: root of its trace.
    std::string name;
    span_kind kind = span_kind::server;
    std::uint64_t start_unix_ns = 0;
    std::uint64_t end_unix_ns = 0;
    bool error = false;
    std::vector<std::pair<std::string, std::string>> attributes;
};

/// One line of JSON: an OTLP `ExportTraceServiceRequest` with these spans.
std::string to_otlp_json(
    const std::vector<span>& spans, const std::string& service,
    const std::string& vm);

} // namespace hyssoploft::telemetry

#endif
