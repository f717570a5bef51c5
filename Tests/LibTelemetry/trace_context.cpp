// Guards against malformed trace headers that are passed on.

#include <LibTelemetry/trace_context.hpp>

#include <doctest.h>

#include <string>

using namespace hyssoploft;

TEST_CASE("traceparent headers are parsed as W3C Trace Context says")
{
    const std::string good =
        "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
    struct row
    {
        std::string text;
        bool valid;
    };
    const row rows[] = {
        {good, true},
        {"cc" + good.substr(2) + "-later", true},
        {good + "-x", false},
        {"ff" + good.substr(2), false},
        {"00-00000000000000000000000000000000-00f067aa0ba902b7-01", false},
        {"00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01", false},
        {"00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01", false},
        {"", false},
        {std::string(55, '-'), false},
    };
    for (const auto& it : rows)
    {
        CAPTURE(it.text);
        CHECK_EQ(telemetry::parse_traceparent(it.text).has_value(), it.valid);
    }
    CHECK_EQ(telemetry::parse_traceparent(good)->to_traceparent(), good);
}

TEST_CASE("a child span stays in its trace")
{
    core::seeded_random random(1);
    const auto root = telemetry::new_trace(random);
    const auto child = telemetry::child_of(root, random);
    CHECK(child.trace_id == root.trace_id);
    CHECK(child.span_id != root.span_id);
}
