// Reads chat completion requests (OpenAI API, POST /v1/chat/completions).

#include <LibGateway/chat_request.hpp>

#include <LibCore/text.hpp>
#include <LibRouting/router.hpp>

#include <xxhash.h>

#include <algorithm>
#include <memory>
#include <utility>

namespace hyssoploft::gateway {

namespace {

namespace json = boost::json;

constexpr std::size_t bytes_per_token = 4;
constexpr std::size_t max_messages = 1024;
constexpr std::size_t max_prefix_blocks = 64;
constexpr std::size_t block_bytes =
    routing::prefix_block_tokens * bytes_per_token;

absl::Status field_error(std::string_view field, std::string_view problem)
{
    return absl::InvalidArgumentError(core::concat(field, ": ", problem));
}

// The text of a message: a string, or the text parts of an array.
absl::Status append_content(const json::value& content, std::string& text)
{
    if (content.is_string())
    {
        text.append(content.get_string().data(), content.get_string().size());
        return absl::OkStatus();
    }
    if (content.is_null())
    {
        return absl::OkStatus();
    }
    if (!content.is_array())
    {
        return field_error("messages.content", "is neither text nor an array");
    }
    for (const auto& part : content.get_array())
    {
        const auto* object = part.if_object();
        const auto* piece = object ? object->if_contains("text") : nullptr;
        if (piece && piece->is_string())
        {
            const auto& it = piece->get_string();
            text.append(it.data(), it.size());
        }
    }
    return absl::OkStatus();
}

std::vector<std::uint64_t> hash_prefixes(const std::string& text)
{
    std::vector<std::uint64_t> out;
    XXH3_state_t state;
    XXH3_64bits_reset(&state);
    const std::size_t blocks =
        std::min(text.size() / block_bytes, max_prefix_blocks);
    for (std::size_t n = 0; n < blocks; ++n)
    {
        XXH3_64bits_update(&state, text.data() + n * block_bytes, block_bytes);
        out.push_back(XXH3_64bits_digest(&state));
    }
    return out;
}

} // namespace

absl::StatusOr<chat_request> chat_request::create(std::string_view body)
{
    boost::system::error_code ec;
    json::value parsed = json::parse(body, ec);
    if (ec)
    {
        return absl::InvalidArgumentError(
            core::concat("body is not JSON: ", ec.message()));
    }
    if (!parsed.is_object())
    {
        return absl::InvalidArgumentError("body is not a JSON object");
    }
    chat_request out;
    out.body_ = std::move(parsed.get_object());
    const auto* model = out.body_.if_contains("model");
    if (!model || !model->is_string() || model->get_string().empty())
    {
        return field_error("model", "is missing or no text");
    }
    const std::string name(model->get_string().c_str());
    const auto colon = name.find(':');
    out.model_ = name.substr(0, colon);
    out.adapter_ =
        colon == std::string::npos ? std::string() : name.substr(colon + 1);
    const auto* stream = out.body_.if_contains("stream");
    if (stream && !stream->is_bool() && !stream->is_null())
    {
        return field_error("stream", "is neither true nor false");
    }
    out.stream_ = stream && stream->is_bool() && stream->get_bool();
    if (const auto status = out.read_messages(); !status.ok())
    {
        return status;
    }
    if (const auto status = out.read_limits(); !status.ok())
    {
        return status;
    }
    return out;
}

absl::Status chat_request::read_messages()
{
    const auto* messages = body_.if_contains("messages");
    if (!messages || !messages->is_array() || messages->get_array().empty())
    {
        return field_error("messages", "is missing or empty");
    }
    if (messages->get_array().size() > max_messages)
    {
        return field_error("messages", "has more than 1024 entries");
    }
    std::string text;
    for (const auto& it : messages->get_array())
    {
        const auto* object = it.if_object();
        const auto* role = object ? object->if_contains("role") : nullptr;
        if (!role || !role->is_string())
        {
            return field_error("messages.role", "is missing or no text");
        }
        text += role->get_string().c_str();
        text += '\n';
        const auto* content = object->if_contains("content");
        if (content)
        {
            const auto status = append_content(*content, text);
            if (!status.ok())
            {
                return status;
            }
        }
        text += '\n';
    }
    prompt_tokens_ =
        static_cast<std::uint32_t>(text.size() / bytes_per_token + 1);
    prefix_hashes_ = hash_prefixes(text);
    return absl::OkStatus();
}

absl::Status chat_request::read_limits()
{
    for (const auto* name : {"max_tokens", "max_completion_tokens"})
    {
        const auto* limit = body_.if_contains(name);
        if (!limit || limit->is_null())
        {
            continue;
        }
        if (!limit->is_int64() || limit->get_int64() < 1 ||
            limit->get_int64() > max_answer_limit)
        {
            return field_error(name, "is no whole number from 1 to 32768");
        }
        answer_limit_ = static_cast<std::uint32_t>(limit->get_int64());
    }
    // More than one choice would multiply the tokens that were reserved.
    const auto* n = body_.if_contains("n");
    if (n && !(n->is_int64() && n->get_int64() == 1) && !n->is_null())
    {
        return field_error("n", "only 1 is supported");
    }
    return absl::OkStatus();
}

std::string chat_request::upstream_body(resource::priority_class priority) const
{
    json::object out = body_;
    out["max_tokens"] = answer_limit_;
    out.erase("max_completion_tokens");
    // Engines that honour priorities run lower numbers first.
    out["priority"] = priority == resource::priority_class::batch ? 1 : 0;
    if (stream_)
    {
        out["stream_options"] = {{"include_usage", true}};
    }
    return json::serialize(out);
}

std::string chat_request::continued_body(
    resource::priority_class priority, std::string_view delivered,
    std::uint32_t tokens) const
{
    chat_request rest = *this;
    rest.body_["messages"].as_array().push_back(
        {{"role", "assistant"},
         {"content", json::string(delivered.data(), delivered.size())}});
    rest.body_["continue_final_message"] = true;
    rest.body_["add_generation_prompt"] = false;
    rest.answer_limit_ = std::max<std::uint32_t>(
        1, answer_limit_ > tokens ? answer_limit_ - tokens : 1);
    return rest.upstream_body(priority);
}

} // namespace hyssoploft::gateway
