#ifndef HYSSOPLOFT_LIBCORE_CLOCK_HPP
#define HYSSOPLOFT_LIBCORE_CLOCK_HPP

// The only source of time. Tests replace it by a clock that they set.

#include <LibCore/time.hpp>

#include <cstdint>

namespace hyssoploft::core {

class clock
{
public:
    virtual ~clock() = default;

    /// Monotonic time; it does not advance while the VM is suspended.
    virtual time_point now() const = 0;

    /// Unix time in nanoseconds, for logs, spans and comparisons with the start
    /// times of upstreams only: it can jump.
    virtual std::uint64_t unix_nanoseconds() const = 0;
};

/// The clocks of the operating system.
class system_clock final : public clock
{
public:
    time_point now() const override;
    std::uint64_t unix_nanoseconds() const override;
};

/// Like system_clock, but now() also advances while the VM is suspended, so
/// that a lease ends in a suspended VM as it does elsewhere.
class suspend_aware_clock final : public clock
{
public:
    time_point now() const override;
    std::uint64_t unix_nanoseconds() const override;
};

} // namespace hyssoploft::core

#endif
