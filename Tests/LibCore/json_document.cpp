// Guards against JSON documents whose parsed form takes far more memory than
// their text.

#include <LibCore/json_document.hpp>

#include <boost/json/array.hpp>
#include <doctest.h>

#include <optional>
#include <string>

using namespace hyssoploft;

namespace {

constexpr std::size_t document_bytes = std::size_t{1} << 20;

// {"x":[PART,PART...]} of about document_bytes.
std::string list_of(const std::string& part)
{
    std::string out = R"({"x":[)" + part;
    while (out.size() < document_bytes)
    {
        out += "," + part;
    }
    return out + "]}";
}

} // namespace

TEST_CASE("documents of many short values stay within their bound")
{
    for (const std::string part :
         {"0", "[0]", "[[]]", "\"\"", "{}", "{\"a\":0}", "\"long enough\""})
    {
        CAPTURE(part);
        const auto text = list_of(part);
        const auto out = core::parse_json_object(text);
        REQUIRE(out.ok());
        CHECK(out->at("x").as_array().size() > document_bytes / 16);
        const auto refused = core::parse_json_object(text, document_bytes);
        CHECK(absl::IsInvalidArgument(refused.status()));
        // Nothing of the refused document is kept: there is room again.
        CHECK(core::parse_json_object(R"({"x":0})", document_bytes).ok());
    }
}

TEST_CASE("a text that is no JSON object is refused with what is wrong")
{
    struct row
    {
        const char* text;
        const char* error;
    };
    const row rows[] = {
        {"", "not JSON: "},          {"{", "not JSON: "},
        {"{} {}", "not JSON: "},     {"{\"a\":}", "not JSON: "},
        {"[]", "must be an object"}, {"null", "must be an object"},
    };
    for (const auto& row : rows)
    {
        CAPTURE(row.text);
        const auto out = core::parse_json_object(row.text);
        REQUIRE(absl::IsInvalidArgument(out.status()));
        const std::string error(out.status().message());
        CHECK_EQ(error.rfind(row.error, 0), 0);
    }
}

TEST_CASE("a document outlives the parser")
{
    std::optional<boost::json::value> kept;
    {
        auto out = core::parse_json_object(R"({"a":["some longer text"]})");
        REQUIRE(out.ok());
        kept = *std::move(out);
    }
    CHECK_EQ(kept->at("a").as_array().at(0).as_string(), "some longer text");
}
