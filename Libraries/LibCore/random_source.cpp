// Random numbers for identifiers, jitter and sampling.

#include <LibCore/random_source.hpp>

#include <glog/logging.h>
#include <openssl/rand.h>

namespace hyssoploft::core {

std::uint64_t random_source::below(std::uint64_t bound)
{
    CHECK_GT(bound, 0U);
    // Rejects the incomplete last range so that the result is unbiased.
    const std::uint64_t limit = UINT64_MAX - UINT64_MAX % bound;
    std::uint64_t n = next();
    while (n >= limit)
    {
        n = next();
    }
    return n % bound;
}

double random_source::uniform()
{
    constexpr int mantissa_bits = 53;
    return static_cast<double>(next() >> (64 - mantissa_bits)) /
           static_cast<double>(std::uint64_t{1} << mantissa_bits);
}

std::uint64_t system_random::next()
{
    std::uint64_t n = 0;
    CHECK_EQ(RAND_bytes(reinterpret_cast<unsigned char*>(&n), sizeof n), 1)
        << "the system's random generator failed";
    return n;
}

} // namespace hyssoploft::core
