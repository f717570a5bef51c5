// Guards against budgets of VMs that each hold, but exceed the fleet's
// together. The load: seventy VMs with some hundred requests in a window each,
// of which every VM retries as many as it may in the moment in which its own
// window holds most requests.

#include <LibRetry/attempt_budget.hpp>

#include <LibCore/random_source.hpp>

#include <doctest.h>

#include <algorithm>
#include <vector>

using namespace hyssoploft;
using namespace std::chrono_literals;

namespace {

constexpr core::time_point start{1000s};
constexpr auto step = 10ms;
constexpr std::size_t window = 1000; // Steps, as all lengths below.
constexpr std::size_t length = 3 * window;
constexpr int vms = 70;
constexpr double requests_in_window = 110;
constexpr double fleet_share = 0.2;
constexpr int fleet_slack = 180;

core::time_point time_of(std::size_t n)
{
    return start + static_cast<int>(n) * step;
}

std::vector<int> draw_requests(core::random_source& random)
{
    std::vector<int> out(length);
    for (auto& it : out)
    {
        it = random.uniform() < requests_in_window / window ? 1 : 0;
    }
    return out;
}

int sum(const std::vector<int>& from, std::size_t begin, std::size_t end)
{
    int out = 0;
    for (std::size_t n = begin; n < end; ++n)
    {
        out += from[n];
    }
    return out;
}

int take_all(retry::attempt_budget budget, core::time_point now)
{
    int out = 0;
    while (budget.take(now))
    {
        ++out;
    }
    return out;
}

struct retry_burst
{
    std::size_t at = window;
    int retries = 0;
};

/// The most retries that a VM may make at one moment of the second window.
retry_burst largest_burst(const std::vector<int>& requests)
{
    retry::attempt_budget budget(
        retry::used_fleet_share * fleet_share, fleet_slack / vms,
        window * step);
    retry_burst out;
    for (std::size_t n = 0; n < 2 * window; ++n)
    {
        if (requests[n] > 0)
        {
            budget.on_request(time_of(n));
        }
        const int found = n < window ? 0 : take_all(budget, time_of(n));
        if (found > out.retries)
        {
            out = {n, found};
        }
    }
    return out;
}

} // namespace

TEST_CASE("the budgets of all VMs together hold the fleet's")
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed)
    {
        CAPTURE(seed);
        core::seeded_random random(seed);
        std::vector<int> requests(length);
        std::vector<int> retries(length);
        for (int vm = 0; vm < vms; ++vm)
        {
            const auto own = draw_requests(random);
            const auto burst = largest_burst(own);
            for (std::size_t n = 0; n < length; ++n)
            {
                requests[n] += own[n];
            }
            retries[burst.at] += burst.retries;
        }
        // The users count the requests of the window, of the one before it or
        // of the one half a window before it.
        for (std::size_t n = window; n + window <= length; n += 50)
        {
            const int counted = std::max(
                {sum(requests, n, n + window), sum(requests, n - window, n),
                 sum(requests, n - window / 2, n + window / 2)});
            CHECK(
                sum(retries, n, n + window) <=
                fleet_share * counted + fleet_slack);
        }
    }
}
