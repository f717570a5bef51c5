// Compares the routers on the two deployments in virtual time. Prints a table
// and then JSON. Usage: bench_routing [seeds]

#include "bench_model.hpp"

#include <LibRouting/expected_time_router.hpp>
#include <LibRouting/least_in_flight_router.hpp>
#include <LibRouting/round_robin_router.hpp>

#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <queue>

using namespace hyssoploft;
using namespace hyssoploft::bench;

namespace {

// Engine i is in region i % regions. Region 0 loses its engines and gets them
// back with empty caches. Engine 1 is 4 times slower for a while. Engine 2
// always reports that it has no calls.
constexpr double warm_up = 60, lost_at = 200, back_at = 300;
constexpr double slow_from = 100, slow_until = 400;
constexpr double lease_seconds = 6, far_seconds = 0.02; // One way.
constexpr double patience = 20; // Longest time that a call is retried.

constexpr const char* measures[] = {
    "interactive_first_p50_s",
    "interactive_first_p95_s",
    "interactive_first_p99_s",
    "batch_first_p95_s",
    "token_gap_p95_s",
    "worst_account_first_p95_s",
    "remote_share",
    "prefill_Mtokens",
    "link_MB",
    "not_completed_share"};
using figures = std::vector<double>; // In the order of `measures`.

double quantile(std::vector<double> values, double q)
{
    const auto n =
        static_cast<std::size_t>(q * (static_cast<double>(values.size()) - 1));
    std::nth_element(values.begin(), values.begin() + n, values.end());
    return values.at(n);
}

core::time_point at(double seconds)
{
    return core::time_point(std::chrono::hours(1)) +
           core::from_seconds(seconds);
}

template <typename Router, typename... Settings>
std::unique_ptr<routing::router> make(core::random_source& random)
{
    return std::make_unique<Router>(Settings()..., random);
}

template <typename Router>
std::unique_ptr<routing::router> make_baseline(core::random_source&)
{
    return std::make_unique<Router>();
}

using make_router = std::unique_ptr<routing::router> (*)(core::random_source&);

/// One run of one router on one deployment.
class simulation
{
public:
    simulation(
        const deployment& d, const std::vector<arrival>& arrivals,
        std::uint64_t seed, const make_router& make)
        : d_(d), arrivals_(arrivals), random_(seed), engines_(d.engines),
          reported_(d.engines), cache_sequence_(d.engines)
    {
        for (int i = 0; i < d.vms; ++i)
        {
            membership::vm_record it;
            it.id = core::concat("vm", i);
            it.region = core::concat("r", i % regions);
            fleet_.vms[it.id] = it;
            // Routers draw from their own numbers, so that every kind of
            // router sees the same lags.
            vm_random_.push_back(
                std::make_unique<core::seeded_random>(seed * 1000 + i));
            routers_.push_back(make(*vm_random_.back()));
        }
        for (int i = 0; i < d.engines; ++i)
        {
            membership::upstream_record it;
            it.id = core::concat("engine", i);
            it.role = "engine";
            it.models = {"quote"};
            it.region = core::concat("r", i % regions);
            it.capacity = engine_capacity;
            numbers_[it.id] = i;
            fleet_.upstreams[it.id] = it;
        }
        for (int link = 0; link < regions * regions; ++link)
        {
            configuration_->declared_fleet.links.push_back(
                {core::concat("r", link / regions),
                 core::concat("r", link % regions), d.link_bytes_per_second});
        }
    }

    figures run()
    {
        for (const arrival& it : arrivals_)
        {
            when(it.time, [this, &it] {
                submit(it, {});
            });
        }
        for (std::size_t i = 0; i < engines_.size(); ++i)
        {
            when(
                random_.uniform(),
                std::bind_front(&simulation::report, this, i));
        }
        when(0, std::bind_front(&simulation::refresh, this));
        when(lost_at, std::bind_front(&simulation::lose_region, this));

        when(back_at, std::bind_front(&simulation::return_region, this));
        while (events_.top().time < day_seconds + patience)
        {
            const event it = events_.top();
            events_.pop();
            now_ = it.time;
            it.run();
        }
        return summary();
    }

private:
    struct event
    {
        double time;
        std::uint64_t order;
        std::function<void()> run;

        bool operator<(const event& other) const
        {
            return std::tie(time, order) > std::tie(other.time, other.order);
        }
    };

    void when(double time, std::function<void()> run)
    {
        events_.push({time, order_++, std::move(run)});
    }

