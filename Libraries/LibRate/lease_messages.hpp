#ifndef HYSSOPLOFT_LIBRATE_LEASE_MESSAGES_HPP
#define HYSSOPLOFT_LIBRATE_LEASE_MESSAGES_HPP

// Messages between lease holders and the grantor. One message carries all
// accounts of a VM that need more than their floor. An account is identified by
// name, or by its index in the sorted list of declared names; the latter
// requires that both sides have the same account table.

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hyssoploft::rate {

/// Maximum size of an encoded message.
inline constexpr std::size_t max_lease_message_bytes = 65536;

/// Maximum size of the encoded accounts in one message.
inline constexpr std::size_t max_account_list_bytes = 49152;

/// In bytes. Accounts with longer names get no lease and use only the floor.
inline constexpr std::size_t max_account_name_bytes = 255;

struct account_demand
{
    std::string account;
    float tokens_per_second = 0; ///< Demand at this VM, floor included.
    float returned_credit = 0;   ///< Tokens dropped when the share shrank.
    std::uint32_t number = 0;    ///< Used instead of the name.
};

struct lease_request
{
    std::string vm;
    std::uint64_t incarnation = 0; ///< Of the holder's process.
    std::uint64_t sequence = 0;    ///< Increases within the incarnation.
    std::uint64_t applied = 0;     ///< Grant in force; no older one is applied.
    std::uint64_t term = 0;        ///< Of the grant in force; 0: none.
    std::uint64_t config_version = 0;
    bool release = false; ///< The holder gave up every lease.
    std::vector<account_demand> accounts;
    /// All accounts with demand are listed, and the answer must list all
    /// shares. Otherwise lists only changes since the previous request.
    bool full = true;
    /// Account table of the numbers; 0: accounts are identified by name.
    std::uint64_t table = 0;
};

struct lease_share
{
    std::string account;
    float share = 0;          ///< Of the account's rate, on top of the floor.
    float credit = 0;         ///< Tokens to add once.
    std::uint32_t number = 0; ///< Used instead of the name.
};

/// Replaces all leases of earlier sequences. An account that is not listed
/// keeps the share of the grant `base`, or has none if `base` is 0.
struct lease_grant
{
    std::uint64_t incarnation = 0; ///< Of the request.
    std::uint64_t sequence = 0;    ///< Of the request.
    std::uint64_t term = 0;
    std::uint64_t config_version = 0; ///< Of the rates that were divided.
    std::vector<lease_share> shares;
    /// Sequence of the grant of this term that must be in force when this one
    /// is applied; 0: any.
    std::uint64_t base = 0;
    /// Accounts are identified by number in the table of the request.
    bool numbered = false;
    /// Account table of the grantor, if accounts are identified by name.
    std::uint64_t table = 0;
};

/// Upper bound of the bytes of one account in an encoded message.
constexpr std::size_t encoded_account_bytes(std::string_view account)
{
    return 3 + account.size() + 2 * sizeof(float);
}

/// Encodes as cereal portable binary.
std::string encode(const lease_request& it);
std::string encode(const lease_grant& it);

/// INVALID_ARGUMENT if the bytes are truncated, too long, followed by others,
/// or hold an amount that is negative or not finite.
absl::StatusOr<lease_request> decode_lease_request(std::string_view bytes);
absl::StatusOr<lease_grant> decode_lease_grant(std::string_view bytes);

} // namespace hyssoploft::rate

#endif
