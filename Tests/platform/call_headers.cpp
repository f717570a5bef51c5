// Guards against headers that reach an upstream or a caller and must not, and
// against answers that are misread.

#include <platform/call_headers.hpp>

#include <absl/strings/str_join.h>
#include <doctest.h>

#include <vector>

using namespace hyssoploft;
namespace bhttp = http::bhttp;

namespace {

http::request caller_request()
{
    http::request out(bhttp::verb::post, "/q/1?x=1", 11);
    out.set("Host", "a.example");
    out.set("Hyssoploft-Request-Id", "9c41");
    out.set("Hyssoploft-Model", "m");
    out.set("Hyssoploft-Token-Count", "1460,80");
    out.set("Hyssoploft-Prompt-Prefix", "5c1e07a2:800, 91bd3f06:410");
    out.set("Hyssoploft-Deadline-Ms", "2500");
    out.set("Hyssoploft-Key", "secret");
    out.body() = "body";
    return out;
}

bool has(const http::request& it, const char* name)
{
    return it.find(name) != it.end();
}

} // namespace

TEST_CASE("a caller's headers are decoded")
{
    const platform::call_headers codec;
    const auto it = codec.read_call(caller_request());
    CHECK(it.request_id == "9c41");
    CHECK(it.host == "a.example");
    CHECK(it.target == "/q/1?x=1");
    CHECK(it.key == "secret");
    CHECK(it.deadline == std::chrono::milliseconds(2500));
    CHECK(it.has_token_count);
    CHECK(it.prompt_tokens == 1460);
    CHECK(it.answer_tokens == 80);
    REQUIRE(it.parts.size() == 2);
    CHECK(it.parts[0].id == 0x5c1e07a2);
    CHECK(it.parts[1].tokens == 410);
}

TEST_CASE("foreign values count as absent")
{
    struct value_case
    {
        const char* header;
        const char* value;
    };
    const value_case cases[] = {
        {"Hyssoploft-Token-Count", "1460"},
        {"Hyssoploft-Token-Count", "-1,80"},
        {"Hyssoploft-Token-Count", "99999999999,80"},
        {"Hyssoploft-Deadline-Ms", "soon"},
        {"Hyssoploft-Deadline-Ms", "-5"},
        {"Hyssoploft-Prompt-Prefix", "zz:1"},
        {"Hyssoploft-Prompt-Prefix", "5c1e07a2"}};
    const platform::call_headers codec;
    for (const auto& it : cases)
    {
        CAPTURE(it.value);
        auto request = caller_request();
        request.set(it.header, it.value);
        const auto out = codec.read_call(request);
        const std::string name = it.header;
        CHECK(out.has_token_count == (name != "Hyssoploft-Token-Count"));
        CHECK(out.deadline.has_value() == (name != "Hyssoploft-Deadline-Ms"));
        CHECK(out.parts.empty() == (name == "Hyssoploft-Prompt-Prefix"));
    }
}

TEST_CASE("only the fleet sets what upstreams believe of it")
{
    const platform::call_headers codec;
    auto request = caller_request();
    for (const auto* name :
         {"Hyssoploft-Tenant", "Hyssoploft-Expect-Instance",
          "Hyssoploft-Request-Priority", "Hyssoploft-Kv-Hold",
          "Hyssoploft-Pin-Ms", "Hyssoploft-Kv-Backup", "Kv-From", "Kv-Fetch",
          "X-Hyssoploft-Relay"})
    {
        request.set(name, "forged");
    }
    request.set("Connection", "close, X-Private");
    request.set("X-Private", "1");
    request.set("X-Other", "kept");
    relay::call_terms terms;
    terms.upstream = "i-1";
    terms.account = "shop";
    terms.time_left = std::chrono::milliseconds(1200);
    terms.urgency = 1;
    terms.is_engine = true;
    const auto out = codec.make_upstream_call(request, terms);
    CHECK(out.target() == "/q/1?x=1");
    CHECK(out.body() == "body");
    CHECK(out["Host"] == "a.example");
    CHECK(out["Hyssoploft-Request-Id"] == "9c41");
    CHECK(out["Hyssoploft-Token-Count"] == "1460,80");
    CHECK(out["Hyssoploft-Expect-Instance"] == "i-1");
    CHECK(out["Hyssoploft-Tenant"] == "shop");
    CHECK(out["Hyssoploft-Deadline-Ms"] == "1200");
    CHECK(out["Hyssoploft-Request-Priority"] == "4");
    CHECK(out["X-Other"] == "kept");
    for (const auto* name :
         {"Hyssoploft-Key", "Hyssoploft-Kv-Hold", "Hyssoploft-Pin-Ms",
          "Hyssoploft-Kv-Backup", "Kv-From", "Kv-Fetch", "X-Hyssoploft-Relay",
          "X-Private"})
    {
        CAPTURE(name);
        CHECK_FALSE(has(out, name));
    }
    // On an open route nobody speaks for an account.
    terms.account.clear();
    CHECK_FALSE(
        has(codec.make_upstream_call(request, terms), "Hyssoploft-Tenant"));
}

