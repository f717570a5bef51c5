#ifndef HYSSOPLOFT_TESTS_SUPPORT_MANUAL_CLOCK_HPP
#define HYSSOPLOFT_TESTS_SUPPORT_MANUAL_CLOCK_HPP

// A clock that advances only when a test says so.

#include <LibCore/clock.hpp>

namespace hyssoploft::tests {

class manual_clock final : public core::clock
{
public:
    core::time_point now() const override
    {
        return now_;
    }

    std::uint64_t unix_nanoseconds() const override
    {
        return static_cast<std::uint64_t>(now_.time_since_epoch().count());
    }

    void advance(core::duration d)
    {
        now_ += d;
    }

private:
    core::time_point now_{};
};

} // namespace hyssoploft::tests

#endif
