#ifndef HYSSOPLOFT_LIBRATE_DECLARED_RATES_HPP
#define HYSSOPLOFT_LIBRATE_DECLARED_RATES_HPP

// Rates declared in the configuration, and the time constants of the lease
// protocol. LibControl converts resource::configuration to these types, because
// LibRate depends only on LibCore.

#include <LibCore/time.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace hyssoploft::rate {

/// Fleet-wide rate and burst of one account.
struct account_rate
{
    double tokens_per_second = 0;
    double burst_tokens = 0;
    double floor_fraction = 0.5; ///< Part held without a lease; 0 to 1.

    bool operator==(const account_rate&) const = default;
};

struct declared_rates
{
    std::uint64_t version = 0; ///< config_version; only increases.
    std::uint32_t floor_slots = 0;
    std::set<std::string> vms; ///< At most floor_slots.
    std::map<std::string, account_rate> accounts;

    /// Identifier of the set of account names, never 0. VMs with the same
    /// identifier number the accounts alike, in the order of their names.
    std::uint64_t account_table_id() const;

    /// Share of an account's rate that `vm` holds without a lease. A VM that
    /// is not declared has none.
    double floor_share(const std::string& vm, const account_rate& it) const
    {
        return floor_slots == 0 || !vms.contains(vm)
                   ? 0.0
                   : it.floor_fraction / floor_slots;
    }
};

/// Maximum ratio of the speeds of two clocks, and of any clock to real time.
inline constexpr double clock_drift = 1.01;

/// Measured on the holder's clock from the time it sent the request.
inline constexpr core::duration lease_time = std::chrono::seconds(4);

/// Measured on the grantor's clock from the grant: lease_time plus 1% for clock
/// drift.
inline constexpr core::duration lease_time_at_grantor =
    std::chrono::milliseconds(4040);

/// The same for shares of several grantors. Shorter, since a restarted control
/// VM waits this long, and each exchange of state renews the lease.
inline constexpr core::duration share_lease_time = std::chrono::seconds(2);
inline constexpr core::duration share_lease_time_at_grantor =
    std::chrono::milliseconds(2020);

inline constexpr core::duration renewal_interval = std::chrono::seconds(1);

/// The longest election timeout of LibConsensus.
inline constexpr core::duration election_timeout = std::chrono::seconds(2);

/// Delay from the election to the first grant: lease_time_at_grantor plus
/// election_timeout, the latter increased by 1% because the former leader's
/// clock can be 1% slow.
inline constexpr core::duration new_leader_wait =
    std::chrono::milliseconds(4040 + 2020);

/// Delay from the receipt of a larger floor until it applies. All leases of the
/// larger flexible part, also those of a former leader, must have expired by
/// then, even if this clock is 1% fast.
inline constexpr core::duration floor_growth_wait =
    std::chrono::milliseconds(6130);

} // namespace hyssoploft::rate

#endif
