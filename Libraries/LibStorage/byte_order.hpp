#ifndef HYSSOPLOFT_LIBSTORAGE_BYTE_ORDER_HPP
#define HYSSOPLOFT_LIBSTORAGE_BYTE_ORDER_HPP

// Little-endian numbers in file headers, and the checksum of the files.

#include <xxhash.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace hyssoploft::storage {

inline void put_u64(std::string& out, std::uint64_t n)
{
    for (int shift = 0; shift < 64; shift += 8)
    {
        out.push_back(static_cast<char>((n >> shift) & 0xFFU));
    }
}

/// `bytes` must hold 8 bytes from `offset`.
inline std::uint64_t get_u64(std::string_view bytes, std::size_t offset)
{
    std::uint64_t n = 0;
    for (std::size_t i = 0; i < 8; ++i)
    {
        n |= std::uint64_t{static_cast<unsigned char>(bytes[offset + i])}
             << (8 * i);
    }
    return n;
}

inline std::uint64_t checksum(std::string_view bytes, std::uint64_t seed)
{
    return XXH64(bytes.data(), bytes.size(), seed);
}

} // namespace hyssoploft::storage

#endif
