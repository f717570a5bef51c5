// Hash functions, implemented with xxHash.

#include <LibMembership/table_hash.hpp>

#include <xxhash.h>

#include <array>

namespace hyssoploft::membership {

std::uint64_t hash_text(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

std::uint64_t combine_hash(std::uint64_t hash, std::uint64_t n)
{
    const std::array<std::uint64_t, 2> words{hash, n};
    return XXH3_64bits(words.data(), sizeof words);
}

} // namespace hyssoploft::membership
