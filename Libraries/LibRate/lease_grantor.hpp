#ifndef HYSSOPLOFT_LIBRATE_LEASE_GRANTOR_HPP
#define HYSSOPLOFT_LIBRATE_LEASE_GRANTOR_HPP

// Divides the flexible part of every account's rate between the VMs that ask.
// Runs on the leader's control thread; not thread safe.
//
// The grantor counts every lease until its own clock says that it has ended,
// or until the holder reports that it applied a later grant. What it counts
// never exceeds the flexible part. The part that is not leased accrues credit
// here, which goes out with the next larger share.

#include <LibRate/declared_rates.hpp>
#include <LibRate/lease_messages.hpp>
#include <LibRate/token_bucket.hpp>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace hyssoploft::rate {

enum class division_rule : std::uint8_t
{
    proportional, ///< By demand.
    need_first    ///< Demand beyond the floor first, the rest by demand.
};

struct grantor_settings
{
    division_rule division = division_rule::need_first;
    /// Keeps the credit of the part that is not leased, and credit that
    /// holders returned.
    bool keep_credit = true;
    /// Counts only the grants that a holder can still apply, instead of every
    /// grant until its end.
    bool use_acknowledgements = true;
    /// A change smaller than this part of the share held is not made: it
    /// would drop credit for little gain.
    double hysteresis = 0.1;
    /// Part of the flexible share that a VM with demand gets at least, if it
    /// is free.
    double minimum_share = 0.02;
};

class lease_grantor
{
public:
    explicit lease_grantor(grantor_settings settings = {}) : settings_(settings)
    {}

    /// Puts declared rates in force. An older version is ignored. A flexible
    /// part that grows does so once every declared VM has reported the
    /// version, because VMs that lag still use their larger floors.
    void install(const declared_rates& rates, core::time_point now);

    /// Starts a term as leader; grants begin after new_leader_wait.
    void elected(std::uint64_t term, core::time_point now);

    /// Grants nothing from now on and forgets all leases.
    void step_down();

    /// The answer to a request; none if this VM is not leader, the request is
    /// old or from an undeclared VM, or the wait after election is not over.
    /// A release has no answer.
    std::optional<lease_grant>
    handle(const lease_request& request, core::time_point now);

    /// When grants begin; none if this VM is not leader.
    std::optional<core::time_point> grants_from() const;

    /// Share counted as leased, for status, metrics and tests.
    double leased(const std::string& account, core::time_point now) const;

    /// Share that may be leased.
    double flexible(const std::string& account) const;

private:
    struct grant_record
    {
        std::uint64_t incarnation;
        std::uint64_t sequence;
        double share;
        core::time_point end; // On this clock.
    };

    struct vm_lease
    {
        double demand = 0; // Tokens per second.
        core::time_point demand_at{};
        std::vector<grant_record> grants; // Those that may be in force.

        double counted() const;
        void remember(const grant_record& it);
    };

    struct account_state
    {
        explicit account_state(core::time_point now) : unleased(now) {}

        account_rate declared;
        double flexible = 0;
        std::map<std::string, vm_lease> vms; // With demand or a lease.
        token_bucket unleased;               // Credit of the free part.
    };

    struct vm_state
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        std::uint64_t config_version = 0;
        std::set<std::string> accounts; // In which it has a vm_lease.
    };

    struct older_rates
    {
        std::uint64_t until_version; // That every VM has to report.
        std::map<std::string, double> floor_fractions;
    };

    bool accept(const lease_request& request);
    void configure_unleased(account_state& it) const;
    void forget_ended(account_state& it, core::time_point now) const;
    void count_acknowledged(
        account_state& it, const lease_request& request, double returned) const;
    double target(const account_state& it, const std::string& vm) const;
    lease_share grant_share(
        const std::string& account, account_state& it,
        const lease_request& request, core::time_point now) const;
    void update_flexible();
    void drop_confirmed();

    grantor_settings settings_; // Never changes.
    declared_rates rates_;
    bool leader_ = false;
    std::uint64_t term_ = 0;
    core::time_point grants_from_{};
    std::map<std::string, account_state> accounts_;
    std::map<std::string, vm_state> vms_;
    std::vector<older_rates> older_; // With a larger floor somewhere.
};

} // namespace hyssoploft::rate

#endif
