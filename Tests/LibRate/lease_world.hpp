#ifndef HYSSOPLOFT_TESTS_LIBRATE_LEASE_WORLD_HPP
#define HYSSOPLOFT_TESTS_LIBRATE_LEASE_WORLD_HPP

// Holders and grantors of a few VMs with clocks of their own, joined by a
// lossy in-memory exchange, and a record of every token admitted.

#include <LibRate/lease_grantor.hpp>
#include <LibRate/lease_holder.hpp>

#include <LibCore/random_source.hpp>

#include <memory>
#include <string>
#include <vector>

namespace hyssoploft::tests {

class lease_world
{
public:
    struct options
    {
        std::uint64_t seed = 1;
        int vms = 8; // As many as floor slots; the first 3 can lead.
        double fastest_clock = 1.01;
        double slowest_clock = 1.0;
        double loss = 0;
        double duplication = 0;
        int max_delay_ms = 20;
        double settled = 0; // Part of the reservations that is settled.
    };

    explicit lease_world(options chosen);

    /// Advances true time by one step of 100 ms: installs, messages, load.
    void step();
    void run(double seconds);

    /// Cuts a VM off from all others, or joins it again.
    void cut(int vm, bool is_cut);
    void restart(int vm);
    /// Removes a stopped VM from the fleet and declares a new one.
    void replace(int vm);
    /// The leader loses contact; another control VM is elected.
    void change_leader();
    void set_rate(double factor);
    /// Declares or removes an account that comes before the measured one, so
    /// that account numbers change.
    void toggle_other_account();
    /// False if the operators' rules forbid it now.
    bool set_floor_fraction(double fraction);

    /// The largest excess over burst + rate x window, over all windows.
    double worst_excess() const;
    /// Tokens admitted at these VMs since a time in seconds.
    double admitted(const std::vector<int>& vms, double since) const;
    double now() const
    {
        return now_;
    }
    rate::lease_holder& holder(int vm)
    {
        return *vms_[vm].holder;
    }
    rate::lease_grantor& leader()
    {
        return *vms_[leader_].grantor;
    }
    core::time_point local(int vm) const;
    const rate::declared_rates& declared() const
    {
        return versions_.back();
    }

    /// Sum of all shares in force, the largest of all steps.
    double worst_share_sum() const
    {
        return worst_share_sum_;
    }

    /// Chance that a VM drains its credit in a step. A VM without demand
    /// hoards.
    void set_demand(int vm, double chance)
    {
        vms_[vm].demand = chance;
    }

private:
    struct vm_process
    {
        std::string id;
        double speed = 1;
        double offset = 0;
        bool is_cut = false;
        std::size_t version = 0; // Index of the rates installed.
        double installs_at = -1;
        std::unique_ptr<rate::lease_holder> holder;
        std::unique_ptr<rate::lease_grantor> grantor;
        double steps_down_at = -1;
        double demand = 1;
    };

    struct message
    {
        double due;
        int from;
        int to;
        bool is_grant;
        std::string bytes;
    };

    struct admission
    {
        int vm;
        double at;
        double tokens;
        double used;
    };

    struct open_reservation
    {
        std::size_t admission;
        rate::reservation taken;
        double settles_at;
    };

    struct in_force
    {
        double at;
        double rate;
        double burst;
    };

    void start(int vm);
    void publish(rate::declared_rates next);
    void install_due();
    void lead();
    void send(int from, int to, bool is_grant, const std::string& bytes);
    void exchange();
    void load();
    void note_in_force();
    bool all_confirmed() const;

    options options_;
    core::seeded_random random_;
    std::vector<vm_process> vms_;
    std::vector<rate::declared_rates> versions_;
    std::vector<message> messages_;
    std::vector<admission> admissions_;
    std::vector<open_reservation> open_;
    std::vector<in_force> in_force_;
    int leader_ = 0;
    int next_leader_ = -1;
    double elected_at_ = -1;
    std::uint64_t term_ = 0;
    std::uint64_t incarnations_ = 0;
    double floor_raised_at_ = -100;
    double now_ = 0;
    double worst_share_sum_ = 0;
};

} // namespace hyssoploft::tests

#endif