    void report(std::size_t i)
    {
        engine& e = engines_[i];
        const std::uint32_t calls = i == 2 ? 0 : e.calls();
        const double lag = 0.5 + 1.5 * random_.uniform();
        when(now_ + lag, [this, i, calls, lag] {
            membership::load_report& it = reported_[i];
            const std::uint32_t running = std::min(calls, engine_capacity);
            it = {it.sequence + 1,        running, calls - running, 0, at(now_),
                  core::from_seconds(lag)};
        });
        const auto stored = std::exchange(e.stored, {});
        const auto evicted = std::exchange(e.evicted, {});
        const std::uint64_t sequence = ++cache_sequence_[i];
        // One cache event in six is lost; the others are late.
        if (random_.below(6) != 0)
        {
            when(now_ + 0.5 + 3 * random_.uniform(), [=, this] {
                for (auto& r : routers_)
                {
                    r->cache_event(
                        core::concat("engine", i), sequence, stored, evicted,
                        at(now_));
                }
            });
        }
        when(now_ + 0.5, std::bind_front(&simulation::report, this, i));
    }

    /// Publishes a new view to every VM: full reports of its own region, one
    /// mean for each other region.
    void refresh()
    {
        std::array<double, regions> sum{};
        for (std::size_t i = 0; i < engines_.size(); ++i)
        {
            sum[i % regions] += reported_[i].running + reported_[i].queued;
        }
        for (std::size_t vm = 0; vm < routers_.size(); ++vm)
        {
            auto view = std::make_shared<membership::fleet_view>(fleet_);
            view->self = core::concat("vm", vm);
            for (auto& [id, it] : view->upstreams)
            {
                const std::size_t i = numbers_[id];
                it.load = reported_[i];
                if (i % regions != vm % regions)
                {
                    it.load.running = static_cast<std::uint32_t>(
                        sum[i % regions] * regions / d_.engines);
                    it.load.queued = 0;
                }
            }
            std::erase_if(view->upstreams, [&](const auto& it) {
                return now_ >= lost_at + lease_seconds && now_ < back_at &&
                       it.second.region == "r0";
            });
            routers_[vm]->update(view, configuration_, at(now_));
        }
        when(now_ + 0.5, std::bind_front(&simulation::refresh, this));
    }

    void submit(const arrival& it, std::set<std::string> tried)
    {
        if (now_ - it.time > patience)
        {
            return;
        }
        const std::size_t vm = it.vm * regions + it.region;
        routing::routing_request request = it.request;
        request.excluded = tried;
        const auto got = routers_[vm]->choose(request, at(now_));
        if (!got.chosen)
        {
            // Admission would hold the call; here it asks again.
            when(now_ + 0.25, [=, this, &it] {
                submit(it, {});
            });
            return;
        }
        const std::size_t i = numbers_[got.decision.upstream];
        const int region = static_cast<int>(i % regions);
        const bool remote = region != it.region;
        const auto c = std::make_shared<call>(
            call{&it, i, vm, now_, remote, std::move(tried)});
        double arrives = now_ + 0.001;
        if (remote)
        {
            c->bytes = it.request.prompt_tokens * 5.0;
            double& busy = link_busy_[{it.region, region}];
            busy = std::max(busy, now_) + c->bytes / d_.link_bytes_per_second;
            arrives = busy + far_seconds;
        }
        ++chosen_;
        remote_ += remote ? 1 : 0;
        when(arrives, [this, c] {
            arrive(c);
        });
    }

    void arrive(const call_ptr& it)
    {
        engine& e = engines_[it->engine];
        const bool lost =
            now_ >= lost_at && now_ < back_at && it->engine % regions == 0;
        if (lost || e.queue.size() >= 3 * engine_capacity)
        {
            end(*it, lost ? routing::call_outcome::failed
                          : routing::call_outcome::rejected_full);
            return;
        }
        e.add(it);
        step(it->engine);
    }

    void step(std::size_t i)
    {
        engine& e = engines_[i];
        if (e.stepping || e.calls() == 0)
        {
            return;
        }
        e.stepping = true;
        const bool slow = i == 1 && now_ >= slow_from && now_ < slow_until;
        when(now_ + e.begin_step(slow ? 4 : 1), [this, i, &e] {
            e.stepping = false;
            const auto done = e.end_step(now_, [this](call& it) {
                on_token(it);
            });
            for (const call_ptr& it : done)
            {
                end(*it, routing::call_outcome::completed);
            }
            step(i);
        });
    }

    void on_token(call& it)
    {
        it.bytes += it.remote ? 180 : 0;
        if (it.last_token > 0)
        {
            gaps_.push_back(now_ - it.last_token);
            return;
        }
        const arrival& source = *it.source;
        it.first = now_ + (it.remote ? far_seconds : 0.001);
        routers_[it.vm]->first_token(
            core::concat("engine", it.engine), source.request,
            core::from_seconds(it.first - it.chosen), at(now_));
        if (source.time > warm_up)
        {
            const double waited = it.first - source.time;
            (source.batch ? batch_ : interactive_).push_back(waited);
            by_account_[source.account].push_back(waited);
        }
    }

