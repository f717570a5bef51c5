#ifndef HYSSOPLOFT_LIBRATE_CREDIT_MESSAGES_HPP
#define HYSSOPLOFT_LIBRATE_CREDIT_MESSAGES_HPP

// Messages with which a VM borrows credit from a grantor when its own does not
// cover a request.

#include <cstdint>
#include <string>

namespace hyssoploft::rate {

struct loan_request
{
    std::string account;
    float tokens = 0;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(account, tokens);
    }
};

struct loan_answer
{
    float tokens = 0; ///< Lent; may be fewer than requested, or 0.
    std::uint32_t retry_after_ms = 0; ///< If none lent: when to retry.

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(tokens, retry_after_ms);
    }
};

} // namespace hyssoploft::rate

#endif
