#ifndef HYSSOPLOFT_TESTS_LIBROUTING_BENCH_MODEL_HPP
#define HYSSOPLOFT_TESTS_LIBROUTING_BENCH_MODEL_HPP

// Seeded arrivals of the two deployments of section 1.1, and a model engine
// in virtual time: batching in steps, chunked prefill, limited prefix cache.

#include <LibCore/random_source.hpp>
#include <LibCore/text.hpp>
#include <LibRouting/router.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <list>
#include <memory>
#include <numbers>
#include <set>
#include <unordered_map>
#include <vector>

namespace hyssoploft::bench {

inline constexpr int regions = 3;
inline constexpr double day_seconds = 600; // A day's cycle, compressed.
inline constexpr std::uint32_t engine_capacity = 16;
inline constexpr std::size_t cache_blocks = 1500;

struct call_kind
{
    std::uint32_t prompt_min, prompt_max, template_tokens;
    std::uint32_t answer_min, answer_max;
};

// Short labels, long quotes, long reviews (batch).
inline constexpr call_kind kinds[] = {
    {150, 300, 128, 10, 30},
    {1500, 3000, 1024, 150, 300},
    {6000, 12000, 2048, 400, 800}};

struct deployment
{
    const char* name;
    int engines, vms;
    double link_bytes_per_second, calls_per_second; // Mean of one region.
    std::vector<double> kind_shares;
};

struct arrival
{
    double time = 0;
    int region = 0, vm = 0; // The VM's number among those of the region.
    std::size_t account = 0;
    std::uint32_t answer = 0;
    bool batch = false;
    routing::routing_request request;
};

inline std::size_t
pick(const std::vector<double>& shares, core::random_source& random)
{
    double it = random.uniform();
    std::size_t n = 0;
    while (n + 1 < shares.size() && it >= shares[n])
    {
        it -= shares[n++];
    }
    return n;
}

inline void draw_call(
    arrival& it, std::size_t kind, std::uint64_t serial,
    core::random_source& random)
{
    const auto draw = [&](std::uint32_t least, std::uint32_t most) {
        return least + static_cast<std::uint32_t>(random.below(most - least));
    };
    const call_kind& k = kinds[kind];
    it.answer = draw(k.answer_min, k.answer_max);
    routing::routing_request& r = it.request;
    r.prompt_tokens = draw(k.prompt_min, k.prompt_max);
    r.answer_limit = k.answer_max;
    it.batch = kind == 2;
    r.priority = static_cast<resource::priority_class>(it.batch);
    // Six templates for each account and kind; the first is the most used.
    const double skew = random.uniform();
    const auto which = static_cast<std::uint64_t>(6 * skew * skew);
    const std::uint64_t shared = ((it.account * 3 + kind) * 6 + which + 1)
                                 << 40;
    const std::uint64_t own = (serial + 1) << 20 | std::uint64_t{1} << 62;
    const std::uint32_t block = routing::prefix_block_tokens;
    for (std::uint32_t n = 0; (n + 1) * block <= r.prompt_tokens; ++n)
    {
        const bool in_template = (n + 1) * block <= k.template_tokens;
        r.prefix_hashes.push_back((in_template ? shared : own) + n);
    }
}

inline std::vector<arrival>
draw_arrivals(const deployment& d, std::uint64_t seed)
{
    core::seeded_random random(seed);
    std::vector<arrival> all;
    for (int region = 0; region < regions; ++region)
    {
        // Thinning: candidates at the peak rate, kept by the current rate.
        constexpr double swing = 0.8;
        const double peak = d.calls_per_second * (1 + swing);
        double t = 0;
        while ((t += -std::log(1 - random.uniform()) / peak) < day_seconds)
        {
            const double phase = t / day_seconds + region / (regions + 0.0);
            const double rate =
                1 + swing * std::sin(2 * std::numbers::pi * phase);
            if (random.uniform() * (1 + swing) >= rate)
            {
                continue;
            }
            arrival it;
            it.time = t;
            it.region = region;
            it.vm = static_cast<int>(random.below(d.vms / regions));
            // Two large accounts and three small ones.
            it.account = pick({0.4, 0.3, 0.12, 0.1, 0.08}, random);
            it.request.model = "quote";
            it.request.role = "engine";
            it.request.remote_price_seconds = 0.25;
            if (random.uniform() < 0.39) // Bound to a region: section 1.7.
            {
                it.request.allowed_regions = {core::concat("r", region)};
            }
            draw_call(it, pick(d.kind_shares, random), all.size(), random);
            all.push_back(std::move(it));
        }
    }
    std::sort(all.begin(), all.end(), [](const auto& a, const auto& b) {
        return a.time < b.time;
    });
    return all;
}

/// A call that a router has sent to an engine.
struct call
{
    const arrival* source;
    std::size_t engine, vm;
    double chosen;
    bool remote;
    std::set<std::string> tried;
    double first = 0, last_token = 0, bytes = 0; // Times; 0: none yet.
    std::uint32_t prefill_left = 0, generated = 0;
};
using call_ptr = std::shared_ptr<call>;

class engine
{
public:
    bool stepping = false;
    std::uint64_t prefilled = 0;                // Prompt tokens computed.
    std::vector<std::uint64_t> stored, evicted; // Since the last cache event.
    std::deque<call_ptr> queue;
    std::vector<call_ptr> running;

