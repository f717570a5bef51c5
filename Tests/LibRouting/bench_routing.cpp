// Compares the routers on two simulated deployments. Prints a table and then
// JSON. Usage: bench_routing [seeds]

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
// back with empty caches. Engine 1 is 4 times slower for some time. Engine 2
// always reports no calls. All times are in seconds.
constexpr double warm_up = 60, removed_at = 200, restored_at = 300;
constexpr double slowdown_start = 100, slowdown_end = 400;
constexpr double lease_seconds = 6, region_delay_seconds = 0.02; // One way.
constexpr double max_retry_seconds = 20; // A call is retried for this long.

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
using measurements = std::vector<double>; // In the order of `measures`.

double quantile(std::vector<double> values, double q)
{
    const auto n =
        static_cast<std::size_t>(q * (static_cast<double>(values.size()) - 1));
    std::nth_element(values.begin(), values.begin() + n, values.end());
    return values.at(n);
}

core::time_point time_at(double seconds)
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
          reports_(d.engines), cache_sequence_(d.engines)
    {
        for (int i = 0; i < d.vms; ++i)
        {
            membership::vm_record it;
            it.id = core::concat("vm", i);
            it.region = core::concat("r", i % regions);
            fleet_.vms[it.id] = it;
            // Routers have their own random sources, so that every kind of
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
            engine_numbers_[it.id] = i;
            fleet_.upstreams[it.id] = it;
        }
        for (int link = 0; link < regions * regions; ++link)
        {
            configuration_->declared_fleet.links.push_back(
                {core::concat("r", link / regions),
                 core::concat("r", link % regions), d.link_bytes_per_second});
        }
    }

    measurements run()
    {
        for (const arrival& it : arrivals_)
        {
            schedule(it.time, [this, &it] {
                submit(it, {});
            });
        }
        for (std::size_t i = 0; i < engines_.size(); ++i)
        {
            schedule(
                random_.uniform(),
                std::bind_front(&simulation::report, this, i));
        }
        schedule(0, std::bind_front(&simulation::refresh, this));
        schedule(removed_at, std::bind_front(&simulation::remove_region, this));

        schedule(
            restored_at, std::bind_front(&simulation::restore_region, this));
        while (events_.top().time < day_seconds + max_retry_seconds)
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

    void schedule(double time, std::function<void()> run)
    {
        events_.push({time, next_order_++, std::move(run)});
    }

    void report(std::size_t i)
    {
        engine& e = engines_[i];
        const std::uint32_t calls = i == 2 ? 0 : e.calls();
        const double lag = 0.5 + 1.5 * random_.uniform();
        schedule(now_ + lag, [this, i, calls, lag] {
            membership::load_report& it = reports_[i];
            const std::uint32_t running = std::min(calls, engine_capacity);
            it = {it.sequence + 1, running,
                  calls - running, 0,
                  time_at(now_),   core::from_seconds(lag)};
        });
        const auto stored = std::exchange(e.stored, {});
        const auto evicted = std::exchange(e.evicted, {});
        const std::uint64_t sequence = ++cache_sequence_[i];
        // One cache event in six is lost; the others are delayed.
        if (random_.below(6) != 0)
        {
            schedule(now_ + 0.5 + 3 * random_.uniform(), [=, this] {
                for (auto& r : routers_)
                {
                    r->apply_cache_event(
                        core::concat("engine", i), sequence, stored, evicted,
                        time_at(now_));
                }
            });
        }
        schedule(now_ + 0.5, std::bind_front(&simulation::report, this, i));
    }

    /// Publishes a new view to every VM: full reports of its own region and the
    /// mean of each other region.
    void refresh()
    {
        std::array<double, regions> sum{};
        for (std::size_t i = 0; i < engines_.size(); ++i)
        {
            sum[i % regions] += reports_[i].running + reports_[i].queued;
        }
        for (std::size_t vm = 0; vm < routers_.size(); ++vm)
        {
            auto view = std::make_shared<membership::fleet_view>(fleet_);
            view->self = core::concat("vm", vm);
            for (auto& [id, it] : view->upstreams)
            {
                const std::size_t i = engine_numbers_[id];
                it.load = reports_[i];
                if (i % regions != vm % regions)
                {
                    it.load.running = static_cast<std::uint32_t>(
                        sum[i % regions] * regions / d_.engines);
                    it.load.queued = 0;
                }
            }
            std::erase_if(view->upstreams, [&](const auto& it) {
                return now_ >= removed_at + lease_seconds &&
                       now_ < restored_at && it.second.region == "r0";
            });
            routers_[vm]->update(view, configuration_, time_at(now_));
        }
        schedule(now_ + 0.5, std::bind_front(&simulation::refresh, this));
    }

    void submit(const arrival& it, std::set<std::string> tried)
    {
        if (now_ - it.time > max_retry_seconds)
        {
            return;
        }
        const std::size_t vm = it.vm * regions + it.region;
        routing::routing_request request = it.request;
        request.excluded = tried;
        const auto got = routers_[vm]->choose(request, time_at(now_));
        if (!got.chosen)
        {
            // In place of an admission queue, the call is retried.
            schedule(now_ + 0.25, [=, this, &it] {
                submit(it, {});
            });
            return;
        }
        const std::size_t i = engine_numbers_[got.decision.upstream];
        const int region = static_cast<int>(i % regions);
        const bool remote = region != it.region;
        const auto c = std::make_shared<call>(
            call{&it, i, vm, now_, remote, std::move(tried)});
        double arrives = now_ + 0.001;
        if (remote)
        {
            c->bytes = it.request.prompt_tokens * 5.0;
            double& busy = link_busy_until_[{it.region, region}];
            busy = std::max(busy, now_) + c->bytes / d_.link_bytes_per_second;
            arrives = busy + region_delay_seconds;
        }
        ++chosen_calls_;
        remote_calls_ += remote ? 1 : 0;
        schedule(arrives, [this, c] {
            arrive(c);
        });
    }

    void arrive(const call_ptr& it)
    {
        engine& e = engines_[it->engine];
        const bool lost = now_ >= removed_at && now_ < restored_at &&
                          it->engine % regions == 0;
        if (lost || e.queue.size() >= 3 * engine_capacity)
        {
            end(*it, lost ? routing::call_outcome::failed
                          : routing::call_outcome::rejected_for_load);
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
        const bool slow =
            i == 1 && now_ >= slowdown_start && now_ < slowdown_end;
        schedule(now_ + e.begin_step(slow ? 4 : 1), [this, i, &e] {
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
            token_gaps_.push_back(now_ - it.last_token);
            return;
        }
        const arrival& source = *it.source;
        it.first = now_ + (it.remote ? region_delay_seconds : 0.001);
        routers_[it.vm]->record_first_token(
            core::concat("engine", it.engine), source.request,
            core::from_seconds(it.first - it.chosen), time_at(now_));
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
        routers_[it.vm]->record_result(
            name, it.source->request,
            {outcome, core::from_seconds(first),
             core::from_seconds(now_ - it.chosen), it.source->answer,
             static_cast<std::uint64_t>(it.bytes)},
            time_at(now_));
        link_bytes_ += it.bytes;
        if (outcome == routing::call_outcome::completed)
        {
            ++completed_calls_;
            return;
        }
        const arrival& source = *it.source;
        auto tried = it.tried;
        tried.insert(name);
        schedule(now_ + 0.025 * (1 + random_.uniform()), [=, this, &source] {
            submit(source, tried);
        });
    }

    void remove_region()
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

    void restore_region()
    {
        for (auto& [id, it] : fleet_.upstreams)
        {
            it.incarnation += it.region == "r0" ? 1 : 0;
        }
    }

    measurements summary() const
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
            quantile(token_gaps_, 0.95),
            worst,
            remote_calls_ / chosen_calls_,
            prefilled / 1e6,
            link_bytes_ / 1e6,
            1 - completed_calls_ / static_cast<double>(arrivals_.size())};
    }

    const deployment& d_;
    const std::vector<arrival>& arrivals_;
    core::seeded_random random_;
    std::vector<engine> engines_;
    std::vector<membership::load_report> reports_; // Received by the VMs.
    std::vector<std::uint64_t> cache_sequence_;
    membership::fleet_view fleet_;
    std::shared_ptr<resource::configuration> configuration_ =
        std::make_shared<resource::configuration>();
    std::map<std::string, std::size_t> engine_numbers_;
    std::vector<std::unique_ptr<core::seeded_random>> vm_random_;
    std::vector<std::unique_ptr<routing::router>> routers_;
    std::priority_queue<event> events_;
    std::uint64_t next_order_ = 0;
    double now_ = 0;
    std::map<std::pair<int, int>, double> link_busy_until_;
    std::vector<double> interactive_, batch_, token_gaps_;
    std::array<std::vector<double>, 5> by_account_;
    double link_bytes_ = 0, chosen_calls_ = 0, remote_calls_ = 0,
           completed_calls_ = 0;
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
        std::vector<measurements> runs[std::size(routers)];
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
                double sum = 0, min_value = INFINITY, max_value = -INFINITY;
                for (const measurements& it : runs[r])
                {
                    sum += it[m] / seeds;
                    min_value = std::min(min_value, it[m]);
                    max_value = std::max(max_value, it[m]);
                }
                const double half_range = (max_value - min_value) / 2;
                std::printf("%11.4f +- %5.3f", sum, half_range);
                json += core::concat(
                    r == 0 ? R"(",")" : R"(,")", routers[r].first, R"(":[)",
                    sum, ",", half_range, "]");
            }
            json += "}\n";
            std::printf("\n");
        }
    }
    std::printf("\n%s", json.c_str());
}