    void end(const call& it, routing::call_outcome outcome)
    {
        const double first = it.first > 0 ? it.first - it.chosen : 0;
        const std::string name = core::concat("engine", it.engine);
        routers_[it.vm]->finished(
            name, it.source->request,
            {outcome, core::from_seconds(first),
             core::from_seconds(now_ - it.chosen), it.source->answer,
             static_cast<std::uint64_t>(it.bytes)},
            at(now_));
        link_bytes_ += it.bytes;
        if (outcome == routing::call_outcome::completed)
        {
            ++completed_;
            return;
        }
        const arrival& source = *it.source;
        auto tried = it.tried;
        tried.insert(name);
        when(now_ + 0.025 * (1 + random_.uniform()), [=, this, &source] {
            submit(source, tried);
        });
    }

    void lose_region()
    {
        for (std::size_t i = 0; i < engines_.size(); i += regions)
        {
            engine lost;
            std::swap(lost, engines_[i]);
            engines_[i].stepping = lost.stepping;
            engines_[i].prefilled = lost.prefilled;
            lost.running.insert(
                lost.running.end(), lost.queue.begin(), lost.queue.end());
            for (const call_ptr& it : lost.running)
            {
                end(*it, routing::call_outcome::failed);
            }
        }
    }

    void return_region()
    {
        for (auto& [id, it] : fleet_.upstreams)
        {
            it.incarnation += it.region == "r0" ? 1 : 0;
        }
    }

    figures summary() const
    {
        double prefilled = 0;
        for (const engine& it : engines_)
        {
            prefilled += static_cast<double>(it.prefilled);
        }
        double worst = 0;
        for (const auto& it : by_account_)
        {
            worst = std::max(worst, quantile(it, 0.95));
        }
        return {
            quantile(interactive_, 0.5),
            quantile(interactive_, 0.95),
            quantile(interactive_, 0.99),
            quantile(batch_, 0.95),
            quantile(gaps_, 0.95),
            worst,
            remote_ / chosen_,
            prefilled / 1e6,
            link_bytes_ / 1e6,
            1 - completed_ / static_cast<double>(arrivals_.size())};
    }

    const deployment& d_;
    const std::vector<arrival>& arrivals_;
    core::seeded_random random_;
    std::vector<engine> engines_;
    std::vector<membership::load_report> reported_; // As the VMs know them.
    std::vector<std::uint64_t> cache_sequence_;
    membership::fleet_view fleet_;
    std::shared_ptr<resource::configuration> configuration_ =
        std::make_shared<resource::configuration>();
    std::map<std::string, std::size_t> numbers_;
    std::vector<std::unique_ptr<core::seeded_random>> vm_random_;
    std::vector<std::unique_ptr<routing::router>> routers_;
    std::priority_queue<event> events_;
    std::uint64_t order_ = 0;
    double now_ = 0;
    std::map<std::pair<int, int>, double> link_busy_;
    std::vector<double> interactive_, batch_, gaps_;
    std::array<std::vector<double>, 5> by_account_;
    double link_bytes_ = 0, chosen_ = 0, remote_ = 0, completed_ = 0;
};

} // namespace

int main(int argc, char** argv)
{
    const unsigned seeds = argc > 1 ? std::max(1, std::atoi(argv[1])) : 5;
    std::string json;
    const deployment deployments[] = {
        {"valea", 12, 9, 2e9 / 8, 9.0, {0.55, 0.40, 0.05}},
        {"ferreira", 9, 6, 110e6 / 8, 3.0, {0.50, 0.20, 0.30}}};
    const std::pair<const char*, make_router> routers[] = {
        {"round_robin", make_baseline<routing::round_robin_router>},
        {"least_in_flight", make_baseline<routing::least_in_flight_router>},
        {"expected_time",
         make<routing::expected_time_router, routing::expected_time_settings>}};
    for (const deployment& d : deployments)
    {
        std::printf(
            "\n%s, %u seeds: mean +- half the range of round robin, least in "
            "flight, expected time\n",
            d.name, seeds);
        std::vector<figures> runs[std::size(routers)];
        for (std::uint64_t n = 1; n <= seeds; ++n)
        {
            const auto arrivals = draw_arrivals(d, n);
            for (std::size_t r = 0; r < std::size(routers); ++r)
            {
                runs[r].push_back(
                    simulation(d, arrivals, n, routers[r].second).run());
            }
        }
        for (std::size_t m = 0; m < std::size(measures); ++m)
        {
            json += core::concat(
                R"({"deployment":")", d.name, R"(","measure":")", measures[m]);
            std::printf("%-26s", measures[m]);
            for (std::size_t r = 0; r < std::size(routers); ++r)
            {
                double sum = 0, least = INFINITY, most = -INFINITY;
                for (const figures& it : runs[r])
                {
                    sum += it[m] / seeds;
                    least = std::min(least, it[m]);
                    most = std::max(most, it[m]);
                }
                const double half = (most - least) / 2;
                std::printf("%11.4f +- %5.3f", sum, half);
                json += core::concat(
                    r == 0 ? R"(",")" : R"(,")", routers[r].first, R"(":[)",
                    sum, ",", half, "]");
            }
            json += "}\n";
            std::printf("\n");
        }
    }
    std::printf("\n%s", json.c_str());
}
