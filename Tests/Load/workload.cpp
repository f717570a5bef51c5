// Draws arrivals and writes their prompts.

#include <Load/workload.hpp>

#include <algorithm>
#include <cmath>
#include <numbers>
#include <random>

namespace hyssoploft::load {

namespace {

struct kind_shape
{
    std::uint32_t prompt_min, prompt_max, template_tokens;
    std::uint32_t answer_min, answer_max;
};

// As in Tests/LibRouting/bench_model.hpp, with shorter answers of reviews,
// since a run is short.
constexpr kind_shape shapes[] = {
    {150, 300, 128, 10, 30},
    {1500, 3000, 1024, 150, 300},
    {6000, 12000, 2048, 200, 400},
    {0, 0, 0, 0, 0}};

struct deployment_shape
{
    double calls_per_second; // Mean of one region.
    std::vector<double> kind_shares;
};

// Share of calls that are bound to their region (design, section 1.7).
constexpr double bound_share = 0.39;
// Daily peak above the mean; the cycle is compressed to the run.
constexpr double swing = 0.8;
constexpr std::uint32_t templates = 6; // For each account and kind.
constexpr std::size_t bytes_per_token = 4;

deployment_shape shape_of(const std::string& deployment)
{
    if (deployment == "ferreira")
    {
        return {3, {0.47, 0.19, 0.29, 0.05}};
    }
    return {9, {0.52, 0.38, 0.05, 0.05}};
}

double uniform(std::mt19937_64& random)
{
    return std::uniform_real_distribution<>()(random);
}

template <typename Shares>
std::size_t pick(const Shares& shares, std::mt19937_64& random)
{
    double it = uniform(random);
    std::size_t n = 0;
    while (n + 1 < shares.size() && it >= shares[n])
    {
        it -= shares[n++];
    }
    return n;
}

arrival draw_call(
    const deployment_shape& shape, std::size_t account, std::mt19937_64& random)
{
    arrival it;
    it.account = account;
    it.bound = uniform(random) < bound_share;
    it.kind = static_cast<call_kind>(pick(shape.kind_shares, random));
    const kind_shape& k = shapes[static_cast<std::size_t>(it.kind)];
    const auto draw = [&](std::uint32_t least, std::uint32_t most) {
        return std::uniform_int_distribution<std::uint32_t>(least, most)(
            random);
    };
    it.prompt_tokens = draw(k.prompt_min, k.prompt_max);
    it.answer_tokens = draw(k.answer_min, k.answer_max);
    it.template_tokens = k.template_tokens;
    // The first template is the most used.
    const double skew = uniform(random);
    it.template_number = static_cast<std::uint32_t>(templates * skew * skew);
    return it;
}

// Adds arrivals by thinning: candidates at the peak rate, kept by the rate
// at their time.
template <typename Rate, typename Account>
void add_arrivals(
    std::vector<arrival>& all, std::size_t region, double seconds, double peak,
    const deployment_shape& shape, std::mt19937_64& random, Rate rate,
    Account account)
{
    double t = 0;
    while ((t -= std::log(1 - uniform(random)) / peak) < seconds)
    {
        if (uniform(random) * peak >= rate(t))
        {
            continue;
        }
        arrival it = draw_call(shape, account(), random);
        it.time = t;
        it.region = region;
        all.push_back(it);
    }
}

} // namespace

std::vector<arrival> draw_arrivals(const workload_settings& settings)
{
    const deployment_shape shape = shape_of(settings.deployment);
    std::mt19937_64 random(settings.seed);
    std::vector<arrival> all;
    for (std::size_t region = 0; region < regions.size(); ++region)
    {
        const double mean = shape.calls_per_second * settings.rate;
        const double offset = static_cast<double>(region) / regions.size();
        add_arrivals(
            all, region, settings.seconds, mean * (1 + swing), shape, random,
            [&](double t) {
                const double phase = t / settings.seconds + offset;
                return mean *
                       (1 + swing * std::sin(2 * std::numbers::pi * phase));
            },
            [&] {
                return pick(account_shares, random);
            });
        const double extra =
            mean * account_shares[flooding] * (settings.flood_factor - 1);
        add_arrivals(
            all, region, settings.seconds, std::max(extra, 1e-9), shape, random,
            [&](double t) {
                const bool on =
                    t > settings.seconds / 3 && t < settings.seconds * 2 / 3;
                return on ? extra : 0.0;
            },
            [] {
                return flooding;
            });
    }
    std::sort(all.begin(), all.end(), [](const auto& a, const auto& b) {
        return a.time < b.time;
    });
    all.resize(std::min(all.size(), settings.max_calls));
    for (std::size_t n = 0; n < all.size(); ++n)
    {
        all[n].number = n;
    }
    return all;
}

std::string model_of(const arrival& it)
{
    constexpr std::string_view names[] = {"label", "quote", "review", ""};
    std::string out(names[static_cast<std::size_t>(it.kind)]);
    if (it.bound)
    {
        out += '-';
        out += regions[it.region];
    }
    return out;
}

std::string prompt_of(const arrival& it)
{
    std::mt19937_64 shared(
        (it.account * 3 + static_cast<std::size_t>(it.kind)) * templates +
        it.template_number + 1);
    std::mt19937_64 own(it.number + 1000);
    std::string out;
    out.reserve(it.prompt_tokens * bytes_per_token);
    for (std::uint32_t n = 0; n < it.prompt_tokens; ++n)
    {
        std::mt19937_64& random = n < it.template_tokens ? shared : own;
        for (std::size_t i = 0; i + 1 < bytes_per_token; ++i)
        {
            out += static_cast<char>('a' + random() % 26);
        }
        out += ' ';
    }
    return out;
}

} // namespace hyssoploft::load
