// Parsing of chat completion requests, and the bodies sent to upstreams.

#include <LibGateway/chat_request.hpp>

#include <boost/json.hpp>
#include <doctest.h>

#include <string>

using namespace hyssoploft;
using gateway::chat_request;

namespace {

const std::string messages =
    R"("messages":[{"role":"user","content":"hello"}])";

std::string body_with(const std::string& fields)
{
    return "{" + fields + "," + messages + "}";
}

} // namespace

TEST_CASE("a malformed request is rejected with the name of the field")
{
    struct row
    {
        std::string body;
        const char* field;
    };
    const row rows[] = {
        {"", "body"},
        {"[]", "body"},
        {R"({"model":"m")", "body"},
        {"{" + messages + "}", "model"},
        {body_with(R"("model":"")"), "model"},
        {body_with(R"("model":7)"), "model"},
        {body_with(R"("model":"m","stream":"yes")"), "stream"},
        {body_with(R"("model":"m","max_tokens":0)"), "max_tokens"},
        {body_with(R"("model":"m","max_tokens":32769)"), "max_tokens"},
        {body_with(R"("model":"m","max_tokens":1.5)"), "max_tokens"},
        {body_with(R"("model":"m","max_completion_tokens":-1)"),
         "max_completion_tokens"},
        {body_with(R"("model":"m","n":2)"), "n"},
        {R"({"model":"m"})", "messages"},
        {R"({"model":"m","messages":[]})", "messages"},
        {R"({"model":"m","messages":[{"content":"a"}]})", "messages.role"},
        {R"({"model":"m","messages":[{"role":"user","content":7}]})",
         "messages.content"},
    };
    for (const auto& row : rows)
    {
        CAPTURE(row.body);
        const auto got = chat_request::create(row.body);
        REQUIRE(absl::IsInvalidArgument(got.status()));
        CHECK_EQ(got.status().message().find(row.field), 0);
    }
}

TEST_CASE("the answer limit that was reserved is always sent")
{
    const auto priority = resource::priority_class::batch;
    for (const auto* fields :
         {R"("model":"m:ding")", R"("model":"m:ding","max_tokens":null)",
          R"("model":"m:ding","max_completion_tokens":1024)"})
    {
        CAPTURE(fields);
        const auto it = chat_request::create(body_with(fields));
        REQUIRE(it.ok());
        CHECK_EQ(it->model(), "m");
        CHECK_EQ(it->adapter(), "ding");
        CHECK_EQ(it->answer_limit(), 1024);
        const auto sent =
            boost::json::parse(it->upstream_body(priority)).as_object();
        CHECK_EQ(sent.at("max_tokens").as_int64(), 1024);
        CHECK_EQ(sent.count("max_completion_tokens"), 0);
        CHECK_EQ(sent.at("priority").as_int64(), 1);
    }
}

TEST_CASE("a continued request ends with the delivered text")
{
    const auto it =
        chat_request::create(body_with(R"("model":"m","max_tokens":10)"));
    REQUIRE(it.ok());
    const auto priority = resource::priority_class::interactive;
    const auto sent =
        boost::json::parse(it->continued_body(priority, "a b ", 4)).as_object();
    CHECK_EQ(sent.at("max_tokens").as_int64(), 6);
    const auto& last = sent.at("messages").as_array().back().as_object();
    CHECK_EQ(last.at("role").as_string(), "assistant");
    CHECK_EQ(last.at("content").as_string(), "a b ");
    // The limit never becomes 0, which engines reject.
    const auto full = boost::json::parse(it->continued_body(priority, "a", 10));
    CHECK_EQ(full.as_object().at("max_tokens").as_int64(), 1);
}
