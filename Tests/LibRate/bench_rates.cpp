// Simulates two deployments in virtual time with fixed seeds, comparing leases,
// fixed shares and a central counter, and measures the cost of lease traffic.
// Prints a table, or JSON with --json; --cost measures only the cost.

#include <LibRate/baselines.hpp>
#include <LibRate/lease_grantor.hpp>
#include <LibRate/lease_holder.hpp>

#include <LibCore/random_source.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <memory>
#include <numbers>
#include <string>
#include <vector>

using namespace hyssoploft;
using namespace std::chrono_literals;

namespace {

constexpr double day_seconds = 600; // Duration of a simulated day, compressed.
constexpr double step_seconds = 0.02;
constexpr int regions = 3;
constexpr int account_count = 5;

// In seconds of virtual time.
constexpr double surge_begin = 150, surge_end = 250;
constexpr double partition_begin = 320, partition_end = 400; // Of region 1.
constexpr double leader_lost_at = 480;

struct deployment
{
    const char* name;
    int vms;
    double rate; // Tokens per second of the largest account.
    double burst_seconds;
};

struct offered_request
{
    double at;
    int vm;
    int account;
    double tokens;
    double used;
};

struct replay_result
{
    double admitted = 0;
    double within_rate = 0;
    double refused_within_rate = 0;
    std::vector<double> account_within_rate;
    std::vector<double> account_refused;
    double overshoot = -1e18; // Tokens over burst + rate x window.
    double bytes = 0;
};

std::string account_name(int account)
{
    return "account-" + std::to_string(account);
}

rate::declared_rates make_rates(const deployment& it)
{
    rate::declared_rates rates;
    rates.version = 1;
    rates.floor_slots = static_cast<std::uint32_t>(it.vms);
    for (int n = 0; n < it.vms; ++n)
    {
        rates.vms.insert("vm" + std::to_string(n));
    }
    for (int n = 0; n < account_count; ++n)
    {
        const double rate = it.rate / (n + 1);
        rates.accounts[account_name(n)] = {rate, it.burst_seconds * rate, 0.5};
    }
    return rates;
}

// Generates a load of 60% of the rate on average, with the regions' peaks a
// third of a day apart. Account 0 sends four times as much during the surge.
// Half of the requests go to the first VM of their region.
std::vector<offered_request>
generate_load(const deployment& it, std::uint64_t seed)
{
    core::seeded_random random(seed);
    std::vector<offered_request> load;
    const auto rates = make_rates(it);
    for (double t = 10; t < day_seconds; t += step_seconds)
    {
        for (int a = 0; a < account_count; ++a)
        {
            const double rate =
                rates.accounts.at(account_name(a)).tokens_per_second;
            for (int r = 0; r < regions; ++r)
            {
                const double phase =
                    t / day_seconds + static_cast<double>(r) / regions;
                double tokens =
                    0.6 * rate / regions *
                    (1 + 0.8 * std::sin(2 * std::numbers::pi * phase));
                if (a == 0 && t >= surge_begin && t < surge_end)
                {
                    tokens *= 4;
                }
                const double mean = rate * 0.25;
                if (random.uniform() >= tokens * step_seconds / (mean * 0.625))
                {
                    continue;
                }
                const int per_region = it.vms / regions;
                const auto other = static_cast<int>(
                    random.below(static_cast<std::uint64_t>(per_region)));
                const int n = random.uniform() < 0.5 ? 0 : other;
                const double size = mean * (0.4 + 1.2 * random.uniform());
                load.push_back(
                    {t, r * per_region + n, a, size,
                     size * (0.25 + 0.75 * random.uniform())});
            }
        }
    }
    return load;
}

// Rate limiters of all VMs, and the exchange that updates them.
class fleet
{
public:
    virtual ~fleet() = default;
    virtual rate::rate_limiter& limiter(int vm) = 0;
    virtual void advance(double) {}
    virtual double bytes() const
    {
        return 0;
    }
};

core::time_point time_at(double seconds)
{
    return core::time_point(core::from_seconds(1000 + seconds));
}

class fixed_fleet final : public fleet
{
public:
    explicit fixed_fleet(const deployment& it)
    {
        for (int n = 0; n < it.vms; ++n)
        {
            vms_.push_back(std::make_unique<rate::fixed_share_limiter>(
                make_rates(it), 1.0 / it.vms, time_at(0)));
        }
    }

