#ifndef HYSSOPLOFT_TESTS_LIBROUTING_BENCH_MODEL_HPP
#define HYSSOPLOFT_TESTS_LIBROUTING_BENCH_MODEL_HPP

// Seeded call arrivals, and a simulated engine in virtual time with continuous
// batching, chunked prefill and a bounded prefix cache.

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
inline constexpr double day_seconds = 600; // One load cycle, shortened.
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
    int region = 0, vm = 0; // `vm` is an index within the region.
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
    const auto draw = [&](std::uint32_t min_value, std::uint32_t max_value) {
        return min_value +
               static_cast<std::uint32_t>(random.below(max_value - min_value));
    };
    const call_kind& shape = kinds[kind];
    it.answer = draw(shape.answer_min, shape.answer_max);
    routing::routing_request& r = it.request;
    r.prompt_tokens = draw(shape.prompt_min, shape.prompt_max);
    r.answer_limit = shape.answer_max;
    it.batch = kind == 2;
    r.priority = static_cast<resource::priority_class>(it.batch);
    // Six templates for each account and kind; the first is the most used.
    const double uniform_draw = random.uniform();
    const auto template_index =
        static_cast<std::uint64_t>(6 * uniform_draw * uniform_draw);
    const std::uint64_t shared =
        ((it.account * 3 + kind) * 6 + template_index + 1) << 40;
    const std::uint64_t own = (serial + 1) << 20 | std::uint64_t{1} << 62;
    const std::uint32_t block = routing::prefix_block_tokens;
    for (std::uint32_t n = 0; (n + 1) * block <= r.prompt_tokens; ++n)
    {
        const bool in_template = (n + 1) * block <= shape.template_tokens;
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
        // Thinning: draws arrivals at the peak rate and keeps a share of them
        // according to the current rate.
        constexpr double amplitude = 0.8;
        const double peak = d.calls_per_second * (1 + amplitude);
        double t = 0;
        while ((t += -std::log(1 - random.uniform()) / peak) < day_seconds)
        {
            const double phase = t / day_seconds + region / (regions + 0.0);
            const double rate =
                1 + amplitude * std::sin(2 * std::numbers::pi * phase);
            if (random.uniform() * (1 + amplitude) >= rate)
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
            if (random.uniform() < 0.39) // Bound to its region.
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

/// A call that a router sent to an engine.
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

    /// Starts a step; returns its duration in seconds, scaled by `slowness`.
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
                    return mark_used(hash);
                });
            const auto hits =
                static_cast<std::uint32_t>(miss - r.prefix_hashes.begin());
            it->prefill_left = std::max(
                1U, r.prompt_tokens - hits * routing::prefix_block_tokens);
            running.push_back(it);
        }
        // Milliseconds per step, per decoding sequence and per prompt token.
        double ms = 8;
        chunk_ = 0;
        for (const call_ptr& it : running)
        {
            ms += it->prefill_left == 0 ? 0.4 : 0;
            chunk_ = std::min(chunk_ + it->prefill_left, 512U);
        }
        return (ms + 0.12 * chunk_) * slowness / 1000;
    }

    /// Ends the step at `now`; calls `on_token` for each call that got a token.
    /// Returns the completed calls.
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
    bool mark_used(std::uint64_t hash)
    {
        const auto it = cache_.find(hash);
        if (it != cache_.end())
        {
            lru_.splice(lru_.end(), lru_, it->second);
        }
        return it != cache_.end();
    }

    void store(const std::vector<std::uint64_t>& hashes)
    {
        for (const std::uint64_t hash : hashes)
        {
            if (mark_used(hash))
            {
                continue;
            }
            cache_[hash] = lru_.insert(lru_.end(), hash);
            stored.push_back(hash);
            if (lru_.size() > cache_blocks)
            {
                evicted.push_back(lru_.front());
                cache_.erase(lru_.front());
                lru_.pop_front();
            }
        }
    }

    std::uint32_t chunk_ = 0;      // Prompt tokens of the running step.
    std::list<std::uint64_t> lru_; // Least recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
        cache_;
};

} // namespace hyssoploft::bench

#endif
