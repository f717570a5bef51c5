#ifndef HYSSOPLOFT_LIBRATE_CREDIT_MESSAGES_HPP
#define HYSSOPLOFT_LIBRATE_CREDIT_MESSAGES_HPP

// What a VM asks of a grantor when its own credit does not cover a request.

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
    float tokens = 0;                 ///< Lent; less than asked for, or none.
    std::uint32_t retry_after_ms = 0; ///< If none: when some may be there.

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(tokens, retry_after_ms);
    }
};

} // namespace hyssoploft::rate

#endif
