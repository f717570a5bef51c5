// Allow-lists of headers and removal of keys from query strings.

#include <LibHttp/header_policy.hpp>

#include <LibCore/text.hpp>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_split.h>
#include <boost/beast/http/field.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <vector>

namespace hyssoploft::http {

namespace {

constexpr std::array<std::string_view, 7> request_headers{
    "accept",        "accept-language", "content-type", "idempotency-key",
    "if-none-match", "traceparent",     "tracestate"};

constexpr std::array<std::string_view, 8> response_headers{
    "cache-control", "content-language", "content-type", "etag",
    "last-modified", "location",         "retry-after",  "vary"};

constexpr std::array<std::string_view, 11> credential_parameters{
    "key",          "api_key",      "api-key",  "apikey",
    "access_token", "access-token", "token",    "authorization",
    "auth",         "x-api-key",    "x_api_key"};

constexpr std::string_view bearer = "bearer ";

// Values that contain `secret` are left out; an empty one is in none.
template <typename Names, typename From, typename To>
void copy_listed(
    const Names& names, const From& from, To& to, std::string_view secret = {})
{
    for (const auto name : names)
    {
        const beast::string_view key(name.data(), name.size());
        const auto range = from.equal_range(key);
        for (auto it = range.first; it != range.second; ++it)
        {
            const std::string_view value(
                it->value().data(), it->value().size());
            if (secret.empty() || value.find(secret) == std::string_view::npos)
            {
                to.insert(key, it->value());
            }
        }
    }
}

int hex_value(char c)
{
    if (c >= '0' && c <= '9')
    {
        return c - '0';
    }
    const char lower = absl::ascii_tolower(static_cast<unsigned char>(c));
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

std::string percent_decode(std::string_view text)
{
    std::string out;
    for (std::size_t n = 0; n < text.size(); ++n)
    {
        const bool escape = text[n] == '%' && n + 2 < text.size() &&
                            hex_value(text[n + 1]) >= 0 &&
                            hex_value(text[n + 2]) >= 0;
        if (escape)
        {
            out += static_cast<char>(
                hex_value(text[n + 1]) * 16 + hex_value(text[n + 2]));
            n += 2;
            continue;
        }
        out += text[n];
    }
    return out;
}

// A text can be encoded twice; decoding until nothing changes finds it.
std::string fully_decoded(std::string_view text)
{
    std::string decoded(text);
    for (std::string next = percent_decode(decoded); next != decoded;
         next = percent_decode(decoded))
    {
        decoded = next;
    }
    return decoded;
}

bool is_credential(std::string_view parameter)
{
    const auto name = parameter.substr(0, parameter.find('='));
    std::string decoded = absl::AsciiStrToLower(fully_decoded(name));
    absl::StripAsciiWhitespace(&decoded);
    return std::find(
               credential_parameters.begin(), credential_parameters.end(),
               decoded) != credential_parameters.end();
}

} // namespace

void copy_request_headers(const request& from, request& to)
{
    copy_listed(request_headers, from, to, caller_key(from));
}

void copy_response_headers(
    const bhttp::response_header<>& from, bhttp::response_header<>& to)
{
    copy_listed(response_headers, from, to);
}

std::string strip_credentials(std::string_view target)
{
    target = target.substr(0, target.find('#'));
    const auto question = target.find('?');
    if (question == std::string_view::npos)
    {
        return std::string(target);
    }
    std::string out(target.substr(0, question));
    char separator = '?';
    const std::vector<std::string> parameters = absl::StrSplit(
        core::to_absl(target.substr(question + 1)), absl::ByAnyChar("&;"));
    for (const auto& it : parameters)
    {
        if (it.empty() || is_credential(it))
        {
            continue;
        }
        out += separator + it;
        separator = '&';
    }
    return out;
}

bool contains_key(std::string_view target, std::string_view key)
{
    return !key.empty() && fully_decoded(target).find(key) != std::string::npos;
}

std::string_view caller_key(const request& it)
{
    std::string_view authorization = header_value(it, "authorization");
    const auto api_key = header_value(it, "x-api-key");
    const bool is_bearer = absl::StartsWithIgnoreCase(
        core::to_absl(authorization), core::to_absl(bearer));
    const auto token =
        is_bearer ? core::to_std(absl::StripAsciiWhitespace(
                        core::to_absl(authorization.substr(bearer.size()))))
                  : std::string_view();
    if (!token.empty() && !api_key.empty() && token != api_key)
    {
        return {};
    }
    return token.empty() ? api_key : token;
}

} // namespace hyssoploft::http
