// Dispatches operator requests to the control thread.

#include <LibControl/admin_handler.hpp>

#include <LibCore/keyed_hash.hpp>
#include <LibCore/log_line.hpp>
#include <LibCore/text.hpp>
#include <LibGateway/await_callback.hpp>
#include <LibHttp/header_policy.hpp>

#include <absl/strings/str_split.h>
#include <glog/logging.h>

#include <charconv>
#include <utility>
#include <vector>

namespace hyssoploft::control {

namespace {

using gateway::await_callback;
namespace path = resource::admin_path;

http::response json_response(unsigned status, std::string body)
{
    http::response out(http::bhttp::int_to_status(status), 11);
    out.set(http::bhttp::field::content_type, "application/json");
    out.body() = std::move(body);
    return out;
}

http::response
error_response(unsigned status, std::string message, std::string details = {})
{
    resource::admin_error it;
    it.message = std::move(message);
    if (!details.empty())
    {
        it.details = absl::StrSplit(details, '\n');
    }
    return json_response(status, resource::to_json_text(it));
}

http::response error_response(const absl::Status& status)
{
    const std::string message(status.message());
    switch (status.code())
    {
    case absl::StatusCode::kInvalidArgument:
        return error_response(400, "the request is malformed", message);
    case absl::StatusCode::kNotFound:
        return error_response(404, message);
    case absl::StatusCode::kDeadlineExceeded:
        return error_response(504, message);
    default:
        return error_response(503, message);
    }
}

std::string query_parameter(std::string_view target, std::string_view name)
{
    const auto query_start = target.find('?');
    if (query_start == std::string_view::npos)
    {
        return {};
    }
    const std::vector<std::string> parts =
        absl::StrSplit(core::to_absl(target.substr(query_start + 1)), '&');
    const auto prefix = core::concat(name, "=");
    for (const auto& it : parts)
    {
        if (it.rfind(prefix, 0) == 0)
        {
            return it.substr(prefix.size());
        }
    }
    return {};
}

} // namespace

admin_handler::admin_handler(
    control_plane& control, std::string token,
    std::shared_ptr<core::clock> clock, std::function<void()> drain,
    std::function<std::size_t()> running)
    : control_(control), token_(std::move(token)), clock_(std::move(clock)),
      drain_(std::move(drain)), running_(std::move(running))
{}

http::asio::awaitable<void> admin_handler::handle(http::exchange& it)
{
    if (!core::equal_constant_time(http::caller_key(it.message()), token_))
    {
        LOG(WARNING) << core::log_line("admin_request_unauthenticated")
                            .with("remote", it.remote().to_string());
        (void)co_await it.respond(
            error_response(401, "the operator token is missing or wrong"));
        co_return;
    }
    auto out = co_await dispatch(it);
    (void)co_await it.respond(std::move(out));
}

http::asio::awaitable<http::response>
admin_handler::dispatch(http::exchange& it)
{
    const std::string target(it.message().target());
    const auto endpoint = std::string_view(target).substr(0, target.find('?'));
    const bool is_get = it.message().method() == http::bhttp::verb::get;
    const bool is_post = it.message().method() == http::bhttp::verb::post;
    if (is_post && endpoint == path::apply)
    {
        co_return co_await apply(it);
    }
    if (is_post && endpoint == path::withdraw)
    {
        co_return co_await withdraw(it);
    }
    if (is_post && endpoint == path::drain)
    {
        co_return start_drain();
    }
    if (is_get && endpoint == path::resources)
    {
        co_return list_resources(target);
    }
    if (is_get && endpoint == path::watch)
    {
        co_return co_await watch(it);
    }
    if (is_get && endpoint == path::status)
    {
        co_return co_await status(it);
    }
    co_return error_response(404, "there is no such endpoint");
}

http::asio::awaitable<http::response> admin_handler::apply(http::exchange& it)
{
    auto request =
        resource::from_json_text<resource::apply_request>(it.message().body());
    if (!request.ok())
    {
        co_return error_response(request.status());
    }
    resource::change_batch batch;
    batch.request_id = std::move(request->request_id);
    batch.author = it.remote().to_string();
    batch.unix_milliseconds = clock_->unix_nanoseconds() / 1'000'000;
    batch.changes = std::move(request->changes);
    if (resource::encode_batch(batch).size() > resource::max_batch_bytes)
    {
        co_return error_response(413, "a batch is at most 256 KiB");
    }
    if (request->dry_run)
    {
        using dry_run_result = absl::StatusOr<resource::apply_result>;
        const auto out = co_await await_callback<dry_run_result>(
            it.executor(), [&](auto done) {
                control_.dry_run(std::move(batch), done);
            });
        co_return out.ok() ? json_response(200, resource::to_json_text(*out))
                           : error_response(out.status());
    }
    // After a pause of the process, its caller may have had later changes
    // applied by another VM.
    if (!it.caller_waits())
    {
        LOG(WARNING) << core::log_line("apply_abandoned")
                            .with("request", batch.request_id);
        co_return error_response(503, "the caller has gone");
    }
    using result = absl::StatusOr<resource::apply_result>;
    auto applied =
        co_await await_callback<result>(it.executor(), [&](auto done) {
            control_.apply(std::move(batch), done);
        });
    if (!applied.ok())
    {
        co_return error_response(applied.status());
    }
    co_return json_response(
        resource::http_status(applied->outcome),
        resource::to_json_text(*applied));
}

http::asio::awaitable<http::response>
admin_handler::withdraw(http::exchange& it)
{
    auto request = resource::from_json_text<resource::withdraw_request>(
        it.message().body());
    if (!request.ok())
    {
        co_return error_response(request.status());
    }
    using result = absl::StatusOr<resource::withdraw_response>;
    const auto out =
        co_await await_callback<result>(it.executor(), [&](auto done) {
            control_.withdraw(*std::move(request), done);
        });
    if (!out.ok())
    {
        co_return error_response(out.status());
    }
    co_return json_response(200, resource::to_json_text(*out));
}

http::asio::awaitable<http::response> admin_handler::watch(http::exchange& it)
{
    const auto text =
        query_parameter(std::string(it.message().target()), "from");
    std::uint64_t from = 0;
    const auto parsed =
        std::from_chars(text.data(), text.data() + text.size(), from);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
    {
        co_return error_response(400, "from: not a version number");
    }
    const auto out = co_await await_callback<resource::watch_response>(
        it.executor(), [&](auto done) {
            control_.watch(from, done);
        });
    co_return json_response(200, resource::to_json_text(out));
}

http::asio::awaitable<http::response> admin_handler::status(http::exchange& it)
{
    const auto out = co_await await_callback<resource::status_response>(
        it.executor(), [&](auto done) {
            control_.status(done);
        });
    co_return json_response(200, resource::to_json_text(out));
}

http::response admin_handler::list_resources(std::string_view target) const
{
    const auto kind = query_parameter(target, "kind");
    const auto name = query_parameter(target, "name");
    const auto kind_filter =
        core::value_of(resource::resource_kind_names, kind);
    if (!kind.empty() && !kind_filter)
    {
        return error_response(
            400, core::concat("kind: unknown kind \"", kind, "\""));
    }
    const auto declared = control_.configuration();
    resource::resource_list out;
    out.version = declared->version;
    for (const auto& [id, version] : declared->versions)
    {
        const bool listed = (!kind_filter || id.kind == *kind_filter) &&
                            (name.empty() || id.name == name);
        auto value =
            listed ? resource::find_resource(*declared, id) : std::nullopt;
        if (value)
        {
            out.items.push_back({*std::move(value), version});
        }
    }
    return json_response(200, resource::to_json_text(out));
}

http::response admin_handler::start_drain()
{
    resource::drain_response out;
    out.vm = control_.fleet()->self;
    out.running = running_();
    drain_();
    return json_response(200, resource::to_json_text(out));
}

} // namespace hyssoploft::control
