// Encoding of lease messages. Lengths and counters are varints of 7 bits per
// byte, since cereal's size tags take 8 bytes, more than most names.

#include <LibRate/lease_messages.hpp>

#include <cereal/archives/portable_binary.hpp>

#include <cmath>
#include <limits>
#include <sstream>
#include <stdexcept>

namespace hyssoploft::rate {

namespace {

constexpr std::size_t max_account_entries = 0xffff;

template <typename Archive>
void transfer_name(Archive& archive, std::string& name)
{
    auto size = static_cast<std::uint8_t>(
        std::min(name.size(), max_account_name_bytes));
    archive(size);
    name.resize(size);
    archive(cereal::binary_data(name.data(), name.size()));
}

template <typename Archive>
void transfer_varint(Archive& archive, std::uint64_t& number)
{
    std::uint8_t byte = 0;
    if constexpr (Archive::is_loading::value)
    {
        number = 0;
        for (int shift = 0;; shift += 7)
        {
            archive(byte);
            if (shift > 63 || (shift == 63 && byte > 1))
            {
                throw std::out_of_range("varint exceeds 64 bits");
            }
            number |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
            if (byte < 0x80)
            {
                return;
            }
        }
    }
    else
    {
        for (std::uint64_t remainder = number;; remainder >>= 7)
        {
            byte = static_cast<std::uint8_t>(
                (remainder & 0x7f) | (remainder > 0x7f ? 0x80 : 0));
            archive(byte);
            if (remainder <= 0x7f)
            {
                return;
            }
        }
    }
}

// An account by number or name. The lowest bit of the varint is set if the
// optional amount follows.
template <typename Archive>
void transfer_account(
    Archive& archive, bool numbered, std::string& name, std::uint32_t& number,
    float& optional_amount)
{
    std::uint64_t header = (numbered ? std::uint64_t{number} << 1 : 0) +
                           (optional_amount > 0 ? 1 : 0);
    transfer_varint(archive, header);
    if (!numbered)
    {
        transfer_name(archive, name);
    }
    if (header >> 1 > std::numeric_limits<std::uint32_t>::max())
    {
        throw std::out_of_range("account number exceeds 32 bits");
    }
    number = static_cast<std::uint32_t>(header >> 1);
    if (header % 2 != 0)
    {
        archive(optional_amount);
    }
}

template <typename Archive>
void transfer_entry(Archive& archive, bool numbered, account_demand& it)
{
    transfer_account(
        archive, numbered, it.account, it.number, it.returned_credit);
    archive(it.tokens_per_second);
}

template <typename Archive>
void transfer_entry(Archive& archive, bool numbered, lease_share& it)
{
    transfer_account(archive, numbered, it.account, it.number, it.credit);
    archive(it.share);
}

template <typename Archive, typename T>
void transfer_list(Archive& archive, bool numbered, std::vector<T>& list)
{
    std::uint64_t size = std::min(list.size(), max_account_entries);
    transfer_varint(archive, size);
    // Entries are read one by one, so that a forged count can't cause a large
    // allocation.
    if constexpr (Archive::is_loading::value)
    {
        list.clear();
    }
    for (std::uint64_t n = 0; n < size; ++n)
    {
        if constexpr (Archive::is_loading::value)
        {
            list.emplace_back();
        }
        transfer_entry(archive, numbered, list[n]);
    }
}

bool is_valid_amount(float it)
{
    return std::isfinite(it) && it >= 0;
}

bool is_valid(const lease_request& it)
{
    for (const auto& entry : it.accounts)
    {
        if (!is_valid_amount(entry.tokens_per_second) ||
            !is_valid_amount(entry.returned_credit))
        {
            return false;
        }
    }
    return true;
}

bool is_valid(const lease_grant& it)
{
    for (const auto& entry : it.shares)
    {
        if (!is_valid_amount(entry.share) || entry.share > 1 ||
            !is_valid_amount(entry.credit))
        {
            return false;
        }
    }
    return true;
}

template <typename Message>
std::string encode_message(Message it)
{
    std::ostringstream out;
    {
        cereal::PortableBinaryOutputArchive archive(out);
        archive(it);
    }
    return std::move(out).str();
}

template <typename Message>
absl::StatusOr<Message> decode_message(std::string_view bytes)
{
    if (bytes.size() > max_lease_message_bytes)
    {
        return absl::InvalidArgumentError("lease message is too long");
    }
    Message it;
    std::istringstream in{std::string(bytes)};
    try
    {
        cereal::PortableBinaryInputArchive archive(in);
        archive(it);
    }
    catch (const std::exception&)
    {
        return absl::InvalidArgumentError(
            "lease message is truncated or malformed");
    }
    if (in.peek() != std::istringstream::traits_type::eof())
    {
        return absl::InvalidArgumentError("lease message has excess bytes");
    }
    if (!is_valid(it))
    {
        return absl::InvalidArgumentError(
            "lease message has an invalid amount");
    }
    return it;
}

} // namespace

template <typename Archive>
void serialize(Archive& archive, lease_request& it)
{
    transfer_name(archive, it.vm);
    archive(it.incarnation);
    transfer_varint(archive, it.sequence);
    transfer_varint(archive, it.applied);
    transfer_varint(archive, it.term);
    transfer_varint(archive, it.config_version);
    archive(it.release, it.full, it.table);
    transfer_list(archive, it.table != 0, it.accounts);
}

template <typename Archive>
void serialize(Archive& archive, lease_grant& it)
{
    archive(it.incarnation);
    transfer_varint(archive, it.sequence);
    transfer_varint(archive, it.term);
    transfer_varint(archive, it.config_version);
    transfer_varint(archive, it.base);
    archive(it.numbered);
    if (!it.numbered)
    {
        archive(it.table);
    }
    transfer_list(archive, it.numbered, it.shares);
}

std::string encode(const lease_request& it)
{
    return encode_message(it);
}

std::string encode(const lease_grant& it)
{
    return encode_message(it);
}

absl::StatusOr<lease_request> decode_lease_request(std::string_view bytes)
{
    return decode_message<lease_request>(bytes);
}

absl::StatusOr<lease_grant> decode_lease_grant(std::string_view bytes)
{
    return decode_message<lease_grant>(bytes);
}

} // namespace hyssoploft::rate
