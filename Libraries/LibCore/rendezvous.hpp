#ifndef HYSSOPLOFT_LIBCORE_RENDEZVOUS_HPP
#define HYSSOPLOFT_LIBCORE_RENDEZVOUS_HPP

// Rendezvous hashing (Thaler and Ravishankar, 1998): every VM ranks the same
// upstreams alike for a key, without messages.

#include <cstdint>
#include <string_view>

namespace hyssoploft::core {

/// Rank of `name` for the key `seed`. The same in every process, unlike
/// std::hash.
constexpr std::uint64_t
rendezvous_hash(std::uint64_t seed, std::string_view name)
{
    std::uint64_t out = seed ^ 0x9e3779b97f4a7c15U;
    for (const char c : name)
    {
        out = (out ^ static_cast<unsigned char>(c)) * 0x100000001b3U;
    }
    out ^= out >> 33U;
    out *= 0xff51afd7ed558ccdU;
    return out ^ out >> 33U;
}

} // namespace hyssoploft::core

#endif
