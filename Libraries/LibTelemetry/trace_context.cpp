// W3C Trace Context.

#include <LibTelemetry/trace_context.hpp>

#include <LibCore/text.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <charconv>

namespace hyssoploft::telemetry {

namespace {

constexpr std::size_t traceparent_size = 55;

std::string hex16(std::uint64_t n)
{
    return absl::StrCat(absl::Hex(n, absl::kZeroPad16));
}

bool is_lower_hex(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
    });
}

std::uint64_t parse_hex(std::string_view text)
{
    std::uint64_t n = 0;
    std::from_chars(text.data(), text.data() + text.size(), n, 16);
    return n;
}

std::uint64_t nonzero(core::random_source& random)
{
    const std::uint64_t n = random.next();
    return n == 0 ? 1 : n;
}

} // namespace

std::string trace_context::trace_id_hex() const
{
    return hex16(trace_id[0]) + hex16(trace_id[1]);
}

std::string trace_context::span_id_hex() const
{
    return hex16(span_id);
}

std::string trace_context::to_traceparent() const
{
    return core::concat(
        "00-", trace_id_hex(), "-", span_id_hex(), sampled ? "-01" : "-00");
}

std::optional<trace_context> parse_traceparent(std::string_view text)
{
    // Later versions may append fields; only version 00 has a fixed size.
    if (text.size() < traceparent_size || text[2] != '-' || text[35] != '-' ||
        text[52] != '-')
    {
        return std::nullopt;
    }
    const auto version = text.substr(0, 2);
    const bool bad_size = version == "00" ? text.size() != traceparent_size
                                          : text.size() > traceparent_size &&
                                                text[traceparent_size] != '-';
    if (version == "ff" || bad_size || !is_lower_hex(version) ||
        !is_lower_hex(text.substr(3, 32)) ||
        !is_lower_hex(text.substr(36, 16)) || !is_lower_hex(text.substr(53, 2)))
    {
        return std::nullopt;
    }
    trace_context result;
    result.trace_id = {
        parse_hex(text.substr(3, 16)), parse_hex(text.substr(19, 16))};
    result.span_id = parse_hex(text.substr(36, 16));
    result.sampled = (parse_hex(text.substr(53, 2)) & 1U) != 0;
    const bool no_trace = result.trace_id[0] == 0 && result.trace_id[1] == 0;
    if (no_trace || result.span_id == 0)
    {
        return std::nullopt;
    }
    return result;
}

trace_context new_trace(core::random_source& random)
{
    return {{nonzero(random), random.next()}, nonzero(random), true};
}

trace_context child_of(const trace_context& parent, core::random_source& random)
{
    return {parent.trace_id, nonzero(random), parent.sampled};
}

} // namespace hyssoploft::telemetry