    rate::rate_limiter& limiter(int vm) override
    {
        return *vms_[vm];
    }

private:
    std::vector<std::unique_ptr<rate::fixed_share_limiter>> vms_;
};

class central_fleet final : public fleet
{
public:
    explicit central_fleet(const deployment& it)
    {
        const auto counter = std::make_shared<rate::fixed_share_limiter>(
            make_rates(it), 1.0, time_at(0));
        for (int n = 0; n < it.vms; ++n)
        {
            const bool is_same_region = n < it.vms / regions;
            vms_.push_back(std::make_unique<rate::central_counter>(
                counter, is_same_region ? 4ms : 40ms));
        }
    }

    rate::rate_limiter& limiter(int vm) override
    {
        return *vms_[vm];
    }

    void advance(double now) override
    {
        const int per_region = static_cast<int>(vms_.size()) / regions;
        for (int n = 0; n < static_cast<int>(vms_.size()); ++n)
        {
            const bool is_partitioned = n / per_region == 1 &&
                                        now >= partition_begin &&
                                        now < partition_end;
            // Its successor is unavailable until it has loaded the state.
            const bool is_down =
                now >= leader_lost_at && now < leader_lost_at + 2;
            vms_[n]->set_reachable(!is_partitioned && !is_down);
        }
    }

private:
    std::vector<std::unique_ptr<rate::central_counter>> vms_;
};

class lease_fleet final : public fleet
{
public:
    lease_fleet(
        const deployment& it, rate::grantor_settings grantor,
        bool return_credit, bool ask_early)
        : grantor_(grantor)
    {
        for (int n = 0; n < it.vms; ++n)
        {
            vms_.push_back(
                std::make_unique<rate::lease_holder>(rate::holder_settings{
                    "vm" + std::to_string(n), static_cast<std::uint64_t>(n + 1),
                    return_credit, ask_early}));
            vms_.back()->install(make_rates(it), time_at(0));
        }
        grantor_.install(make_rates(it), time_at(0));
        grantor_.elected(1, time_at(0));
    }

    rate::rate_limiter& limiter(int vm) override
    {
        return *vms_[vm];
    }

    void advance(double now) override
    {
        if (now >= leader_lost_at && now < leader_lost_at + step_seconds)
        {
            grantor_.step_down();
        }
        if (now >= leader_lost_at + 1.5 &&
            now < leader_lost_at + 1.5 + step_seconds)
        {
            grantor_.elected(2, time_at(now));
        }
        const int per_region = static_cast<int>(vms_.size()) / regions;
        for (int n = 0; n < static_cast<int>(vms_.size()); ++n)
        {
            if (time_at(now) < vms_[n]->next_request_at())
            {
                continue;
            }
            const auto request = vms_[n]->build_request(time_at(now));
            const bool is_partitioned = n / per_region == 1 &&
                                        now >= partition_begin &&
                                        now < partition_end;
            if (is_partitioned)
            {
                continue;
            }
            bytes_ += static_cast<double>(rate::encode(request).size());
            const bool is_same_region = n < per_region;
            auto grant = grantor_.handle(
                request, time_at(now + (is_same_region ? 0.002 : 0.02)));
            if (grant)
            {
                bytes_ += static_cast<double>(rate::encode(*grant).size());
                pending_answers_.push_back(
                    {now + (is_same_region ? 0.004 : 0.04), n,
                     std::move(*grant)});
            }
        }
        std::erase_if(pending_answers_, [&](const answer& it) {
            return it.due_at <= now &&
                   (vms_[it.vm]->apply(it.grant, time_at(now)), true);
        });
    }

    double bytes() const override
    {
        return bytes_;
    }

private:
    struct answer
    {
        double due_at;
        int vm;
        rate::lease_grant grant;
    };

