// Parses the events of a streamed chat completion.

#include <LibGateway/chat_stream.hpp>

#include <boost/json.hpp>

#include <algorithm>
#include <vector>

namespace hyssoploft::gateway {

namespace {

namespace json = boost::json;

constexpr std::string_view end_marker = "[DONE]";

// The text of choices[0].delta.content; empty if there is none.
std::string delta_text(const json::object& chunk)
{
    const auto* choices = chunk.if_contains("choices");
    if (!choices || !choices->is_array() || choices->get_array().empty())
    {
        return {};
    }
    const auto* choice = choices->get_array().front().if_object();
    const auto* delta = choice ? choice->if_contains("delta") : nullptr;
    const auto* object = delta ? delta->if_object() : nullptr;
    const auto* content = object ? object->if_contains("content") : nullptr;
    if (!content || !content->is_string())
    {
        return {};
    }
    const auto& it = content->get_string();
    return {it.data(), it.size()};
}

std::uint32_t usage_tokens(const json::object& chunk)
{
    const auto* usage = chunk.if_contains("usage");
    const auto* object = usage ? usage->if_object() : nullptr;
    const auto* tokens =
        object ? object->if_contains("completion_tokens") : nullptr;
    if (!tokens || !tokens->is_int64() || tokens->get_int64() < 0)
    {
        return 0;
    }
    return static_cast<std::uint32_t>(
        std::min<std::int64_t>(tokens->get_int64(), UINT32_MAX));
}

} // namespace

chat_stream::chat_stream() : progress_(max_resume_bytes) {}

std::string chat_stream::feed(std::string_view bytes)
{
    std::string out;
    std::vector<http::sse_event> events;
    if (!parser_.feed(bytes, events).ok())
    {
        malformed_ = true;
        return out;
    }
    for (const auto& it : events)
    {
        if (malformed_ || done_)
        {
            // Nothing may follow the end marker.
            malformed_ = true;
            break;
        }
        process_event(it, out);
    }
    return out;
}

void chat_stream::process_event(const http::sse_event& it, std::string& out)
{
    if (it.data == end_marker)
    {
        progress_.end();
        done_ = progress_.state() == retry::stream_state::finished;
        malformed_ = !done_;
        if (done_)
        {
            out += http::to_sse(it.data);
        }
        return;
    }
    if (it.type == "error" || !process_chunk(it, out))
    {
        malformed_ = true;
    }
}

bool chat_stream::process_chunk(const http::sse_event& it, std::string& out)
{
    boost::system::error_code ec;
    const json::value parsed = json::parse(it.data, ec);
    const auto* chunk = ec ? nullptr : parsed.if_object();
    if (!chunk || chunk->contains("error"))
    {
        return false;
    }
    current_usage_tokens_ =
        std::max(current_usage_tokens_, usage_tokens(*chunk));
    const std::string text = delta_text(*chunk);
    if (!text.empty())
    {
        ++current_event_count_;
        const auto step = progress_.accept(text, 1);
        if (step.text.size() != text.size())
        {
            // The resumed upstream repeats or contradicts delivered text.
            return false;
        }
        if (delivered_.size() <= max_resume_bytes)
        {
            delivered_ += text;
        }
    }
    out += http::to_sse(it.data);
    return true;
}

bool chat_stream::on_upstream_failure()
{
    progress_.broken();
    return progress_.resumable() && delivered_.size() <= max_resume_bytes;
}

void chat_stream::resume()
{
    previous_upstream_tokens_ +=
        std::max(current_event_count_, current_usage_tokens_);
    current_event_count_ = current_usage_tokens_ = 0;
    parser_ = http::sse_parser();
    malformed_ = !progress_.resume(progress_.progress().tokens);
}

std::uint32_t chat_stream::generated_tokens() const
{
    return previous_upstream_tokens_ +
           std::max(current_event_count_, current_usage_tokens_);
}

} // namespace hyssoploft::gateway
