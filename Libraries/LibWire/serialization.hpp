#ifndef HYSSOPLOFT_LIBWIRE_SERIALIZATION_HPP
#define HYSSOPLOFT_LIBWIRE_SERIALIZATION_HPP

// Encodes structs with cereal `serialize` functions and decodes them from
// untrusted bytes.
//
// cereal's own portable binary archive allocates what a length field claims
// and spends 8 bytes on each length. These archives differ in two points: a
// length is checked against the bytes that remain before anything is
// allocated, and integers of more than one byte are variable-length (LEB128,
// signed ones zigzag).

#include <absl/status/statusor.h>
#include <cereal/cereal.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <bit>
#include <cstdint>
#include <exception>
#include <limits>
#include <string>
#include <string_view>
#include <type_traits>

namespace hyssoploft::wire {

class output_archive : public cereal::OutputArchive<
                           output_archive, cereal::AllowEmptyClassElision>
{
public:
    explicit output_archive(std::string& out) : OutputArchive(this), out_(out)
    {}

    void write(const void* data, std::size_t n)
    {
        out_.append(static_cast<const char*>(data), n);
    }

    void write_varint(std::uint64_t n);

private:
    std::string& out_;
};

class input_archive
    : public cereal::InputArchive<input_archive, cereal::AllowEmptyClassElision>
{
public:
    explicit input_archive(std::string_view in) : InputArchive(this), in_(in) {}

    /// These throw cereal::Exception; decode() turns it into a status.
    void read(void* data, std::size_t n);
    std::uint64_t read_varint();
    std::uint64_t read_size();

    std::size_t remaining() const
    {
        return in_.size();
    }

private:
    std::string_view in_; // What is not yet read.
};

namespace detail {

template <typename T>
inline constexpr bool is_raw = std::is_floating_point_v<T> || sizeof(T) == 1;

constexpr std::uint64_t zigzag(std::int64_t n)
{
    return (static_cast<std::uint64_t>(n) << 1) ^
           static_cast<std::uint64_t>(n >> 63);
}

constexpr std::int64_t unzigzag(std::uint64_t n)
{
    return static_cast<std::int64_t>((n >> 1) ^ (~(n & 1) + 1));
}

} // namespace detail

static_assert(
    std::endian::native == std::endian::little,
    "floating point numbers are copied as little endian");

template <typename T>
std::enable_if_t<std::is_arithmetic_v<T>>
CEREAL_SAVE_FUNCTION_NAME(output_archive& ar, const T& it)
{
    if constexpr (detail::is_raw<T>)
    {
        ar.write(&it, sizeof it);
    }
    else if constexpr (std::is_signed_v<T>)
    {
        ar.write_varint(detail::zigzag(it));
    }
    else
    {
        ar.write_varint(it);
    }
}

template <typename T>
std::enable_if_t<std::is_arithmetic_v<T>>
CEREAL_LOAD_FUNCTION_NAME(input_archive& ar, T& it)
{
    if constexpr (std::is_same_v<T, bool>)
    {
        std::uint8_t n = 0;
        ar.read(&n, 1);
        if (n > 1)
        {
            throw cereal::Exception("not a truth value");
        }
        it = n != 0;
    }
    else if constexpr (detail::is_raw<T>)
    {
        ar.read(&it, sizeof it);
    }
    else if constexpr (std::is_signed_v<T>)
    {
        const auto n = detail::unzigzag(ar.read_varint());
        if (n < std::numeric_limits<T>::min() ||
            n > std::numeric_limits<T>::max())
        {
            throw cereal::Exception("integer out of range");
        }
        it = static_cast<T>(n);
    }
    else
    {
        const auto n = ar.read_varint();
        if (n > std::numeric_limits<T>::max())
        {
            throw cereal::Exception("integer out of range");
        }
        it = static_cast<T>(n);
    }
}

template <typename T>
void CEREAL_SAVE_FUNCTION_NAME(
    output_archive& ar, const cereal::BinaryData<T>& it)
{
    ar.write(it.data, static_cast<std::size_t>(it.size));
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(input_archive& ar, cereal::BinaryData<T>& it)
{
    ar.read(it.data, static_cast<std::size_t>(it.size));
}

template <typename T>
void CEREAL_SAVE_FUNCTION_NAME(output_archive& ar, const cereal::SizeTag<T>& it)
{
    ar.write_varint(it.size);
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(input_archive& ar, cereal::SizeTag<T>& it)
{
    it.size = static_cast<std::decay_t<T>>(ar.read_size());
}

template <typename Archive, typename T>
std::enable_if_t<
    std::is_same_v<Archive, output_archive> ||
    std::is_same_v<Archive, input_archive>>
CEREAL_SERIALIZE_FUNCTION_NAME(Archive& ar, cereal::NameValuePair<T>& it)
{
    ar(it.value);
}

/// Grows the vector as its elements are read: cereal's own function allocates
/// the claimed number of elements first, a few hundred bytes for each byte of
/// the message.
template <typename T, typename Allocator>
std::enable_if_t<!std::is_arithmetic_v<T>>
CEREAL_LOAD_FUNCTION_NAME(input_archive& ar, std::vector<T, Allocator>& it)
{
    const auto n = ar.read_size();
    it.clear();
    for (std::uint64_t i = 0; i < n; ++i)
    {
        it.emplace_back();
        ar(it.back());
    }
}

/// The bytes of a struct.
template <typename T>
std::string encode(const T& it)
{
    std::string out;
    output_archive ar(out);
    ar(it);
    return out;
}

/// INVALID_ARGUMENT if the bytes aren't exactly one T.
template <typename T>
absl::StatusOr<T> decode(std::string_view bytes)
{
    try
    {
        T it{};
        input_archive ar(bytes);
        ar(it);
        if (ar.remaining() != 0)
        {
            return absl::InvalidArgumentError("bytes after the message");
        }
        return it;
    }
    catch (const std::exception& ex)
    {
        return absl::InvalidArgumentError(ex.what());
    }
}

} // namespace hyssoploft::wire

CEREAL_SETUP_ARCHIVE_TRAITS(
    hyssoploft::wire::input_archive, hyssoploft::wire::output_archive)

#endif