    rate::lease_grantor grantor_;
    std::vector<std::unique_ptr<rate::lease_holder>> vms_;
    std::vector<answer> pending_answers_;
    double bytes_ = 0;
};

// Replays the load. A request counts as within the rate if a single bucket with
// the whole rate admits it.
replay_result replay(
    const deployment& it, const std::vector<offered_request>& load, fleet& vms)
{
    struct open_reservation
    {
        double due_at;
        int vm;
        rate::reservation taken;
        double used;
    };
    replay_result result;
    result.account_within_rate.resize(account_count);
    result.account_refused.resize(account_count);
    const auto rates = make_rates(it);
    rate::fixed_share_limiter ideal_limiter(rates, 1.0, time_at(0));
    std::vector<open_reservation> running;
    std::vector<double> levels(account_count);
    std::vector<double> last(account_count);
    auto next = load.begin();
    for (double now = 0; now < day_seconds; now += step_seconds)
    {
        vms.advance(now);
        std::erase_if(running, [&](const open_reservation& done) {
            if (done.due_at > now)
            {
                return false;
            }
            auto& limiter = done.vm < 0 ? ideal_limiter : vms.limiter(done.vm);
            limiter.settle(done.taken, done.used, time_at(now));
            return true;
        });
        for (; next != load.end() && next->at <= now; ++next)
        {
            const offered_request& request = *next;
            const auto name = account_name(request.account);
            const auto ideal_result =
                ideal_limiter.reserve(name, request.tokens, time_at(now));
            const auto actual_result =
                vms.limiter(request.vm)
                    .reserve(name, request.tokens, time_at(now));
            const double run_seconds = 1 + request.used / it.rate;
            if (ideal_result.granted)
            {
                running.push_back(
                    {now + run_seconds, -1, ideal_result.taken, request.used});
                result.within_rate += 1;
                result.account_within_rate[request.account] += 1;
                result.refused_within_rate += actual_result.granted ? 0 : 1;
                result.account_refused[request.account] +=
                    actual_result.granted ? 0 : 1;
            }
            if (!actual_result.granted)
            {
                continue;
            }
            running.push_back(
                {now + run_seconds, request.vm, actual_result.taken,
                 request.used});
            result.admitted += 1;
            const auto& declared = rates.accounts.at(name);
            levels[request.account] =
                std::max(
                    0.0, levels[request.account] -
                             declared.tokens_per_second *
                                 (now - last[request.account])) +
                request.used;
            last[request.account] = now;
            result.overshoot = std::max(
                result.overshoot,
                levels[request.account] - declared.burst_tokens);
        }
    }
    result.bytes = vms.bytes();
    return result;
}

void print(
    const deployment& it, const char* variant, const replay_result& result,
    bool json)
{
    double worst = 0;
    for (int n = 0; n < account_count; ++n)
    {
        worst = std::max(
            worst, result.account_refused[n] / result.account_within_rate[n]);
    }
    std::printf(
        json ? "{\"deployment\":\"%s\",\"variant\":\"%s\",\"admitted\":%.4f,"
               "\"refused_within\":%.4f,\"worst_account\":%.4f,"
               "\"overshoot_tokens\":%.0f,\"bytes_per_vm_second\":%.1f}\n"
             : "%-9s %-22s %8.4f %14.4f %14.4f %10.0f %8.1f\n",
        it.name, variant, result.admitted / result.within_rate,
        result.refused_within_rate / result.within_rate, worst,
        std::max(0.0, result.overshoot), result.bytes / day_seconds / it.vms);
}

void replay_all(const deployment& it, std::uint64_t seed, bool json)
{
    using rate::division_rule;
    const auto load = generate_load(it, seed);
    const auto leases = [&](const char* name, rate::grantor_settings grantor,
                            bool return_credit, bool ask_early) {
        lease_fleet vms(it, grantor, return_credit, ask_early);
        print(it, name, replay(it, load, vms), json);
    };
    fixed_fleet fixed(it);
    print(it, "fixed shares", replay(it, load, fixed), json);
    central_fleet central(it);
    print(it, "central counter", replay(it, load, central), json);
    const auto proportional = division_rule::proportional;
    leases("leases, plain", {proportional, false, false}, false, false);
    leases("+ acknowledgements", {proportional, false, true}, false, false);
    leases("+ kept credit", {proportional, true, true}, true, false);
    leases("+ early requests", {proportional, true, true}, true, true);
    leases("+ need first", {division_rule::need_first, true, true}, true, true);
    leases("leases, default", {}, true, true);
}

// Measures the size of lease messages and the time to process them. Each VM
// handles 4 requests per second; the target is 3.4 per second at 350 VMs.
void measure_cost(int vms, int accounts, bool json)
{
    rate::declared_rates rates;
    rates.version = 1;
    rates.floor_slots = static_cast<std::uint32_t>(vms);
    for (int n = 0; n < vms; ++n)
    {
        rates.vms.insert("vm" + std::to_string(n));
    }
    for (int n = 0; n < accounts; ++n)
    {
        rates.accounts[account_name(n)] = {1000, 20000, 0.5};
    }
    rate::lease_grantor grantor;
    grantor.install(rates, time_at(0));
    grantor.elected(1, time_at(0));
    std::vector<std::unique_ptr<rate::lease_holder>> holders;
    for (int n = 0; n < vms; ++n)
    {
        holders.push_back(
            std::make_unique<rate::lease_holder>(rate::holder_settings{
                "vm" + std::to_string(n), static_cast<std::uint64_t>(n + 1)}));
        holders.back()->install(rates, time_at(0));
    }
    core::seeded_random random(7);
    using wall = std::chrono::steady_clock;
    wall::duration grantor_time{};
    wall::duration holder_time{};
    double bytes = 0;
    double requests = 0;
    const int first = 30; // In seconds; earlier demand has decayed by then.
    const int last = 32;
    for (int second = 0; second < last; ++second)
    {
        for (auto& holder : holders)
        {
            for (int n = 0; n < 4; ++n)
            {
                const auto account =
                    random.below(static_cast<std::uint64_t>(accounts));
                holder->reserve(
                    account_name(static_cast<int>(account)), 500,
                    time_at(second));
            }
            const auto t0 = wall::now();
            const auto request = holder->build_request(time_at(second));
            const auto bytes_out = rate::encode(request);
            const auto t1 = wall::now();
            const auto grant = grantor.handle(
                rate::decode_lease_request(bytes_out).value(), time_at(second));
            const auto bytes_in = grant ? rate::encode(*grant) : std::string();
            const auto t2 = wall::now();
            if (grant)
            {
                holder->apply(
                    rate::decode_lease_grant(bytes_in).value(),
                    time_at(second));
            }
            const auto t3 = wall::now();
            if (second >= first)
            {
                bytes +=
                    static_cast<double>(bytes_out.size() + bytes_in.size());
                requests += 1;
                holder_time += (t1 - t0) + (t3 - t2);
                grantor_time += t2 - t1;
            }
        }
    }
    const double seconds = last - first;
    std::printf(
        json ? "{\"vms\":%d,\"accounts\":%d,\"bytes_per_vm_second\":%.0f,"
               "\"leader_kib_per_second\":%.1f,\"holder_us_per_second\":%.0f,"
               "\"leader_ms_per_second\":%.2f}\n"
             : "%5d %9d %16.0f %16.1f %14.0f %14.2f\n",
        vms, accounts, bytes / requests, bytes / seconds / 1024,
        std::chrono::duration<double, std::micro>(holder_time).count() /
            requests,
        std::chrono::duration<double, std::milli>(grantor_time).count() /
            seconds);
}

} // namespace

int main(int argc, char** argv)
{
    bool json = false;
    bool cost_only = false;
    for (const std::string_view it :
         std::vector<std::string_view>(argv + std::min(argc, 1), argv + argc))
    {
        json = json || it == "--json";
        cost_only = cost_only || it == "--cost";
    }
    if (!json && !cost_only)
    {
        std::printf(
            "%-9s %-22s %8s %14s %14s %10s %8s\n", "replay", "variant",
            "admitted", "refused within", "worst account", "overshoot",
            "B/VM/s");
    }
    for (const deployment& it :
         {deployment{"valea", 9, 9000, 20},
          deployment{"ferreira", 6, 4000, 20}})
    {
        if (cost_only)
        {
            break;
        }
        replay_all(it, 42, json);
    }
    if (!json)
    {
        std::printf(
            "%5s %9s %16s %16s %14s %14s\n", "VMs", "accounts", "B/VM/s",
            "leader KiB/s", "holder us/s", "leader ms/s");
    }
    for (const int vms : {9, 50, 150, 350})
    {
        for (const int accounts : {30, 300, 3000})
        {
            measure_cost(vms, accounts, json);
        }
    }
}
