#ifndef HYSSOPLOFT_LIBRETRY_STREAM_RESUME_HPP
#define HYSSOPLOFT_LIBRETRY_STREAM_RESUME_HPP

// Bookkeeping of one streamed answer that may be continued by another
// upstream, so that the caller gets each token exactly once.

#include <LibCore/enum_table.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hyssoploft::retry {

enum class stream_state : std::uint8_t
{
    streaming, ///< New text goes to the caller.
    repeating, ///< A resumed upstream repeats text that was delivered.
    broken,    ///< The upstream is gone; resume() or report the break.
    finished,  ///< The end marker came after all delivered text.
    mismatched ///< A resumed upstream contradicted delivered text.
};

inline constexpr core::enum_table<stream_state, 5> stream_state_names{
    {{stream_state::streaming, "streaming"},
     {stream_state::repeating, "repeating"},
     {stream_state::broken, "broken"},
     {stream_state::finished, "finished"},
     {stream_state::mismatched, "mismatched"}}};

/// What to pass on of one piece of the stream.
struct stream_step
{
    std::string text;         ///< Empty: nothing to pass on.
    std::uint32_t tokens = 0; ///< Tokens in `text`.
};

/// How far the caller's answer came.
struct stream_progress
{
    std::uint32_t tokens = 0;
    std::size_t bytes = 0;
    std::uint32_t resumes = 0;
};

class stream_resume
{
public:
    /// Text beyond this is still delivered, but the stream can't be resumed
    /// any more. The bound is that of stored answers (768 KiB).
    static constexpr std::size_t default_kept_bytes = std::size_t{768} * 1024;

    explicit stream_resume(std::size_t kept_bytes = default_kept_bytes);

    /// A piece of text of the current upstream, with its number of tokens.
    /// Returns the part that the caller has not got yet. In any state but
    /// streaming and repeating nothing is passed on.
    stream_step accept(std::string_view text, std::uint32_t tokens);

    /// The current upstream's end marker. Before it has repeated everything
    /// that was delivered, the end is a mismatch.
    void end();

    /// The current upstream is gone without its end marker.
    void broken();

    /// Whether resume() can succeed.
    bool resumable() const;

    /// A new upstream continues the answer after its first `from_token`
    /// tokens: 0 if it starts again, progress().tokens if it can resume
    /// exactly. Returns false if the stream is not resumable or the position
    /// is not one at which a piece of text began or ended.
    bool resume(std::uint32_t from_token);

    stream_state state() const
    {
        return state_;
    }

    stream_progress progress() const
    {
        return {tokens_, bytes_, resumes_};
    }

    /// Text for the caller's error event; contains no part of the answer.
    std::string describe() const;

private:
    struct boundary
    {
        std::uint32_t token = 0;
        std::size_t byte = 0;
    };

    std::size_t kept_bytes_;
    stream_state state_ = stream_state::streaming;
    std::uint32_t tokens_ = 0; // Delivered.
    std::size_t bytes_ = 0;    // Delivered.
    std::uint32_t resumes_ = 0;
    std::size_t position_ = 0;   // Byte of the answer the upstream is at.
    std::uint32_t at_token_ = 0; // Token of the answer the upstream is at.
    // Delivered text; shorter than bytes_ once the bound was exceeded.
    std::string kept_;
    // Ends of delivered pieces, growing in both fields.
    std::vector<boundary> boundaries_;
};

} // namespace hyssoploft::retry

#endif