TEST_CASE("an answer's statements are decoded")
{
    const platform::call_headers codec;
    bhttp::response_header<> head;
    head.result(503);
    CHECK_FALSE(codec.read_answer(head).not_run);
    head.set("Hyssoploft-Not-Run", "1");
    CHECK(codec.read_answer(head).not_run);
    head.result(421);
    CHECK(codec.read_answer(head).is_address_reused);
    bhttp::response_header<> stream;
    stream.result(200);
    stream.set("Content-Type", "text/event-stream; charset=utf-8");
    stream.set("Hyssoploft-Server-Stamp", "s");
    stream.set("Hyssoploft-Request-Id", "9c41");
    const auto out = codec.read_answer(stream);
    CHECK(out.is_stream);
    CHECK(out.signed_by_upstream);
    CHECK_FALSE(out.has_content_encoding);
    CHECK(out.request_id == "9c41");
    // A failure with that type is no stream of events.
    stream.result(500);
    CHECK_FALSE(codec.read_answer(stream).is_stream);
}

TEST_CASE("an upstream leaves if it says so once and in so many words")
{
    struct row
    {
        std::vector<const char*> values;
        bool leaves;
    };
    const row rows[] = {{{}, false},         {{"1"}, true},
                        {{""}, false},       {{"0"}, false},
                        {{"true"}, false},   {{"1 "}, true},
                        {{"01"}, false},     {{"1, 1"}, false},
                        {{"1", "1"}, false}, {{"0", "1"}, false}};
    const platform::call_headers codec;
    for (const auto& row : rows)
    {
        CAPTURE(absl::StrJoin(row.values, " and "));
        for (const auto status : {200U, 404U, 500U, 503U})
        {
            bhttp::response_header<> head;
            head.result(status);
            for (const auto* value : row.values)
            {
                head.insert("Server-Leaving", value);
            }
            CHECK(codec.read_answer(head).upstream_leaves == row.leaves);
            // Callers and VMs of other regions read it too.
            bhttp::response_header<> forwarded;
            codec.copy_answer_headers(head, forwarded);
            CHECK(forwarded.count("Server-Leaving") == row.values.size());
        }
    }
}

TEST_CASE("a refusal's Retry-After is read as seconds")
{
    struct row
    {
        std::vector<const char*> values;
        double seconds; ///< Below 0: none.
    };
    const row rows[] = {{{"3"}, 3},
                        {{"0.25"}, 0.25},
                        {{"0"}, 0},
                        {{"1e9"}, 1e6},
                        {{" 2 "}, 2},
                        {{}, -1},
                        {{""}, -1},
                        {{"-1"}, -1},
                        {{"nan"}, -1},
                        {{"inf"}, -1},
                        {{"1e999"}, -1},
                        {{"2s"}, -1},
                        {{"2", "2"}, -1},
                        {{"2, 3"}, -1},
                        {{"Wed, 21 Oct 2026 07:28:00 GMT"}, -1}};
    const platform::call_headers codec;
    for (const auto& row : rows)
    {
        CAPTURE(absl::StrJoin(row.values, " and "));
        for (const auto status : {200U, 429U, 500U, 503U})
        {
            bhttp::response_header<> head;
            head.result(status);
            for (const auto* value : row.values)
            {
                head.insert("Retry-After", value);
            }
            const auto got = codec.read_answer(head).pause;
            const bool is_expected = status == 503 && row.seconds >= 0;
            CHECK(got.has_value() == is_expected);
            if (got && is_expected)
            {
                CHECK(core::to_seconds(*got) == doctest::Approx(row.seconds));
            }
        }
    }
}

TEST_CASE("a refusal bears no signature and a fraction of seconds")
{
    const platform::call_headers codec;
    auto refused = gateway::make_refusal(
        gateway::refusal_reason::rate_exceeded, "used up");
    refused.retry_after = std::chrono::milliseconds(250);
    const auto out = codec.make_refusal(refused);
    CHECK(out.result_int() == 429);
    CHECK(out["Retry-After"] == "0.250");
    CHECK(out.find("Hyssoploft-Server-Stamp") == out.end());
}

// Guards against numbers of callers that end the process or change their value.
TEST_CASE("numbers out of range in a caller's headers are left out")
{
    const platform::call_headers codec;
    for (const std::string value :
         {"1e400", "nan", "inf", "-1", "", "x", "1e300", "1 2", "0x10"})
    {
        CAPTURE(value);
        auto it = caller_request();
        it.set("Hyssoploft-Deadline-Ms", value);
        const auto out = codec.read_call(it);
        // The longest deadline that is not taken as a mistake is 1e9 ms.
        CHECK(out.deadline.value_or(core::duration()).count() >= 0);
        CHECK(
            out.deadline.value_or(core::duration()) <=
            std::chrono::seconds(1'000'000));
    }
    for (const std::string value :
         {"4294967296,80", "1460,99999999999999999999", "-1,80", "1e3,80",
          "1460", ",", "10000001,1"})
    {
        CAPTURE(value);
        auto it = caller_request();
        it.set("Hyssoploft-Token-Count", value);
        CHECK_FALSE(codec.read_call(it).has_token_count);
    }
    for (const std::string value :
         {"5c1e07a2:99999999999", "5c1e07a2:-1", "5c1e07a2:1e3",
          "1ffffffffffffffff:800", "zz:800", ":", ":800", "5c1e07a2"})
    {
        CAPTURE(value);
        auto it = caller_request();
        it.set("Hyssoploft-Prompt-Prefix", value);
        CHECK(codec.read_call(it).parts.empty());
    }
}
