// Answers operators.

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

http::response json_answer(unsigned status, std::string body)
{
    http::response out(http::bhttp::int_to_status(status), 11);
    out.set(http::bhttp::field::content_type, "application/json");
    out.body() = std::move(body);
    return out;
}

http::response
error_answer(unsigned status, std::string message, std::string details = {})
{
    resource::admin_error it;
    it.message = std::move(message);
    if (!details.empty())
    {
        it.details = absl::StrSplit(details, '\n');
    }
    return json_answer(status, resource::to_json_text(it));
}

http::response error_answer(const absl::Status& status)
{
    const std::string message(status.message());
    switch (status.code())
    {
    case absl::StatusCode::kInvalidArgument:
        return error_answer(400, "the request is malformed", message);
    case absl::StatusCode::kNotFound:
        return error_answer(404, message);
    case absl::StatusCode::kDeadlineExceeded:
        return error_answer(504, message);
    default:
        return error_answer(503, message);
    }
}

std::string query(std::string_view target, std::string_view name)
{
    const auto question = target.find('?');
    if (question == std::string_view::npos)
    {
        return {};
    }
    const std::vector<std::string> parts =
        absl::StrSplit(core::to_absl(target.substr(question + 1)), '&');
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
            error_answer(401, "the operator token is missing or wrong"));
        co_return;
    }
    auto out = co_await answer(it);
    (void)co_await it.respond(std::move(out));
}

http::asio::awaitable<http::response> admin_handler::answer(http::exchange& it)
{
    const std::string target(it.message().target());
    const auto wanted = std::string_view(target).substr(0, target.find('?'));
    const bool get = it.message().method() == http::bhttp::verb::get;
    const bool post = it.message().method() == http::bhttp::verb::post;
    if (post && wanted == path::apply)
    {
        co_return co_await apply(it);
    }
    if (post && wanted == path::withdraw)
    {
        co_return co_await withdraw(it);
    }
    if (post && wanted == path::drain)
    {
        co_return start_drain();
    }
    if (get && wanted == path::resources)
    {
        co_return list(target);
    }
    if (get && wanted == path::watch)
    {
        co_return co_await watch(it);
    }
    if (get && wanted == path::status)
    {
        co_return co_await status(it);
    }
    co_return error_answer(404, "there is no such page");
}

http::asio::awaitable<http::response> admin_handler::apply(http::exchange& it)
{
    auto request =
        resource::from_json_text<resource::apply_request>(it.message().body());
    if (!request.ok())
    {
        co_return error_answer(request.status());
    }
    resource::change_batch batch;
    batch.request_id = std::move(request->request_id);
    batch.author = it.remote().to_string();
    batch.unix_milliseconds = clock_->unix_nanoseconds() / 1'000'000;
    batch.changes = std::move(request->changes);
    if (resource::encode_batch(batch).size() > resource::max_batch_bytes)
    {
        co_return error_answer(413, "a batch is at most 256 KiB");
    }
    if (request->dry_run)
    {
        using dry_result = absl::StatusOr<resource::apply_result>;
        const auto out =
            co_await await_callback<dry_result>(it.executor(), [&](auto done) {
                control_.dry_run(std::move(batch), done);
            });
        co_return out.ok() ? json_answer(200, resource::to_json_text(*out))
                           : error_answer(out.status());
    }
    using result = absl::StatusOr<resource::apply_result>;
    auto applied =
        co_await await_callback<result>(it.executor(), [&](auto done) {
            control_.apply(std::move(batch), done);
        });
    if (!applied.ok())
    {
        co_return error_answer(applied.status());
    }
    co_return json_answer(
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
        co_return error_answer(request.status());
    }
    using result = absl::StatusOr<resource::withdraw_response>;
    const auto out =
        co_await await_callback<result>(it.executor(), [&](auto done) {
            control_.withdraw(*std::move(request), done);
        });
    if (!out.ok())
    {
        co_return error_answer(out.status());
    }
    co_return json_answer(200, resource::to_json_text(*out));
}

http::asio::awaitable<http::response> admin_handler::watch(http::exchange& it)
{
    const auto text = query(std::string(it.message().target()), "from");
    std::uint64_t from = 0;
    const auto parsed =
        std::from_chars(text.data(), text.data() + text.size(), from);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
    {
        co_return error_answer(400, "from: is no version");
    }
    const auto out = co_await await_callback<resource::watch_response>(
        it.executor(), [&](auto done) {
            control_.watch(from, done);
        });
    co_return json_answer(200, resource::to_json_text(out));
}

http::asio::awaitable<http::response> admin_handler::status(http::exchange& it)
{
    const auto out = co_await await_callback<resource::status_response>(
        it.executor(), [&](auto done) {
            control_.status(done);
        });
    co_return json_answer(200, resource::to_json_text(out));
}

http::response admin_handler::list(std::string_view target) const
{
    const auto kind = query(target, "kind");
    const auto name = query(target, "name");
    const auto wanted = core::value_of(resource::resource_kind_names, kind);
    if (!kind.empty() && !wanted)
    {
        return error_answer(400, core::concat("kind: no kind \"", kind, "\""));
    }
    const auto declared = control_.configuration();
    resource::resource_list out;
    out.version = declared->version;
    for (const auto& [id, version] : declared->versions)
    {
        const bool listed = (!wanted || id.kind == *wanted) &&
                            (name.empty() || id.name == name);
        auto value =
            listed ? resource::find_resource(*declared, id) : std::nullopt;
        if (value)
        {
            out.items.push_back({*std::move(value), version});
        }
    }
    return json_answer(200, resource::to_json_text(out));
}

http::response admin_handler::start_drain()
{
    resource::drain_response out;
    out.vm = control_.fleet()->self;
    out.running = running_();
    drain_();
    return json_answer(200, resource::to_json_text(out));
}

} // namespace hyssoploft::control
