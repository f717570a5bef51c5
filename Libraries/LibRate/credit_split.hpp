#ifndef HYSSOPLOFT_LIBRATE_CREDIT_SPLIT_HPP
#define HYSSOPLOFT_LIBRATE_CREDIT_SPLIT_HPP

// How an account's rate and burst are divided between the VMs' own credit and
// the pools of the grantors. Both sides use the same parts, so that the sum
// stays the declared one.

namespace hyssoploft::rate {

/// Part of each rate that accrues in the pools. The rest is leased to VMs,
/// which return what they can't keep. Half and half serves large and small
/// requests alike when about as many tokens are asked for in each.
inline constexpr double pool_rate_share = 0.5;

/// Part of each burst that lies in the pools. With tens of VMs a VM's own part
/// covers a small request only.
inline constexpr double pool_burst_share = 0.6;

} // namespace hyssoploft::rate

#endif
