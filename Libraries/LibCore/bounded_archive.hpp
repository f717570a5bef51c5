#ifndef HYSSOPLOFT_LIBCORE_BOUNDED_ARCHIVE_HPP
#define HYSSOPLOFT_LIBCORE_BOUNDED_ARCHIVE_HPP

// A pair of cereal archives over byte strings. Numbers are little endian and
// sizes are variable length. The reader refuses a size that is greater than
// what is left of its input, so that a damaged message can't make it allocate
// more than the message is long.

#include <absl/status/status.h>
#include <cereal/cereal.hpp>

#include <cstddef>
#include <cstdint>
#include <cstring>
#include <exception>
#include <string>
#include <string_view>
#include <type_traits>

namespace hyssoploft::core {

class bounded_writer : public cereal::OutputArchive<
                           bounded_writer, cereal::AllowEmptyClassElision>
{
public:
    explicit bounded_writer(std::string& out)
        : cereal::OutputArchive<bounded_writer, cereal::AllowEmptyClassElision>(
              this),
          out_(out)
    {}

    void put(const void* data, std::size_t n)
    {
        out_.append(static_cast<const char*>(data), n);
    }

    void put_size(std::uint64_t n)
    {
        while (n >= 0x80)
        {
            out_.push_back(static_cast<char>((n & 0x7f) | 0x80));
            n >>= 7;
        }
        out_.push_back(static_cast<char>(n));
    }

private:
    std::string& out_;
};

class bounded_reader : public cereal::InputArchive<
                           bounded_reader, cereal::AllowEmptyClassElision>
{
public:
    explicit bounded_reader(std::string_view in)
        : cereal::InputArchive<bounded_reader, cereal::AllowEmptyClassElision>(
              this),
          in_(in)
    {}

    void get(void* data, std::size_t n)
    {
        if (n > in_.size())
        {
            throw cereal::Exception("message is truncated");
        }
        std::memcpy(data, in_.data(), n);
        in_.remove_prefix(n);
    }

    std::uint64_t get_size()
    {
        std::uint64_t n = 0;
        for (unsigned shift = 0; shift < 64; shift += 7)
        {
            std::uint8_t part = 0;
            get(&part, 1);
            n |= std::uint64_t{part & 0x7fU} << shift;
            if ((part & 0x80U) == 0)
            {
                if (n > in_.size())
                {
                    throw cereal::Exception("size exceeds the message");
                }
                return n;
            }
        }
        throw cereal::Exception("size is too long");
    }

    bool at_end() const
    {
        return in_.empty();
    }

private:
    std::string_view in_;
};

template <typename T>
std::enable_if_t<std::is_arithmetic_v<T>>
CEREAL_SAVE_FUNCTION_NAME(bounded_writer& ar, const T& it)
{
    static_assert(__BYTE_ORDER__ == __ORDER_LITTLE_ENDIAN__);
    ar.put(&it, sizeof it);
}

template <typename T>
std::enable_if_t<std::is_arithmetic_v<T>>
CEREAL_LOAD_FUNCTION_NAME(bounded_reader& ar, T& it)
{
    if constexpr (std::is_same_v<T, bool>)
    {
        std::uint8_t n = 0;
        ar.get(&n, 1);
        it = n != 0;
    }
    else
    {
        ar.get(&it, sizeof it);
    }
}

template <typename T>
void CEREAL_SAVE_FUNCTION_NAME(
    bounded_writer& ar, const cereal::BinaryData<T>& it)
{
    ar.put(it.data, static_cast<std::size_t>(it.size));
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(bounded_reader& ar, cereal::BinaryData<T>& it)
{
    ar.get(it.data, static_cast<std::size_t>(it.size));
}

template <typename T>
void CEREAL_SAVE_FUNCTION_NAME(bounded_writer& ar, const cereal::SizeTag<T>& it)
{
    ar.put_size(it.size);
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(bounded_reader& ar, cereal::SizeTag<T>& it)
{
    it.size = static_cast<std::decay_t<T>>(ar.get_size());
}

template <typename Archive, typename T>
std::enable_if_t<
    std::is_same_v<Archive, bounded_writer> ||
    std::is_same_v<Archive, bounded_reader>>
CEREAL_SERIALIZE_FUNCTION_NAME(Archive& ar, cereal::NameValuePair<T>& it)
{
    ar(it.value);
}

/// The bytes of `parts`, one after the other.
template <typename... Parts>
std::string encode(const Parts&... parts)
{
    std::string buf;
    bounded_writer ar(buf);
    ar(parts...);
    return buf;
}

/// Reads what encode() wrote. INVALID_ARGUMENT if bytes lack or are left
/// over; `parts` are then partly set.
template <typename... Parts>
absl::Status decode(std::string_view bytes, Parts&... parts)
{
    try
    {
        bounded_reader ar(bytes);
        ar(parts...);
        if (!ar.at_end())
        {
            return absl::InvalidArgumentError("bytes left over");
        }
        return absl::OkStatus();
    }
    catch (const std::exception& e)
    {
        return absl::InvalidArgumentError(e.what());
    }
}

} // namespace hyssoploft::core

CEREAL_SETUP_ARCHIVE_TRAITS(
    hyssoploft::core::bounded_reader, hyssoploft::core::bounded_writer)

#endif
