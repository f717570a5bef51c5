#ifndef HYSSOPLOFT_LIBRATE_LEASE_HOLDER_HPP
#define HYSSOPLOFT_LIBRATE_LEASE_HOLDER_HPP

// Credit of all accounts at one VM: the floor from the declared rates and the
// flexible share from leases. Starts without credit. Thread safe.
//
// Drive it so: install() on every new configuration; at next_request_at()
// send build_request() to the leader; pass each answer to apply().

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
    /// Differs in every process of this VM, so that a grant to an earlier
    /// process is never applied.
    std::uint64_t incarnation = 0;
    /// Tells the grantor how much credit a shrinking share dropped.
    bool return_credit = true;
    /// Asks before the renewal is due, once, after a refusal without a lease.
    bool ask_early = true;
    /// Names only accounts whose demand changed, when the grant before was
    /// applied in time.
    bool name_changes = true;
    /// Uses numbers for accounts once a grantor has shown the same table.
    bool use_numbers = true;
};

class lease_holder final : public rate_limiter
{
public:
    explicit lease_holder(holder_settings settings)
        : settings_(std::move(settings))
    {}

    /// Puts declared rates in force. Lower rates, bursts and floors apply at
    /// once; a floor that grows does so after floor_growth_wait. An older
    /// version is ignored.
    void install(const declared_rates& rates, core::time_point now);

    /// The request to send at `now`. A lease granted for it starts now.
    lease_request build_request(core::time_point now);

    /// When to call build_request() next: a renewal interval after the last
    /// call, or earlier after a refusal that a larger share could avoid.
    core::time_point next_request_at() const;

    /// Puts a grant in force. False if it answers no recent request of this
    /// process, is not newer than the one in force, or has ended.
    bool apply(const lease_grant& grant, core::time_point now);

    /// Gives up every lease, at shutdown; the result is sent to the leader.
    /// Floors stay, for requests that still run.
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
        std::uint32_t number = 0; // In table_.
        double floor = 0;         // In force; at most next_floor.
        double next_floor = 0;
        core::time_point floor_grows_at{};
        double granted = 0; // Flexible share of the grant in force.
        double leased = 0;  // The same; 0 once lease_end_ has passed.
        token_bucket bucket;
        double asked = 0;   // Tokens asked for since the last request.
        double demand = 0;  // Tokens per second, smoothed.
        double dropped = 0; // Tokens to return with the next request.
        double told = 0;    // Demand last named in a request.
    };

    struct removed_account
    {
        double floor;
        core::time_point at;
    };

    struct sent_request
    {
        std::uint64_t sequence = 0;
        core::time_point sent{};
        std::uint64_t table = 0; // 0: accounts went by name.
    };

    void remove_accounts(const declared_rates& rates, core::time_point now);
    void advance(account_state& it, core::time_point now) const;
    double configure(account_state& it) const;
    void update_demand(account_state& it, double seconds) const;
    lease_request start_request(core::time_point now);
    void name_account(
        const std::string& name, account_state& it, lease_request& request);
    void limit_size(lease_request& request);
    void set_granted(account_state& it, double share) const;
    account_state* find(const lease_share& it, bool numbered);
    void end_unnamed(const std::set<const account_state*>& named);
    double read(
        const std::string& account, core::time_point now,
        double (*value)(const account_state&));

    holder_settings settings_; // Never changes.
    mutable std::mutex mutex_; // Guards everything below.
    declared_rates rates_;
    std::map<std::string, account_state> accounts_;
    // Accounts removed less than floor_growth_wait ago.
    std::map<std::string, removed_account> removed_;
    std::vector<account_state*> table_; // Accounts by number.
    std::uint64_t table_id_ = 0;
    std::uint64_t grantor_table_ = 0;    // As of the last grant by name.
    std::array<sent_request, 8> sent_{}; // By sequence modulo its size.
    std::uint64_t sequence_ = 0;
    std::uint64_t applied_ = 0; // Never decreases.
    std::uint64_t term_ = 0;
    core::time_point lease_end_{}; // Of all shares of the grant in force.
    bool must_name_all_ = true;    // In the next request.
    int since_full_ = 0;           // Requests.
    std::optional<core::time_point> last_request_;
    bool refused_without_lease_ = false; // Since the last request.
    bool last_was_early_ = false;
    bool released_ = false;
};

} // namespace hyssoploft::rate

#endif
