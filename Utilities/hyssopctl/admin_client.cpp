// Goes through the addresses in rounds until one VM answers.

#include <hyssopctl/admin_client.hpp>

#include <LibCore/text.hpp>
#include <LibResource/admin_api.hpp>

#include <utility>

namespace hyssoploft::ctl {

namespace {

/// The VM answered but could not decide, such as without a leader.
bool is_undecided(unsigned status)
{
    return status == 502 || status == 503 || status == 504;
}

} // namespace

absl::StatusOr<http_reply> admin_client::get(std::string_view target)
{
    http_request request;
    request.method = "GET";
    request.target = target;
    return call(std::move(request));
}

absl::StatusOr<http_reply>
admin_client::post(std::string_view target, const std::string& body)
{
    http_request request;
    request.method = "POST";
    request.target = target;
    request.body = body;
    return call(std::move(request));
}

absl::StatusOr<http_reply> admin_client::call(http_request request)
{
    request.token = options_.token;
    request.timeout = options_.timeout;
    std::string failures;
    const auto count = options_.addresses.size();
    for (int round = 0; round < options_.rounds; ++round)
    {
        if (round > 0 && options_.wait)
        {
            options_.wait(options_.pause);
        }
        for (std::size_t n = 0; n < count; ++n)
        {
            const auto at = (first_ + n) % count;
            const auto& address = options_.addresses[at];
            auto reply = transport_.send(address, request);
            if (reply.ok() && !is_undecided(reply->status))
            {
                first_ = at;
                return reply;
            }
            // The last round says best what is wrong now.
            if (round == options_.rounds - 1)
            {
                failures += core::concat(
                    "\n  ", address, ": ",
                    reply.ok() ? error_text(*reply)
                               : std::string(reply.status().message()));
            }
        }
    }
    return absl::UnavailableError("no VM gave an answer:" + failures);
}

std::string error_text(const http_reply& reply)
{
    const auto error =
        resource::from_json_text<resource::admin_error>(reply.body);
    auto text = core::concat("HTTP status ", reply.status);
    if (error.ok())
    {
        text += ": " + error->message;
        for (const auto& it : error->details)
        {
            text += "\n  " + it;
        }
    }
    return text;
}

} // namespace hyssoploft::ctl
