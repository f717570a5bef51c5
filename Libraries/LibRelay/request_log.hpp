#ifndef HYSSOPLOFT_LIBRELAY_REQUEST_LOG_HPP
#define HYSSOPLOFT_LIBRELAY_REQUEST_LOG_HPP

// Lines about single requests, on standard output. Lines are collected and
// written together; the volume is bounded, lines above the bound are counted,
// and a reader that is slow never blocks the writer.

#include <LibCore/log_line.hpp>
#include <LibCore/time.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

namespace hyssoploft::relay {

class request_log
{
public:
    /// Bytes each second; about 400 lines.
    static constexpr std::size_t bytes_per_second = 100'000;

    /// Not thread safe: belongs to the traffic thread.
    void add(const core::log_line& line, core::time_point now);

    /// Writes what was collected. Call a few times a second.
    void flush();

    std::uint64_t dropped() const
    {
        return dropped_;
    }

private:
    std::string buffer_; // At most bytes_per_second.
    core::time_point window_{};
    std::size_t window_bytes_ = 0;
    std::uint64_t dropped_ = 0;
    std::uint64_t reported_ = 0;
};

} // namespace hyssoploft::relay

#endif
