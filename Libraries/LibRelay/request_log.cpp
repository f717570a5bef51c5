// Rate-limited, non-blocking output of request log lines.

#include <LibRelay/request_log.hpp>

#include <LibCore/text.hpp>

#include <poll.h>
#include <unistd.h>

#include <algorithm>

namespace hyssoploft::relay {

void request_log::add(const core::log_line& line, core::time_point now)
{
    if (now - window_start_ >= std::chrono::seconds(1))
    {
        window_start_ = now;
        window_bytes_ = 0;
    }
    const auto size = line.text().size() + 1;
    if (window_bytes_ + size > bytes_per_second ||
        buffer_.size() + size > bytes_per_second)
    {
        ++dropped_;
        return;
    }
    window_bytes_ += size;
    buffer_ += line.text();
    buffer_ += '\n';
}

void request_log::flush()
{
    if (dropped_ > reported_drops_ && buffer_.size() < bytes_per_second)
    {
        buffer_ += core::log_line("log_lines_dropped")
                       .with("count", dropped_ - reported_drops_)
                       .text();
        buffer_ += '\n';
        reported_drops_ = dropped_;
    }
    if (buffer_.empty())
    {
        return;
    }
    pollfd out{STDOUT_FILENO, POLLOUT, 0};
    // A writable pipe accepts at least PIPE_BUF bytes without blocking.
    constexpr std::size_t chunk_bytes = 4096;
    std::size_t written = 0;
    while (written < buffer_.size() && ::poll(&out, 1, 0) == 1 &&
           (out.revents & POLLOUT) != 0)
    {
        const auto n = ::write(
            STDOUT_FILENO, buffer_.data() + written,
            std::min(chunk_bytes, buffer_.size() - written));
        if (n <= 0)
        {
            break;
        }
        written += static_cast<std::size_t>(n);
    }
    buffer_.erase(0, written);
}

} // namespace hyssoploft::relay
