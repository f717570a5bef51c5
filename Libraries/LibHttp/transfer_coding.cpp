// Reads the transfer coding of a message.

#include <LibHttp/transfer_coding.hpp>

#include <boost/beast/core/string.hpp>

#include <iterator>

namespace hyssoploft::http {

namespace {

constexpr std::string_view chunked = "chunked";

// Only the last coding frames the body.
bool ends_in_chunked(beast::string_view codings)
{
    const auto comma = codings.rfind(',');
    auto last =
        comma == beast::string_view::npos ? codings : codings.substr(comma + 1);
    while (!last.empty() && (last.front() == ' ' || last.front() == '\t'))
    {
        last.remove_prefix(1);
    }
    return beast::iequals(last, {chunked.data(), chunked.size()});
}

} // namespace

absl::Status check_transfer_coding(const bhttp::fields& head, unsigned version)
{
    constexpr unsigned version_1_1 = 11;
    const auto found = head.equal_range(bhttp::field::transfer_encoding);
    if (found.first == found.second)
    {
        return absl::OkStatus();
    }
    if (version < version_1_1)
    {
        return absl::InvalidArgumentError("transfer coding in HTTP/1.0");
    }
    const auto codings = found.first->value();
    const bool is_alone = std::next(found.first) == found.second;
    if (!is_alone || !ends_in_chunked(codings))
    {
        return absl::InvalidArgumentError(
            "transfer coding without a known end");
    }
    return beast::iequals(codings, {chunked.data(), chunked.size()})
               ? absl::OkStatus()
               : absl::UnimplementedError("unknown transfer coding");
}

} // namespace hyssoploft::http
