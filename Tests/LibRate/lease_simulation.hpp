#ifndef HYSSOPLOFT_TESTS_LIBRATE_LEASE_SIMULATION_HPP
#define HYSSOPLOFT_TESTS_LIBRATE_LEASE_SIMULATION_HPP

// Simulation in virtual time of lease holders and grantors with separate clocks
// and a lossy in-memory network. Records all admitted tokens.

#include <LibRate/lease_grantor.hpp>
#include <LibRate/lease_holder.hpp>

#include <LibCore/random_source.hpp>

#include <memory>
#include <string>
#include <vector>

namespace hyssoploft::tests {

class lease_simulation
{
public:
    struct options
    {
        std::uint64_t seed = 1;
        int vms = 8; // The number of floor slots; the first 3 can lead.
        double max_clock_speed = 1.01;
        double min_clock_speed = 1.0;
        double loss_probability = 0;
        double duplication_probability = 0;
        int max_delay_ms = 20;
        double settled_fraction = 0; // Fraction of reservations.
    };

    explicit lease_simulation(options chosen);

    /// Advances real time by 100 ms: installs rates, exchanges messages and
    /// generates load.
    void step();
    void run(double seconds);

    /// Isolates a VM from all others, or reconnects it.
    void set_isolated(int vm, bool is_isolated);
    void restart(int vm);
    /// Removes a stopped VM from the fleet and declares a new one.
    void replace(int vm);
    /// The leader loses its quorum and another control VM is elected.
    void change_leader();
    void set_rate(double factor);
    /// Declares or removes an account that sorts before the measured one, so
    /// that account numbers change.
    void toggle_other_account();
    /// Returns false if the rules for operators forbid the change now.
    bool set_floor_fraction(double fraction);

    /// Largest excess over burst + rate x window, over all windows.
    double max_excess() const;
    /// Tokens admitted at these VMs since a time in seconds.
    double admitted_tokens(const std::vector<int>& vms, double since) const;
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
    core::time_point local_time(int vm) const;
    const rate::declared_rates& declared() const
    {
        return versions_.back();
    }

    /// Largest sum of all shares in force, over all steps.
    double max_share_sum() const
    {
        return max_share_sum_;
    }

    /// Sets the probability that a VM uses all its credit in a step. A VM
    /// without demand accumulates credit.
    void set_demand(int vm, double probability)
    {
        vms_[vm].demand = probability;
    }

private:
    struct vm_process
    {
        std::string id;
        double clock_speed = 1;
        double clock_offset = 0;
        bool is_isolated = false;
        std::size_t version = 0; // Index of the rates installed.
        double installs_at = -1;
        std::unique_ptr<rate::lease_holder> holder;
        std::unique_ptr<rate::lease_grantor> grantor;
        double steps_down_at = -1;
        double demand = 1;
    };

    struct message
    {
        double delivered_at;
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

    struct rates_in_force
    {
        double at;
        double rate;
        double burst;
    };

    void start(int vm);
    void publish_rates(rate::declared_rates next);
    void install_due();
    void update_leadership();
    void send(int from, int to, bool is_grant, const std::string& bytes);
    void exchange_messages();
    void generate_load();
    void record_rates_in_force();
    bool all_confirmed() const;

    options options_;
    core::seeded_random random_;
    std::vector<vm_process> vms_;
    std::vector<rate::declared_rates> versions_;
    std::vector<message> messages_;
    std::vector<admission> admissions_;
    std::vector<open_reservation> open_reservations_;
    std::vector<rates_in_force> rates_in_force_;
    int leader_ = 0;
    int next_leader_ = -1;
    double elected_at_ = -1;
    std::uint64_t term_ = 0;
    std::uint64_t incarnations_ = 0;
    double floor_raised_at_ = -100;
    double now_ = 0;
    double max_share_sum_ = 0;
};

} // namespace hyssoploft::tests

#endif
