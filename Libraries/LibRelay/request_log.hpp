#ifndef HYSSOPLOFT_LIBRELAY_REQUEST_LOG_HPP
#define HYSSOPLOFT_LIBRELAY_REQUEST_LOG_HPP

// Buffered log of requests on standard output. The rate is limited, lines above
// the limit are dropped and counted, and a slow reader never blocks the
// writer.

#include <LibCore/log_line.hpp>
#include <LibCore/time.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

namespace hyssoploft::relay {

class request_log
{
public:
    /// Rate limit; about 400 lines per second.
    static constexpr std::size_t bytes_per_second = 100'000;

    /// Not thread-safe: called on the traffic thread only.
    void add(const core::log_line& line, core::time_point now);

    /// Writes buffered lines. To be called several times per second.
    void flush();

    std::uint64_t dropped() const
    {
        return dropped_;
    }

private:
    std::string buffer_; // At most bytes_per_second.
    core::time_point window_start_{};
    std::size_t window_bytes_ = 0;
    std::uint64_t dropped_ = 0;
    std::uint64_t reported_drops_ = 0;
};

} // namespace hyssoploft::relay

#endif
