#ifndef HYSSOPLOFT_LIBGATEWAY_CHAT_STREAM_HPP
#define HYSSOPLOFT_LIBGATEWAY_CHAT_STREAM_HPP

// Follows the stream of a chat completion: which tokens the caller got,
// whether the end marker came, and how to go on when the upstream breaks.

#include <LibHttp/sse_parser.hpp>
#include <LibRetry/stream_resume.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace hyssoploft::gateway {

class chat_stream
{
public:
    /// Text beyond this can't be resumed: it would not fit into the prompt of
    /// a continued request.
    static constexpr std::size_t max_resume_bytes = 1 << 18;

    chat_stream();

    /// Takes bytes of the upstream and returns those for the caller, in whole
    /// events. After malformed() nothing more is passed on.
    std::string feed(std::string_view bytes);

    /// The upstream sent its end marker after a whole event.
    bool done() const
    {
        return done_;
    }

    /// The upstream sent an error event or something that is no chunk of a
    /// chat completion.
    bool malformed() const
    {
        return malformed_;
    }

    /// The upstream is gone. True if another one can go on.
    bool broken();

    /// Another upstream goes on exactly after the text delivered so far.
    void resume();

    const std::string& delivered() const
    {
        return delivered_;
    }

    /// Tokens that upstreams generated, by their own count where they say it.
    std::uint32_t generated_tokens() const;

    retry::stream_progress progress() const
    {
        return progress_.progress();
    }

    /// For the error event of a stream that can't go on.
    std::string describe() const
    {
        return progress_.describe();
    }

private:
    void take_event(const http::sse_event& it, std::string& out);
    bool take_chunk(const http::sse_event& it, std::string& out);

    http::sse_parser parser_;
    retry::stream_resume progress_;
    std::string delivered_;               // Text that the caller got.
    std::uint32_t finished_segments_ = 0; // Tokens of earlier upstreams.
    std::uint32_t segment_events_ = 0;    // With text, of this upstream.
    std::uint32_t segment_usage_ = 0;     // As this upstream counts them.
    bool done_ = false;
    bool malformed_ = false;
};

} // namespace hyssoploft::gateway

#endif
