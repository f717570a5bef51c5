#ifndef HYSSOPLOFT_LIBRATE_SHARE_ALLOCATOR_HPP
#define HYSSOPLOFT_LIBRATE_SHARE_ALLOCATOR_HPP

// Divides one control VM's part of every account's rate between the requesting
// VMs by demand. Each control VM owns an equal part, so that elections don't
// interrupt the grants and a partitioned region keeps the parts of its own
// control VMs.
//
// Invariant: for each account the parts that holders may have in force add up
// to at most 1. A part counts until its lease has expired on the clock of this
// VM, or until the holder reports a later grant.

#include <LibCore/time.hpp>
#include <LibRate/share_messages.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

namespace hyssoploft::rate {

class share_allocator
{
public:
    /// Unless this is the first start of the VM, grants of an earlier process
    /// can be in force for one lease time after `started`. Until then a VM
    /// gets no more than it holds or a fraction of its part.
    share_allocator(core::time_point started, bool first_start);

    /// Answers a request of `vm`. A request that is not newer than the last
    /// one gets an empty grant, which the holder ignores.
    share_grant handle(
        const std::string& vm, std::uint64_t incarnation,
        const share_request& request, std::uint32_t grantors,
        core::time_point now);

    /// Sum of the parts that may be in force, for tests and metrics.
    double outstanding(const std::string& account, core::time_point now) const;

private:
    struct granted_part
    {
        std::uint64_t sequence = 0;
        core::time_point expires_at{};
        double part = 0;
    };

    struct vm_account
    {
        double demand = 0;              // Tokens per second.
        std::deque<granted_part> parts; // Oldest first.
        double counted_part = 0;        // In account_totals::outstanding.
    };

    // Sums over all VMs, so that a request costs the same at any number of
    // them.
    struct account_totals
    {
        double demand = 0;
        double outstanding = 0; // Parts that expired count until the VM's next
                                // request, or until the VM is silent.
        std::size_t vms = 0;
    };

    struct vm_state
    {
        std::uint64_t sequence = 0;
        core::time_point last_request_at{};
        std::map<std::string, vm_account> accounts;
    };

    static double outstanding_part(const vm_account& it, core::time_point now);
    vm_account& account_of(vm_state& it, const std::string& account);
    void set_demand(const std::string& account, vm_account& it, double demand);
    void count_part(
        const std::string& account, vm_account& it, core::time_point now);
    void apply_request(
        vm_state& it, const share_request& request, core::time_point now);
    double target_part(const vm_account& requester, const std::string& account);
    double
    available_part(const vm_account& requester, const std::string& account);
    void expire_silent_vms(core::time_point now);
    void remove_from_totals(vm_state& it);

    const core::time_point unrestricted_from_; // No older grant is in force.
    // By VM and incarnation of its process.
    std::map<std::pair<std::string, std::uint64_t>, vm_state> vms_;
    std::map<std::string, account_totals> totals_; // By account.
};

} // namespace hyssoploft::rate

#endif
