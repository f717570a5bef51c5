#ifndef HYSSOPLOFT_LIBMEMBERSHIP_TABLE_HASH_HPP
#define HYSSOPLOFT_LIBMEMBERSHIP_TABLE_HASH_HPP

// Hashes that assign records to buckets and compare tables. They must be the
// same on every VM.

#include <LibMembership/messages.hpp>

#include <cstdint>
#include <string_view>

namespace hyssoploft::membership {

/// XXH3, 64 bits.
std::uint64_t hash_text(std::string_view text);

/// Combines a hash with a number.
std::uint64_t combine_hash(std::uint64_t hash, std::uint64_t n);

inline std::size_t bucket_of(std::uint64_t id_hash)
{
    return id_hash % bucket_count;
}

} // namespace hyssoploft::membership

#endif
