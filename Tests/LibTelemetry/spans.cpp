// Guards against spans that are lost at exit or are no valid OTLP JSON.

#include <LibTelemetry/span_exporter.hpp>

#include <boost/json.hpp>
#include <doctest.h>

#include <cstdio>
#include <fstream>

using namespace hyssoploft;

namespace {

telemetry::span sample(std::uint64_t id)
{
    telemetry::span it;
    it.context = {{1, 2}, id, true};
    it.parent_span_id = 9;
    it.name = "call \"x\"";
    it.error = true;
    it.attributes = {{"reason", "only_candidate"}};
    return it;
}

} // namespace

TEST_CASE("spans become an OTLP export request")
{
    const auto root = boost::json::parse(
        telemetry::to_otlp_json({sample(3)}, "hyssoploft", "v1"));
    const auto& it =
        root.at_pointer("/resourceSpans/0/scopeSpans/0/spans/0").as_object();
    CHECK_EQ(it.at("traceId").as_string(), "00000000000000010000000000000002");
    CHECK_EQ(it.at("parentSpanId").as_string(), "0000000000000009");
    CHECK_EQ(it.at("status").as_object().at("code").as_int64(), 2);
}

TEST_CASE("every queued span is written before the exporter ends")
{
    const std::string path = "spans_test.jsonl";
    std::remove(path.c_str());
    {
        auto it =
            telemetry::span_file_exporter::create(path, "hyssoploft", "v1");
        REQUIRE(it.ok());
        for (std::uint64_t n = 1; n <= 100; ++n)
        {
            (*it)->finished(sample(n));
        }
    }
    std::ifstream in(path);
    std::size_t spans = 0;
    for (std::string line; std::getline(in, line);)
    {
        const auto root = boost::json::parse(line);
        spans += root.at_pointer("/resourceSpans/0/scopeSpans/0/spans")
                     .as_array()
                     .size();
    }
    CHECK_EQ(spans, 100);
    std::remove(path.c_str());
}

TEST_CASE("a trace file that can't be opened is an error")
{
    CHECK_FALSE(telemetry::span_file_exporter::create(
                    "no_such_directory/spans", "hyssoploft", "v1")
                    .ok());
}
