// Replays the two deployments of section 1.1 in virtual time, from fixed
// seeds, with leases, fixed shares and a central counter, and measures the
// cost of lease traffic. Prints a table and JSON.

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

constexpr double day = 600; // Seconds; a day, compressed.
constexpr double step = 0.02;
constexpr int regions = 3;
constexpr int account_count = 5;

// Of virtual time, in seconds.
constexpr double surge_from = 150, surge_to = 250;
constexpr double cut_from = 320, cut_to = 400; // Of region 1.
constexpr double leader_lost = 480;

struct deployment
{
    const char* name;
    int vms;
    double rate; // Tokens per second of the largest account.
    double burst_seconds;
};

struct offered
{
    double at;
    int vm;
    int account;
    double tokens;
    double used;
};

struct outcome
{
    double admitted = 0;
    double within = 0;
    double refused_within = 0;
    std::vector<double> account_within;
    std::vector<double> account_refused;
    double overshoot = -1e18; // Tokens over burst + rate x window.
    double bytes = 0;
};

std::string name_of(int account)
{
    return "account-" + std::to_string(account);
}

rate::declared_rates rates_of(const deployment& it)
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
        rates.accounts[name_of(n)] = {rate, it.burst_seconds * rate, 0.5};
    }
    return rates;
}

// Demand is 60% of the rate on average, with peaks of the regions 1/3 of a
// day apart; account 0 sends four times as much during the surge. Callers
// prefer the first VM of their region.
std::vector<offered> load_of(const deployment& it, std::uint64_t seed)
{
    core::seeded_random random(seed);
    std::vector<offered> load;
    const auto rates = rates_of(it);
    for (double t = 10; t < day; t += step)
    {
        for (int a = 0; a < account_count; ++a)
        {
            const double rate = rates.accounts.at(name_of(a)).tokens_per_second;
            for (int r = 0; r < regions; ++r)
            {
                const double phase = t / day + static_cast<double>(r) / regions;
                double tokens =
                    0.6 * rate / regions *
                    (1 + 0.8 * std::sin(2 * std::numbers::pi * phase));
                if (a == 0 && t >= surge_from && t < surge_to)
                {
                    tokens *= 4;
                }
                const double mean = rate * 0.25;
                if (random.uniform() >= tokens * step / (mean * 0.625))
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

// Limiters of all VMs and what keeps them up to date.
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

core::time_point at(double seconds)
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
                rates_of(it), 1.0 / it.vms, at(0)));
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
            rates_of(it), 1.0, at(0));
        for (int n = 0; n < it.vms; ++n)
        {
            const bool near = n < it.vms / regions;
            vms_.push_back(std::make_unique<rate::central_counter>(
                counter, near ? 4ms : 40ms));
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
            const bool cut =
                n / per_region == 1 && now >= cut_from && now < cut_to;
            // Its successor counts nothing before it has read the state.
            const bool lost = now >= leader_lost && now < leader_lost + 2;
            vms_[n]->set_reachable(!cut && !lost);
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
            vms_.back()->install(rates_of(it), at(0));
        }
        grantor_.install(rates_of(it), at(0));
        grantor_.elected(1, at(0));
    }

    rate::rate_limiter& limiter(int vm) override
    {
        return *vms_[vm];
    }

    void advance(double now) override
    {
        if (now >= leader_lost && now < leader_lost + step)
        {
            grantor_.step_down();
        }
        if (now >= leader_lost + 1.5 && now < leader_lost + 1.5 + step)
        {
            grantor_.elected(2, at(now));
        }
        const int per_region = static_cast<int>(vms_.size()) / regions;
        for (int n = 0; n < static_cast<int>(vms_.size()); ++n)
        {
            if (at(now) < vms_[n]->next_request_at())
            {
                continue;
            }
            const auto request = vms_[n]->build_request(at(now));
            const bool cut =
                n / per_region == 1 && now >= cut_from && now < cut_to;
            if (cut)
            {
                continue;
            }
            bytes_ += static_cast<double>(rate::encode(request).size());
            const bool near = n < per_region;
            auto grant =
                grantor_.handle(request, at(now + (near ? 0.002 : 0.02)));
            if (grant)
            {
                bytes_ += static_cast<double>(rate::encode(*grant).size());
                due_.push_back(
                    {now + (near ? 0.004 : 0.04), n, std::move(*grant)});
            }
        }
        std::erase_if(due_, [&](const answer& it) {
            return it.due <= now &&
                   (vms_[it.vm]->apply(it.grant, at(now)), true);
        });
    }

    double bytes() const override
    {
        return bytes_;
    }

private:
    struct answer
    {
        double due;
        int vm;
        rate::lease_grant grant;
    };

    rate::lease_grantor grantor_;
    std::vector<std::unique_ptr<rate::lease_holder>> vms_;
    std::vector<answer> due_;
    double bytes_ = 0;
};

