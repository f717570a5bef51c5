#ifndef HYSSOPLOFT_LIBRATE_LEASE_GRANTOR_HPP
#define HYSSOPLOFT_LIBRATE_LEASE_GRANTOR_HPP

// Divides the flexible part of every account's rate between the VMs that ask.
// Runs on the leader's control thread; not thread safe.
//
// The grantor counts every lease until its own clock says that it has ended,
// or until the holder reports that it applied a later grant. What it counts
// never exceeds the flexible part. The part that is not leased accrues credit
// here, which goes out with the next larger share.
//
// The cost of a request grows with the accounts that its VM holds or asks
// for, not with the VMs of these accounts: sums are kept for each account.

#include <LibRate/declared_rates.hpp>
#include <LibRate/lease_messages.hpp>
#include <LibRate/token_bucket.hpp>

#include <list>
#include <map>
#include <optional>
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
    /// Names only the shares that changed, if the request allows it.
    bool name_changes = true;
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
    struct granted_share
    {
        std::uint64_t since; // Sequence of the first answer with this share.
        double share;        // A multiple of share_unit.
    };

    struct account_state
    {
        explicit account_state(core::time_point now) : unleased(now) {}

        std::uint32_t id = 0; // Never used again for another account.
        std::string name;
        std::uint32_t number = 0; // In table_, if it is declared.
        account_rate declared;
        double flexible = 0;
        // Sums over the leases. Shares are multiples of share_unit, so that
        // the sum of them is exact.
        double leased = 0;
        double demands = 0; // Tokens per second.
        double needs = 0;   // Shares of the rate.
        std::size_t asking = 0;
        std::size_t leases = 0;
        token_bucket unleased; // Credit of the free part.
    };

    struct vm_lease
    {
        account_state* account = nullptr;
        double demand = 0;   // Tokens per second.
        double returned = 0; // Tokens, within one request.
        // Those that may be in force, oldest first. The last one is that of
        // the newest answer.
        std::vector<granted_share> shares;

        double counted() const;
        double newest() const
        {
            return shares.empty() ? 0.0 : shares.back().share;
        }
        /// Share under the answer `sequence`, which can be in force.
        double under(std::uint64_t sequence) const;
    };

    struct sent_answer
    {
        std::uint64_t sequence;
        core::time_point end; // Of its leases, on this clock.
    };

    // What one process of a VM asked for and was granted.
    struct vm_record
    {
        std::string vm;
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0; // Of the request last taken; 0: none.
        core::time_point heard{};
        std::vector<sent_answer> answers; // That may be in force, oldest first.
        std::map<std::uint32_t, vm_lease> leases; // By account_state::id.
    };
    using record_list = std::list<vm_record>;

    struct vm_state
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        std::uint64_t config_version = 0;
        std::optional<record_list::iterator> record; // Of this incarnation.
    };

    struct older_rates
    {
        std::uint64_t until_version; // That every VM has to report.
        std::map<std::string, double> floor_fractions;
    };

    bool accept(const lease_request& request);
    vm_record& record_of(const lease_request& request, core::time_point now);
    account_state* find(const account_demand& it, bool numbered);
    void take_demands(vm_record& own, const lease_request& request);
    void acknowledge(
        vm_record& own, const lease_request& request, core::time_point now);
    lease_grant
    grant(vm_record& own, const lease_request& request, core::time_point now);
    lease_share grant_share(
        vm_lease& lease, double share, std::uint64_t sequence,
        core::time_point now) const;
    std::uint64_t base_of(const vm_record& own, const lease_request& it) const;
    void forget_ended(core::time_point now);
    void drop_record(record_list::iterator it, core::time_point ended);
    void set_demand(vm_lease& lease, double demand) const;
    double need(const account_state& it, double demand) const;
    double target(const vm_lease& lease) const;
    void configure_unleased(account_state& it) const;
    void recount_demands();
    void update_flexible();
    void drop_confirmed();

    grantor_settings settings_; // Never changes.
    declared_rates rates_;
    bool leader_ = false;
    std::uint64_t term_ = 0;
    core::time_point grants_from_{};
    std::map<std::string, account_state> accounts_;
    std::uint32_t next_account_id_ = 0;
    std::uint64_t table_id_ = 0;
    std::vector<account_state*> table_; // Declared accounts by number.
    std::map<std::string, vm_state> vms_;
    record_list records_;            // Least recently heard first.
    std::vector<older_rates> older_; // With a larger floor somewhere.
};

} // namespace hyssoploft::rate

#endif
