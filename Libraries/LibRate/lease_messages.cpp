// Encodes lease messages. Lengths are 1 or 2 bytes: cereal's own size tags
// take 8 bytes, more than most names.

#include <LibRate/lease_messages.hpp>

#include <cereal/archives/portable_binary.hpp>

#include <cmath>
#include <sstream>

namespace hyssoploft::rate {

namespace {

constexpr std::size_t max_named_accounts = 0xffff;

template <typename Archive>
void transfer_name(Archive& archive, std::string& name)
{
    auto size =
        static_cast<std::uint8_t>(std::min(name.size(), max_account_name));
    archive(size);
    name.resize(size);
    archive(cereal::binary_data(name.data(), name.size()));
}

template <typename Archive, typename T>
void transfer_list(Archive& archive, std::vector<T>& list)
{
    auto size =
        static_cast<std::uint16_t>(std::min(list.size(), max_named_accounts));
    archive(size);
    // Entries are read one by one, so that a forged count allocates nothing.
    if constexpr (Archive::is_loading::value)
    {
        list.clear();
        for (std::uint16_t n = 0; n < size; ++n)
        {
            archive(list.emplace_back());
        }
    }
    else
    {
        for (std::uint16_t n = 0; n < size; ++n)
        {
            archive(list[n]);
        }
    }
}

bool is_amount(float it)
{
    return std::isfinite(it) && it >= 0;
}

bool is_valid(const lease_request& it)
{
    for (const auto& entry : it.accounts)
    {
        if (!is_amount(entry.tokens_per_second) ||
            !is_amount(entry.returned_credit))
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
        if (!is_amount(entry.share) || entry.share > 1 ||
            !is_amount(entry.credit))
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
        return absl::InvalidArgumentError("lease message is truncated");
    }
    if (in.peek() != std::istringstream::traits_type::eof())
    {
        return absl::InvalidArgumentError("lease message has excess bytes");
    }
    if (!is_valid(it))
    {
        return absl::InvalidArgumentError("lease message has a bad amount");
    }
    return it;
}

} // namespace

template <typename Archive>
void serialize(Archive& archive, account_demand& it)
{
    transfer_name(archive, it.account);
    archive(it.tokens_per_second, it.returned_credit);
}

template <typename Archive>
void serialize(Archive& archive, lease_request& it)
{
    transfer_name(archive, it.vm);
    archive(
        it.incarnation, it.sequence, it.applied, it.term, it.config_version,
        it.release, it.full);
    transfer_list(archive, it.accounts);
}

template <typename Archive>
void serialize(Archive& archive, lease_share& it)
{
    transfer_name(archive, it.account);
    archive(it.share, it.credit);
}

template <typename Archive>
void serialize(Archive& archive, lease_grant& it)
{
    archive(it.incarnation, it.sequence, it.term, it.config_version, it.base);
    transfer_list(archive, it.shares);
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
