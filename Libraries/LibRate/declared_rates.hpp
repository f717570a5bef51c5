#ifndef HYSSOPLOFT_LIBRATE_DECLARED_RATES_HPP
#define HYSSOPLOFT_LIBRATE_DECLARED_RATES_HPP

// The part of the configuration that rates depend on, and the constants of
// the lease protocol. LibControl fills it from resource::configuration, since
// LibRate depends on LibCore only.

#include <LibCore/time.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace hyssoploft::rate {

/// Rate and burst of one account over the fleet.
struct account_rate
{
    double tokens_per_second = 0;
    double burst_tokens = 0;
    double floor_fraction = 0.5; ///< Part that never expires; 0 to 1.

    bool operator==(const account_rate&) const = default;
};

struct declared_rates
{
    std::uint64_t version = 0; ///< config_version; only increases.
    std::uint32_t floor_slots = 0;
    std::set<std::string> vms; ///< At most floor_slots.
    std::map<std::string, account_rate> accounts;

    /// Identifies the set of account names, never 0. VMs with the same table
    /// number the accounts alike, in the order of their names.
    std::uint64_t account_table() const;

    /// Share of an account's rate that `vm` holds without a lease. A VM that
    /// is not declared has none.
    double floor_share(const std::string& vm, const account_rate& it) const
    {
        return floor_slots == 0 || !vms.contains(vm)
                   ? 0.0
                   : it.floor_fraction / floor_slots;
    }
};

/// Any two clocks run at speeds that differ by at most this factor, and none
/// is faster than true time by more.
inline constexpr double clock_drift = 1.01;

/// On the holder's clock, from when it sent the request.
inline constexpr core::duration lease_time = std::chrono::seconds(4);

/// On the grantor's clock, from the grant: lease_time plus 1%.
inline constexpr core::duration lease_time_at_grantor =
    std::chrono::milliseconds(4040);

/// The same for shares of several grantors. Shorter, since a control VM that
/// starts again waits for it, and each exchange of state renews the lease.
inline constexpr core::duration share_lease_time = std::chrono::seconds(2);
inline constexpr core::duration share_lease_time_at_grantor =
    std::chrono::milliseconds(2020);

inline constexpr core::duration renewal_interval = std::chrono::seconds(1);

/// The longest election timeout of LibConsensus.
inline constexpr core::duration election_timeout = std::chrono::seconds(2);

/// From election to the first grant. A former leader's clock can be slow by
/// 1% when it measures its election timeout, so that part grows by 1% too.
inline constexpr core::duration new_leader_wait =
    std::chrono::milliseconds(4040 + 2020);

/// A floor that grows does so this long after the VM received the change:
/// leases of the larger flexible part, also those of a former leader, must
/// have ended, by a clock that can be 1% fast.
inline constexpr core::duration floor_growth_wait =
    std::chrono::milliseconds(6130);

} // namespace hyssoploft::rate

#endif
