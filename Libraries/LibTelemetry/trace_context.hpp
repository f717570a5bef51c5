#ifndef HYSSOPLOFT_LIBTELEMETRY_TRACE_CONTEXT_HPP
#define HYSSOPLOFT_LIBTELEMETRY_TRACE_CONTEXT_HPP

// Identifiers of traces and spans in the header form of W3C Trace Context
// level 1 (the `traceparent` header).

#include <LibCore/random_source.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hyssoploft::telemetry {

struct trace_context
{
    std::array<std::uint64_t, 2> trace_id{}; ///< Not both 0.
    std::uint64_t span_id = 0;               ///< Not 0.
    bool sampled = true;

    std::string trace_id_hex() const;
    std::string span_id_hex() const;

    /// "00-<trace>-<span>-<flags>"
    std::string to_traceparent() const;
};

/// The context of a `traceparent` header; nothing if it is malformed.
std::optional<trace_context> parse_traceparent(std::string_view text);

/// The start of a new trace.
trace_context new_trace(core::random_source& random);

/// A child span of `parent` in the same trace.
trace_context
child_of(const trace_context& parent, core::random_source& random);

} // namespace hyssoploft::telemetry

#endif
