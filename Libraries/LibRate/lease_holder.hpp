#ifndef HYSSOPLOFT_LIBRATE_LEASE_HOLDER_HPP
#define HYSSOPLOFT_LIBRATE_LEASE_HOLDER_HPP

// Credit of all accounts at one VM: the floor from the declared rates and the
// flexible share from leases. Starts without credit. Thread safe.
//
// Usage: call install() on every new configuration, send build_request() to the
// leader at next_request_at(), and pass each answer to apply().

#include <LibRate/declared_rates.hpp>
#include <LibRate/lease_messages.hpp>
#include <LibRate/rate_limiter.hpp>
#include <LibRate/token_bucket.hpp>

#include <array>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

namespace hyssoploft::rate {

struct holder_settings
{
    std::string vm;
    /// Unique to each process of this VM, so that a grant to an earlier process
    /// is never applied.
    std::uint64_t incarnation = 0;
    /// Reports to the grantor how much credit a shrinking share dropped.
    bool return_credit = true;
    /// Sends one request before the renewal is due after a refusal without a
    /// lease.
    bool request_early = true;
    /// Sends only accounts whose demand changed, if the previous grant was
    /// applied in time.
    bool send_changes_only = true;
    /// Sends account numbers once a grantor has reported the same table.
    bool use_account_numbers = true;
};

class lease_holder final : public rate_limiter
{
public:
    explicit lease_holder(holder_settings settings)
        : settings_(std::move(settings))
    {}

    /// Applies declared rates. Lower rates, bursts and floors apply at once; a
    /// larger floor applies after floor_growth_wait. An older version is
    /// ignored.
    void install(const declared_rates& rates, core::time_point now);

    /// Builds the request to send at `now`. A lease granted for it starts now.
    lease_request build_request(core::time_point now);

    /// Time of the next build_request(): a renewal interval after the last
    /// call, or earlier after a refusal that a larger share could avoid.
    core::time_point next_request_at() const;

    /// Applies a grant. Returns false if it answers no recent request of this
    /// process, is not newer than the one in force, or has expired.
    bool apply(const lease_grant& grant, core::time_point now);

    /// Gives up all leases at shutdown and builds the request that reports it
    /// to the leader. Floors stay, for requests that are still running.
    lease_request release(core::time_point now);

    reserve_result reserve(
        const std::string& account, double tokens,
        core::time_point now) override;
    void settle(
        const reservation& taken, double used_tokens,
        core::time_point now) override;

    /// For status, metrics and tests; 0 for an unknown account.
    double credit(const std::string& account, core::time_point now);
    double share(const std::string& account, core::time_point now);
    double floor_share(const std::string& account, core::time_point now);

private:
    struct account_state
    {
        explicit account_state(core::time_point now) : bucket(now) {}

        account_rate declared;
        std::uint32_t number = 0; // Index in table_.
        double floor = 0;         // In force; at most pending_floor.
        double pending_floor = 0;
        core::time_point floor_grows_at{};
        double granted_share = 0; // Flexible share of the grant in force.
        double leased_share = 0;  // The same; 0 once lease_end_ has passed.
        token_bucket bucket;
        double requested_tokens = 0; // Tokens since the last request.
        double demand = 0;           // Tokens per second, smoothed.
        double dropped_tokens = 0;   // Tokens to return with the next request.
        double reported_demand = 0;  // Demand last sent in a request.
    };

    struct removed_account
    {
        double floor;
        core::time_point removed_at;
    };

    struct sent_request
    {
        std::uint64_t sequence = 0;
        core::time_point sent_at{};
        std::uint64_t table = 0; // 0: identified by name.
    };

    void remove_accounts(const declared_rates& rates, core::time_point now);
    void advance(account_state& it, core::time_point now) const;
    double configure_bucket(account_state& it) const;
    void update_demand(account_state& it, double seconds) const;
    lease_request start_request(core::time_point now);
    void add_account(
        const std::string& name, account_state& it, lease_request& request);
    void limit_size(lease_request& request);
    void set_granted_share(account_state& it, double share) const;
    account_state* find_account(const lease_share& it, bool numbered);
    void end_unlisted_leases(const std::set<const account_state*>& listed);
    double read_account(
        const std::string& account, core::time_point now,
        double (*value)(const account_state&));

    holder_settings settings_; // Constant after construction.
    mutable std::mutex mutex_; // Guards everything below.
    declared_rates rates_;
    std::map<std::string, account_state> accounts_;
    // Accounts removed less than floor_growth_wait ago.
    std::map<std::string, removed_account> removed_;
    std::vector<account_state*> table_; // Accounts by number.
    std::uint64_t table_id_ = 0;
    std::uint64_t grantor_table_ = 0;             // As of the last grant.
    std::array<sent_request, 8> sent_requests_{}; // By sequence modulo size.
    std::uint64_t sequence_ = 0;
    std::uint64_t applied_ = 0; // Never decreases.
    std::uint64_t term_ = 0;
    core::time_point lease_end_{};    // Of all shares of the grant in force.
    bool full_request_needed_ = true; // In the next request.
    int requests_since_full_ = 0;
    std::optional<core::time_point> last_request_;
    bool refused_without_lease_ = false; // Since the last request.
    bool last_request_was_early_ = false;
    bool released_ = false;
};

} // namespace hyssoploft::rate

#endif
