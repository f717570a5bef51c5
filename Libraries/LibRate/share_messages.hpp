#ifndef HYSSOPLOFT_LIBRATE_SHARE_MESSAGES_HPP
#define HYSSOPLOFT_LIBRATE_SHARE_MESSAGES_HPP

// What a VM and a grantor of rate shares tell each other. Both ride on other
// messages between VMs.

#include <cstdint>
#include <string>
#include <vector>

namespace hyssoploft::rate {

/// One account in a request for shares.
struct share_demand
{
    std::string account;
    float tokens_per_second = 0; ///< Asked for at this VM, refused or not.
    float held = 0; ///< Part of the grantor's rate that is held from it now.
    float returned = 0; ///< Tokens that this VM had no room for.

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(account, tokens_per_second, held, returned);
    }
};

struct share_request
{
    std::uint64_t sequence = 0; ///< Rises with each request of a process.
    std::uint64_t applied = 0;  ///< Sequence of the newest grant in force.
    std::vector<share_demand> demands;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(sequence, applied, demands);
    }
};

/// Parts of the grantor's part of each account's rate, from 0 to 1.
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

/// Replaces every earlier grant of the same grantor.
struct share_grant
{
    std::uint64_t sequence = 0; ///< Of the request.
    std::uint32_t grantors = 0; ///< Among which each rate is divided evenly.
    std::vector<granted_share> shares;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(sequence, grantors, shares);
    }
};

} // namespace hyssoploft::rate

#endif
