// Primitive reads and writes of the archives.

#include <LibWire/serialization.hpp>

#include <cstring>

namespace hyssoploft::wire {

void output_archive::write_varint(std::uint64_t n)
{
    while (n >= 0x80)
    {
        out_.push_back(static_cast<char>((n & 0x7F) | 0x80));
        n >>= 7;
    }
    out_.push_back(static_cast<char>(n));
}

void input_archive::read(void* data, std::size_t n)
{
    if (n > in_.size())
    {
        throw cereal::Exception("message ends early");
    }
    if (n > 0)
    {
        std::memcpy(data, in_.data(), n);
        in_.remove_prefix(n);
    }
}

std::uint64_t input_archive::read_varint()
{
    std::uint64_t n = 0;
    for (unsigned shift = 0; shift < 64; shift += 7)
    {
        std::uint8_t byte = 0;
        read(&byte, 1);
        // The tenth byte has room for one bit only.
        if (shift == 63 && byte > 1)
        {
            break;
        }
        n |= static_cast<std::uint64_t>(byte & 0x7F) << shift;
        if ((byte & 0x80) == 0)
        {
            return n;
        }
    }
    throw cereal::Exception("integer too long");
}

std::uint64_t input_archive::read_size()
{
    const auto n = read_varint();
    // Every element takes at least one byte.
    if (n > in_.size())
    {
        throw cereal::Exception("length exceeds the message");
    }
    return n;
}

} // namespace hyssoploft::wire
