#ifndef HYSSOPLOFT_LIBRETRY_STREAM_RESUME_HPP
#define HYSSOPLOFT_LIBRETRY_STREAM_RESUME_HPP

// State of one streamed answer that another upstream may continue after a
// failure. The caller gets each token exactly once.

#include <LibCore/enum_table.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hyssoploft::retry {

enum class stream_state : std::uint8_t
{
    streaming, ///< New text is passed to the caller.
    repeating, ///< The new upstream repeats delivered text.
    broken,    ///< The upstream failed: resume() or report it.
    finished,  ///< The end marker followed all delivered text.
    mismatched ///< The new upstream's text differs.
};

inline constexpr core::enum_table<stream_state, 5> stream_state_names{
    {{stream_state::streaming, "streaming"},
     {stream_state::repeating, "repeating"},
     {stream_state::broken, "broken"},
     {stream_state::finished, "finished"},
     {stream_state::mismatched, "mismatched"}}};

/// The part of one piece of the stream that goes to the caller.
struct stream_step
{
    std::string text;         ///< May be empty.
    std::uint32_t tokens = 0; ///< Tokens in `text`.
};

/// How much of the answer was delivered to the caller.
struct stream_progress
{
    std::uint32_t tokens = 0;
    std::size_t bytes = 0;
    std::uint32_t resumes = 0;
};

class stream_resume
{
public:
    /// A longer stream is still delivered, but can't be resumed. Same bound as
    /// that of stored answers (768 KiB).
    static constexpr std::size_t default_max_retained_bytes =
        std::size_t{768} * 1024;

    explicit stream_resume(
        std::size_t max_retained_bytes = default_max_retained_bytes);

    /// Processes a piece of text of the current upstream, with its number of
    /// tokens. Returns the part that was not delivered yet; nothing in any
    /// state but streaming and repeating.
    stream_step accept(std::string_view text, std::uint32_t tokens);

    /// Processes the end marker of the current upstream. It is a mismatch if
    /// the upstream has not yet repeated all delivered text.
    void end();

    /// Reports that the current upstream failed without an end marker.
    void broken();

    /// Whether resume() can succeed.
    bool resumable() const;

    /// Continues the answer with a new upstream after its first `from_token`
    /// tokens: 0 if the upstream starts again, progress().tokens if it can
    /// resume exactly. Returns false if the stream is not resumable or no piece
    /// of text began or ended at that position.
    bool resume(std::uint32_t from_token);

    stream_state state() const
    {
        return state_;
    }

    stream_progress progress() const
    {
        return {delivered_tokens_, delivered_bytes_, resume_count_};
    }

    /// Text for the error event sent to the caller; contains no part of the
    /// answer.
    std::string describe() const;

private:
    struct boundary
    {
        std::uint32_t token = 0;
        std::size_t byte = 0;
    };

    std::size_t max_retained_bytes_;
    stream_state state_ = stream_state::streaming;
    std::uint32_t delivered_tokens_ = 0;
    std::size_t delivered_bytes_ = 0;
    std::uint32_t resume_count_ = 0;
    std::size_t byte_position_ = 0;    // Of the upstream within the answer.
    std::uint32_t token_position_ = 0; // Of the upstream within the answer.
    // Delivered text; shorter than delivered_bytes_ once the bound was
    // exceeded.
    std::string retained_text_;
    // Ends of delivered pieces, ascending in both fields.
    std::vector<boundary> boundaries_;
};

} // namespace hyssoploft::retry

#endif