    std::uint32_t calls() const
    {
        return static_cast<std::uint32_t>(queue.size() + running.size());
    }

    void add(const call_ptr& it)
    {
        const auto is_batch = [](const auto& c) {
            return c->source->batch;
        };
        const auto first = std::find_if(queue.begin(), queue.end(), is_batch);
        queue.insert(it->source->batch ? queue.end() : first, it);
    }

    /// Starts a step; returns its length in seconds, times `slowness`.
    double begin_step(double slowness)
    {
        while (running.size() < engine_capacity && !queue.empty())
        {
            const call_ptr it = queue.front();
            queue.pop_front();
            const routing::routing_request& r = it->source->request;
            const auto miss = std::find_if_not(
                r.prefix_hashes.begin(), r.prefix_hashes.end(),
                [this](std::uint64_t hash) {
                    return touch(hash);
                });
            const auto hits =
                static_cast<std::uint32_t>(miss - r.prefix_hashes.begin());
            it->prefill_left = std::max(
                1U, r.prompt_tokens - hits * routing::prefix_block_tokens);
            running.push_back(it);
        }
        // Milliseconds: fixed, for each sequence that decodes, for each
        // prompt token.
        double ms = 8;
        chunk_ = 0;
        for (const call_ptr& it : running)
        {
            ms += it->prefill_left == 0 ? 0.4 : 0;
            chunk_ = std::min(chunk_ + it->prefill_left, 512U);
        }
        return (ms + 0.12 * chunk_) * slowness / 1000;
    }

    /// Ends the step at `now`; `on_token` sees every call that got a token.
    /// Returns the calls that are complete.
    template <typename OnToken>
    std::vector<call_ptr> end_step(double now, OnToken on_token)
    {
        prefilled += chunk_;
        std::vector<call_ptr> done;
        for (const call_ptr& it : running)
        {
            const std::uint32_t n = std::min(chunk_, it->prefill_left);
            chunk_ -= n;
            it->prefill_left -= n;
            if (it->prefill_left > 0)
            {
                continue;
            }
            if (it->generated++ == 0)
            {
                store(it->source->request.prefix_hashes);
            }
            on_token(*it);
            it->last_token = now;
            if (it->generated >= it->source->answer)
            {
                done.push_back(it);
            }
        }
        std::erase_if(running, [](const call_ptr& it) {
            return it->generated >= it->source->answer;
        });
        return done;
    }

private:
    bool touch(std::uint64_t hash)
    {
        const auto it = cache_.find(hash);
        if (it != cache_.end())
        {
            order_.splice(order_.end(), order_, it->second);
        }
        return it != cache_.end();
    }

    void store(const std::vector<std::uint64_t>& hashes)
    {
        for (const std::uint64_t hash : hashes)
        {
            if (touch(hash))
            {
                continue;
            }
            cache_[hash] = order_.insert(order_.end(), hash);
            stored.push_back(hash);
            if (order_.size() > cache_blocks)
            {
                evicted.push_back(order_.front());
                cache_.erase(order_.front());
                order_.pop_front();
            }
        }
    }

    std::uint32_t chunk_ = 0;        // Prompt tokens of the running step.
    std::list<std::uint64_t> order_; // Least recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
        cache_;
};

} // namespace hyssoploft::bench

#endif
