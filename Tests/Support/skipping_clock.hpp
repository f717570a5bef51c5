#ifndef HYSSOPLOFT_TESTS_SUPPORT_SKIPPING_CLOCK_HPP
#define HYSSOPLOFT_TESTS_SUPPORT_SKIPPING_CLOCK_HPP

// A real clock for sessions over sockets that a test can move on.

#include <LibCore/clock.hpp>

#include <atomic>

namespace hyssoploft::tests {

/// Real time plus an offset, so that a test can let a pause of the process
/// pass. Thread safe.
class skipping_clock final : public core::clock
{
public:
    core::time_point now() const override
    {
        return system_.now() + core::duration(offset_.load());
    }

    std::uint64_t unix_nanoseconds() const override
    {
        return system_.unix_nanoseconds();
    }

    void skip(core::duration d)
    {
        offset_ += d.count();
    }

private:
    core::system_clock system_;
    std::atomic<core::duration::rep> offset_{0};
};

} // namespace hyssoploft::tests

#endif
