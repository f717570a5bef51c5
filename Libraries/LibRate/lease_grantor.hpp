#ifndef HYSSOPLOFT_LIBRATE_LEASE_GRANTOR_HPP
#define HYSSOPLOFT_LIBRATE_LEASE_GRANTOR_HPP

// Divides the flexible part of every account's rate between the requesting VMs.
// Runs on the leader's control thread; not thread safe.
//
// The grantor counts every lease until it has expired on its own clock, or
// until the holder reports that it applied a later grant. The leases counted
// never exceed the flexible part. The part that is not leased accrues credit
// here, which is sent with the next share that grows.
//
// The cost of a request is linear in the accounts that its VM holds or
// requests and independent of the number of VMs, since the grantor keeps sums
// per account.

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
    need_first    ///< Demand above the floor first, the rest by demand.
};

struct grantor_settings
{
    division_rule division = division_rule::need_first;
    /// Retains the credit that accrues on the unleased part and the credit that
    /// holders return, and sends it with shares that grow.
    bool keep_credit = true;
    /// Stops counting a grant once the holder acknowledged a later one, instead
    /// of counting it until it expires.
    bool use_acknowledgements = true;
    /// Changes smaller than this fraction of the current share are skipped, as
    /// they would drop credit for little gain.
    double hysteresis = 0.1;
    /// Minimum fraction of the flexible share for a VM with demand, as far as
    /// it is not leased.
    double minimum_share = 0.02;
    /// Sends only the shares that changed, if the request allows it.
    bool send_changes_only = true;
};

class lease_grantor
{
public:
    explicit lease_grantor(grantor_settings settings = {}) : settings_(settings)
    {}

    /// Applies declared rates. An older version is ignored. A flexible part
    /// grows only once every declared VM has reported the version, because
    /// lagging VMs still use their larger floors.
    void install(const declared_rates& rates, core::time_point now);

    /// Starts a term as leader; grants begin after new_leader_wait.
    void elected(std::uint64_t term, core::time_point now);

    /// Ends the term: grants nothing from now on and drops all leases.
    void step_down();

    /// Answers a request. No answer if this VM is not leader, the request is
    /// stale or from an undeclared VM, or the wait after the election is not
    /// over. A release has no answer.
    std::optional<lease_grant>
    handle(const lease_request& request, core::time_point now);

    /// Time of the earliest grant; none if this VM is not leader.
    std::optional<core::time_point> grants_start_at() const;

    /// Sum of the shares that may be in force, for status, metrics and tests.
    double leased_share(const std::string& account, core::time_point now) const;

    /// Share of the rate that may be leased.
    double flexible_share(const std::string& account) const;

private:
    struct granted_share
    {
        std::uint64_t since_sequence; // Of the first answer with this share.
        double share;                 // A multiple of share_unit.
    };

    struct account_state
    {
        explicit account_state(core::time_point now) : unleased_credit(now) {}

        std::uint32_t id = 0; // Never reused for another account.
        std::string name;
        std::uint32_t number = 0; // Index in table_, if declared.
        account_rate declared;
        double flexible_share = 0;
        // Sums over the leases. Shares are multiples of share_unit, so that
        // their sum is exact.
        double leased_share = 0;
        double total_demand = 0; // Tokens per second.
        double total_need = 0;   // Fraction of the rate.
        std::size_t vms_with_demand = 0;
        std::size_t lease_count = 0;
        token_bucket unleased_credit; // Credit of the unleased part.
    };

    struct vm_lease
    {
        account_state* account = nullptr;
        double demand = 0;          // Tokens per second.
        double returned_tokens = 0; // Of the current request.
        // Shares that may be in force, oldest first. The last one is that of
        // the newest answer.
        std::vector<granted_share> shares;

        double counted_share() const;
        double newest_share() const
        {
            return shares.empty() ? 0.0 : shares.back().share;
        }
        /// Share granted by the answer `sequence`, which can be in force.
        double share_at(std::uint64_t sequence) const;
    };

    struct sent_answer
    {
        std::uint64_t sequence;
        core::time_point expires_at; // Of its leases, on this VM's clock.
    };

    // Requests and leases of one process of a VM.
    struct vm_record
    {
        std::string vm;
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0; // Of the last request applied; 0: none.
        core::time_point last_request_at{};
        std::vector<sent_answer> answers; // May be in force, oldest first.
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

    struct superseded_rates
    {
        std::uint64_t superseding_version; // That all VMs must report.
        std::map<std::string, double> floor_fractions;
    };

    bool accept(const lease_request& request);
    vm_record& touch_record(const lease_request& request, core::time_point now);
    account_state* find_account(const account_demand& it, bool numbered);
    void update_demands(vm_record& record, const lease_request& request);
    void acknowledge(
        vm_record& record, const lease_request& request, core::time_point now);
    lease_grant grant(
        vm_record& record, const lease_request& request, core::time_point now);
    lease_share update_share(
        vm_lease& lease, double share, std::uint64_t sequence,
        core::time_point now) const;
    std::uint64_t
    base_sequence(const vm_record& record, const lease_request& it) const;
    void expire_records(core::time_point now);
    void drop_record(record_list::iterator it, core::time_point ended);
    void set_demand(vm_lease& lease, double demand) const;
    double needed_share(const account_state& it, double demand) const;
    double target_share(const vm_lease& lease) const;
    void configure_unleased_credit(account_state& it) const;
    void recount_demands();
    void update_flexible_shares();
    void drop_confirmed_rates();

    grantor_settings settings_; // Constant after construction.
    declared_rates rates_;
    bool leader_ = false;
    std::uint64_t term_ = 0;
    core::time_point grants_start_at_{};
    std::map<std::string, account_state> accounts_;
    std::uint32_t next_account_id_ = 0;
    std::uint64_t table_id_ = 0;
    std::vector<account_state*> table_; // Declared accounts by number.
    std::map<std::string, vm_state> vms_;
    record_list records_;                      // Ordered by last_request_at.
    std::vector<superseded_rates> superseded_; // Had larger floors.
};

} // namespace hyssoploft::rate

#endif