// Within the rate is what one bucket with the whole rate would admit, given
// the same load.
outcome
replay(const deployment& it, const std::vector<offered>& load, fleet& vms)
{
    struct open
    {
        double due;
        int vm;
        rate::reservation taken;
        double used;
    };
    outcome result;
    result.account_within.resize(account_count);
    result.account_refused.resize(account_count);
    const auto rates = rates_of(it);
    rate::fixed_share_limiter whole(rates, 1.0, at(0));
    std::vector<open> running;
    std::vector<double> level(account_count);
    std::vector<double> last(account_count);
    auto next = load.begin();
    for (double now = 0; now < day; now += step)
    {
        vms.advance(now);
        std::erase_if(running, [&](const open& done) {
            if (done.due > now)
            {
                return false;
            }
            auto& limiter = done.vm < 0 ? whole : vms.limiter(done.vm);
            limiter.settle(done.taken, done.used, at(now));
            return true;
        });
        for (; next != load.end() && next->at <= now; ++next)
        {
            const offered& one = *next;
            const auto name = name_of(one.account);
            const auto ideal = whole.reserve(name, one.tokens, at(now));
            const auto real =
                vms.limiter(one.vm).reserve(name, one.tokens, at(now));
            const double run = 1 + one.used / it.rate;
            if (ideal.granted)
            {
                running.push_back({now + run, -1, ideal.taken, one.used});
                result.within += 1;
                result.account_within[one.account] += 1;
                result.refused_within += real.granted ? 0 : 1;
                result.account_refused[one.account] += real.granted ? 0 : 1;
            }
            if (!real.granted)
            {
                continue;
            }
            running.push_back({now + run, one.vm, real.taken, one.used});
            result.admitted += 1;
            const auto& declared = rates.accounts.at(name);
            level[one.account] =
                std::max(
                    0.0, level[one.account] - declared.tokens_per_second *
                                                  (now - last[one.account])) +
                one.used;
            last[one.account] = now;
            result.overshoot = std::max(
                result.overshoot, level[one.account] - declared.burst_tokens);
        }
    }
    result.bytes = vms.bytes();
    return result;
}

void print(
    const deployment& it, const char* variant, const outcome& o, bool json)
{
    double worst = 0;
    for (int n = 0; n < account_count; ++n)
    {
        worst = std::max(worst, o.account_refused[n] / o.account_within[n]);
    }
    std::printf(
        json ? "{\"deployment\":\"%s\",\"variant\":\"%s\",\"admitted\":%.4f,"
               "\"refused_within\":%.4f,\"worst_account\":%.4f,"
               "\"overshoot_tokens\":%.0f,\"bytes_per_vm_second\":%.1f}\n"
             : "%-9s %-22s %8.4f %14.4f %14.4f %10.0f %8.1f\n",
        it.name, variant, o.admitted / o.within, o.refused_within / o.within,
        worst, std::max(0.0, o.overshoot), o.bytes / day / it.vms);
}

void replay_all(const deployment& it, std::uint64_t seed, bool json)
{
    using rate::division_rule;
    const auto load = load_of(it, seed);
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

// Accounts with requests at one VM within the time that demand is
// remembered: 3.4 requests/s for each of 350 VMs at the target.
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
        rates.accounts[name_of(n)] = {1000, 20000, 0.5};
    }
    rate::lease_grantor grantor;
    grantor.install(rates, at(0));
    grantor.elected(1, at(0));
    std::vector<std::unique_ptr<rate::lease_holder>> holders;
    for (int n = 0; n < vms; ++n)
    {
        holders.push_back(
            std::make_unique<rate::lease_holder>(rate::holder_settings{
                "vm" + std::to_string(n), static_cast<std::uint64_t>(n + 1)}));
        holders.back()->install(rates, at(0));
    }
    core::seeded_random random(7);
    using wall = std::chrono::steady_clock;
    wall::duration grantor_time{};
    wall::duration holder_time{};
    double bytes = 0;
    double requests = 0;
    const int first = 30; // Demand of earlier requests has faded by then.
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
                    name_of(static_cast<int>(account)), 500, at(second));
            }
            const auto t0 = wall::now();
            const auto request = holder->build_request(at(second));
            const auto bytes_out = rate::encode(request);
            const auto t1 = wall::now();
            const auto grant = grantor.handle(
                rate::decode_lease_request(bytes_out).value(), at(second));
            const auto bytes_in = grant ? rate::encode(*grant) : std::string();
            const auto t2 = wall::now();
            if (grant)
            {
                holder->apply(
                    rate::decode_lease_grant(bytes_in).value(), at(second));
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
