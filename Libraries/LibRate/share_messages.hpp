#ifndef HYSSOPLOFT_LIBRATE_SHARE_MESSAGES_HPP
#define HYSSOPLOFT_LIBRATE_SHARE_MESSAGES_HPP

// Messages between a VM and a grantor of rate shares. Both are embedded in
// other messages between VMs.

#include <cstdint>
#include <string>
#include <vector>

namespace hyssoploft::rate {

/// One account in a request for shares.
struct share_demand
{
    std::string account;
    float tokens_per_second = 0; ///< Demand at this VM, with refused requests.
    float held = 0;     ///< Part of the grantor's rate that this VM holds now.
    float returned = 0; ///< Tokens above the cap of this VM.

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(account, tokens_per_second, held, returned);
    }
};

struct share_request
{
    std::uint64_t sequence = 0; ///< Increases with each request of a process.
    std::uint64_t applied = 0;  ///< Sequence of the newest grant in force.
    std::vector<share_demand> demands;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(sequence, applied, demands);
    }
};

/// Part of the grantor's part of an account's rate, from 0 to 1.
struct granted_share
{
    std::string account;
    float part = 0;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(account, part);
    }
};

/// Replaces all earlier grants of the same grantor.
struct share_grant
{
    std::uint64_t sequence = 0; ///< Of the request.
    std::uint32_t grantors = 0; ///< Number of VMs that divide each rate evenly.
    std::vector<granted_share> shares;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(sequence, grantors, shares);
    }
};

} // namespace hyssoploft::rate

#endif
