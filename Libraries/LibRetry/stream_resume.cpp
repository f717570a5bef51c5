// Compares repeated text with delivered text and skips it.

#include <LibRetry/stream_resume.hpp>

#include <LibCore/text.hpp>

#include <algorithm>

namespace hyssoploft::retry {

stream_resume::stream_resume(std::size_t max_retained_bytes)
    : max_retained_bytes_(max_retained_bytes)
{}

stream_step stream_resume::accept(std::string_view text, std::uint32_t tokens)
{
    if (state_ != stream_state::streaming && state_ != stream_state::repeating)
    {
        return {};
    }
    token_position_ += tokens;
    if (state_ == stream_state::repeating)
    {
        const std::size_t n =
            std::min(text.size(), delivered_bytes_ - byte_position_);
        if (std::string_view(retained_text_).substr(byte_position_, n) !=
            text.substr(0, n))
        {
            state_ = stream_state::mismatched;
            return {};
        }
        byte_position_ += n;
        text.remove_prefix(n);
        if (byte_position_ == delivered_bytes_ &&
            token_position_ >= delivered_tokens_)
        {
            state_ = stream_state::streaming;
        }
        if (text.empty())
        {
            return {};
        }
        state_ = stream_state::streaming;
    }
    // The new upstream may split the text into pieces differently. Tokens are
    // counted by position in the answer, so none is counted twice.
    const std::uint32_t new_tokens = token_position_ > delivered_tokens_
                                         ? token_position_ - delivered_tokens_
                                         : 0;
    delivered_tokens_ = std::max(delivered_tokens_, token_position_);
    delivered_bytes_ += text.size();
    byte_position_ = delivered_bytes_;
    if (delivered_bytes_ <= max_retained_bytes_)
    {
        retained_text_.append(text);
        boundaries_.push_back({delivered_tokens_, delivered_bytes_});
    }
    return {std::string(text), new_tokens};
}

void stream_resume::end()
{
    if (state_ == stream_state::streaming)
    {
        state_ = stream_state::finished;
    }
    else if (state_ == stream_state::repeating)
    {
        state_ = byte_position_ == delivered_bytes_ ? stream_state::finished
                                                    : stream_state::mismatched;
    }
}

void stream_resume::broken()
{
    if (state_ == stream_state::streaming || state_ == stream_state::repeating)
    {
        state_ = stream_state::broken;
    }
}

bool stream_resume::resumable() const
{
    return state_ == stream_state::broken &&
           retained_text_.size() == delivered_bytes_;
}

bool stream_resume::resume(std::uint32_t from_token)
{
    if (!resumable())
    {
        return false;
    }
    std::size_t byte = 0;
    if (from_token != 0)
    {
        // The last piece that ends at this token, since a piece without a token
        // of its own belongs to the piece before.
        const auto it = std::upper_bound(
            boundaries_.begin(), boundaries_.end(), from_token,
            [](std::uint32_t token, const boundary& b) {
                return token < b.token;
            });
        if (it == boundaries_.begin() || std::prev(it)->token != from_token)
        {
            return false;
        }
        byte = std::prev(it)->byte;
    }
    byte_position_ = byte;
    token_position_ = from_token;
    ++resume_count_;
    state_ = byte_position_ == delivered_bytes_ ? stream_state::streaming
                                                : stream_state::repeating;
    return true;
}

std::string stream_resume::describe() const
{
    return core::concat(
        "stream ", core::name_of(stream_state_names, state_), " after ",
        delivered_tokens_, " tokens (", delivered_bytes_, " bytes) and ",
        resume_count_, " resumes");
}

} // namespace hyssoploft::retry
