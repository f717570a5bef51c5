#ifndef HYSSOPLOFT_LIBCORE_RANDOM_SOURCE_HPP
#define HYSSOPLOFT_LIBCORE_RANDOM_SOURCE_HPP

// The only source of random numbers, so that a test can repeat every choice
// from a seed.

#include <cstdint>
#include <random>

namespace hyssoploft::core {

class random_source
{
public:
    virtual ~random_source() = default;

    /// A uniform 64 bit number.
    virtual std::uint64_t next() = 0;

    /// A uniform number in [0, bound). `bound` must be greater than 0.
    std::uint64_t below(std::uint64_t bound);

    /// A uniform number in [0, 1).
    double uniform();
};

/// Repeatable numbers from a seed. Not for secrets.
class seeded_random final : public random_source
{
public:
    explicit seeded_random(std::uint64_t seed) : engine_(seed) {}

    std::uint64_t next() override
    {
        return engine_();
    }

private:
    std::mt19937_64 engine_;
};

/// Numbers of the operating system, fit for secrets and identifiers.
class system_random final : public random_source
{
public:
    std::uint64_t next() override;
};

} // namespace hyssoploft::core

#endif
