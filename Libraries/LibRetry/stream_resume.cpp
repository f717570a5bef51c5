// Exactly-once delivery of a resumed stream.

#include <LibRetry/stream_resume.hpp>

#include <LibCore/text.hpp>

#include <algorithm>

namespace hyssoploft::retry {

stream_resume::stream_resume(std::size_t kept_bytes) : kept_bytes_(kept_bytes)
{}

stream_step stream_resume::accept(std::string_view text, std::uint32_t tokens)
{
    if (state_ != stream_state::streaming && state_ != stream_state::repeating)
    {
        return {};
    }
    at_token_ += tokens;
    if (state_ == stream_state::repeating)
    {
        const std::size_t n = std::min(text.size(), bytes_ - position_);
        if (std::string_view(kept_).substr(position_, n) != text.substr(0, n))
        {
            state_ = stream_state::mismatched;
            return {};
        }
        position_ += n;
        text.remove_prefix(n);
        if (position_ == bytes_ && at_token_ >= tokens_)
        {
            state_ = stream_state::streaming;
        }
        if (text.empty())
        {
            return {};
        }
        state_ = stream_state::streaming;
    }
    // Pieces of the new upstream may be cut differently. Tokens are counted
    // by the position in the answer, so none is counted twice.
    const std::uint32_t fresh = at_token_ > tokens_ ? at_token_ - tokens_ : 0;
    tokens_ = std::max(tokens_, at_token_);
    bytes_ += text.size();
    position_ = bytes_;
    if (bytes_ <= kept_bytes_)
    {
        kept_.append(text);
        boundaries_.push_back({tokens_, bytes_});
    }
    return {std::string(text), fresh};
}

void stream_resume::end()
{
    if (state_ == stream_state::streaming)
    {
        state_ = stream_state::finished;
    }
    else if (state_ == stream_state::repeating)
    {
        state_ = position_ == bytes_ ? stream_state::finished
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
    return state_ == stream_state::broken && kept_.size() == bytes_;
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
        // The last piece that ends at this token: pieces without a token of
        // their own belong to the one before.
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
    position_ = byte;
    at_token_ = from_token;
    ++resumes_;
    state_ =
        position_ == bytes_ ? stream_state::streaming : stream_state::repeating;
    return true;
}

std::string stream_resume::describe() const
{
    return core::concat(
        "stream ", core::name_of(stream_state_names, state_), " after ",
        tokens_, " tokens (", bytes_, " bytes) and ", resumes_, " resumes");
}

} // namespace hyssoploft::retry
