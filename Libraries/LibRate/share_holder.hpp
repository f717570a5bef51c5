#ifndef HYSSOPLOFT_LIBRATE_SHARE_HOLDER_HPP
#define HYSSOPLOFT_LIBRATE_SHARE_HOLDER_HPP

// Credit of all accounts at one VM, accrued from the shares that several
// grantors lease to it. Thread safe: traffic threads reserve tokens, the
// control thread exchanges shares.

#include <LibRate/declared_rates.hpp>
#include <LibRate/rate_limiter.hpp>
#include <LibRate/share_messages.hpp>
#include <LibRate/token_bucket.hpp>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace hyssoploft::rate {

class share_holder final : public rate_limiter
{
public:
    /// Applies declared rates. An account without a rate is not limited here,
    /// and callers must not reserve tokens for it. `extra_burst`, in tokens,
    /// is added to the fleet-wide burst of each account. The part of
    /// the burst that the pools don't hold is divided evenly between `vms`,
    /// so that a VM whose demand rises has credit before its share grows; the
    /// shares divide only the rates.
    void install(
        const std::map<std::string, account_rate>& rates, double extra_burst,
        std::uint32_t vms, core::time_point now);

    /// Builds the request to one grantor; the lease granted for it starts now.
    share_request
    build_request(const std::string& grantor, core::time_point now);

    /// Applies a grant. Returns false if it answers no recent request or is not
    /// newer than the one in force.
    bool apply(
        const std::string& grantor, const share_grant& grant,
        core::time_point now);

    reserve_result reserve(
        const std::string& account, double tokens,
        core::time_point now) override;
    /// Like reserve(), with tokens borrowed for this request. The bucket keeps
    /// the unused ones up to its cap; the rest is returned to the grantors.
    /// Does not count towards demand again.
    reserve_result reserve_with_loan(
        const std::string& account, double tokens, double lent,
        core::time_point now) override;
    void settle(
        const reservation& taken, double used_tokens,
        core::time_point now) override;

    /// For metrics and tests; 0 for an unknown account.
    double share(const std::string& account, core::time_point now);

private:
    struct account_state
    {
        explicit account_state(core::time_point now) : bucket(now) {}

        account_rate declared;
        token_bucket bucket;
        double requested_tokens = 0; // Tokens since the last measurement.
        double excess_tokens = 0;    // Tokens to be returned to a grantor.
        double demand = 0;           // Tokens per second, smoothed.
    };

    struct grantor_state
    {
        std::uint64_t sequence = 0; // Of the last request.
        // Recent requests by sequence.
        std::map<std::uint64_t, core::time_point> requests_sent_at;
        std::uint64_t applied = 0;
        core::time_point lease_end{}; // Of the lease in force.
        double weight = 0;            // 1 / number of grantors.
        std::map<std::string, double> parts;
    };

    void update_demand(core::time_point now);
    double
    current_share(const std::string& account, core::time_point now) const;
    void configure_bucket(
        const std::string& name, account_state& it, core::time_point now);
    reserve_result take(
        const std::string& account, account_state& it, double tokens,
        double lent, core::time_point now);

    std::mutex mutex_; // Guards everything below.
    std::map<std::string, account_state> accounts_;
    std::map<std::string, grantor_state> grantors_;
    double extra_burst_ = 0;
    double vms_ = 1;
    core::time_point demand_updated_at_{};
};

} // namespace hyssoploft::rate

#endif
