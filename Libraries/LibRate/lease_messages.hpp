#ifndef HYSSOPLOFT_LIBRATE_LEASE_MESSAGES_HPP
#define HYSSOPLOFT_LIBRATE_LEASE_MESSAGES_HPP

// Messages between lease holders and the grantor. One message carries all
// accounts of a VM that need more than their floor. An account goes by name, or
// by its number in the order of all declared names: both sides must then have
// the same account table. Amounts are single precision.

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hyssoploft::rate {

/// Bound of an encoded message.
inline constexpr std::size_t max_lease_message_bytes = 65536;

/// Bound of the encoded accounts that a holder names in one request; the
/// answer needs as much.
inline constexpr std::size_t max_named_bytes = 49152;

/// Longer names are never leased, only served from the floor.
inline constexpr std::size_t max_account_name = 255;

struct account_demand
{
    std::string account;
    float tokens_per_second = 0; ///< Demand at this VM, floor included.
    float returned_credit = 0;   ///< Tokens dropped when the share shrank.
    std::uint32_t number = 0;    ///< In place of the name.
};

struct lease_request
{
    std::string vm;
    std::uint64_t incarnation = 0; ///< Of the holder's process.
    std::uint64_t sequence = 0;    ///< Increases within the incarnation.
    std::uint64_t applied = 0; ///< Grant in force; older ones never will be.
    std::uint64_t term = 0;    ///< Of the grant in force; 0: none.
    std::uint64_t config_version = 0;
    bool release = false; ///< The holder gave up every lease.
    std::vector<account_demand> accounts;
    /// Every account with demand is named, and the answer must name every
    /// share. Otherwise only what changed since the request before.
    bool full = true;
    /// Account table that the numbers refer to; 0: accounts go by name.
    std::uint64_t table = 0;
};

struct lease_share
{
    std::string account;
    float share = 0;          ///< Of the account's rate, besides the floor.
    float credit = 0;         ///< Tokens to add once.
    std::uint32_t number = 0; ///< In place of the name.
};

/// Replaces every lease of an earlier sequence. An account that is not named
/// has the share of the grant `base`, or none if that is 0.
struct lease_grant
{
    std::uint64_t incarnation = 0; ///< Of the request.
    std::uint64_t sequence = 0;    ///< Of the request.
    std::uint64_t term = 0;
    std::uint64_t config_version = 0; ///< That the shares were computed for.
    std::vector<lease_share> shares;
    /// Sequence of the grant of this term that must be in force when this one
    /// is applied; 0: any.
    std::uint64_t base = 0;
    /// Accounts go by number in the table of the request.
    bool numbered = false;
    /// Account table of the grantor, if accounts go by name.
    std::uint64_t table = 0;
};

/// Bytes that one account takes in an encoded message at most.
constexpr std::size_t encoded_account_bytes(std::string_view account)
{
    return 3 + account.size() + 2 * sizeof(float);
}

/// cereal portable binary.
std::string encode(const lease_request& it);
std::string encode(const lease_grant& it);

/// INVALID_ARGUMENT if the bytes are truncated, too long, followed by others,
/// or hold an amount that is negative or not finite.
absl::StatusOr<lease_request> decode_lease_request(std::string_view bytes);
absl::StatusOr<lease_grant> decode_lease_grant(std::string_view bytes);

} // namespace hyssoploft::rate

#endif
