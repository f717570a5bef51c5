#ifndef HYSSOPLOFT_LIBRATE_CREDIT_SPLIT_HPP
#define HYSSOPLOFT_LIBRATE_CREDIT_SPLIT_HPP

// Division of an account's rate and burst between the VMs' own credit and the
// pools of the grantors. Both sides use the same fractions, so that the sums
// equal the declared values.

namespace hyssoploft::rate {

/// Fraction of each rate that accrues in the pools. The rest is leased to VMs,
/// which return what exceeds their cap. An even split suits a load in which
/// large and small requests use about as many tokens in total.
inline constexpr double pool_rate_share = 0.5;

/// Fraction of each burst that the pools hold. With tens of VMs the part of one
/// VM covers small requests only.
inline constexpr double pool_burst_share = 0.6;

} // namespace hyssoploft::rate

#endif
