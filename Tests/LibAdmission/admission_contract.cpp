// Contract of every admission_controller. Guards against requests that end
// twice or never, unbounded queues, and more running requests than capacity.

#include <LibAdmission/fair_admission.hpp>
#include <LibAdmission/fifo_admission.hpp>
#include <LibRate/seeded_property.hpp>

#include <doctest.h>

#include <array>
#include <functional>
#include <map>
#include <memory>

using namespace hyssoploft;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t max_waiting = 20;

struct implementation
{
    const char* name;
    std::function<std::unique_ptr<admission::admission_controller>()>
        make_controller;
};

const implementation implementations[] = {
    {"fair",
     [] {
         return std::make_unique<admission::fair_admission>(
             admission::admission_settings{8, max_waiting});
     }},
    {"fair without early refusal",
     [] {
         return std::make_unique<admission::fair_admission>(
             admission::admission_settings{8, max_waiting, 0.2, false});
     }},
    {"fifo", [] {
         return std::make_unique<admission::fifo_admission>(max_waiting);
     }}};

enum class request_state
{
    queued,
    started,
    refused,
    cancelled,
    completed
};

// Applies generated actions to a controller and tracks the state of every
// request.
class contract_driver
{
public:
    explicit contract_driver(
        std::unique_ptr<admission::admission_controller> controller)
        : controller_(std::move(controller))
    {
        controller_->set_capacity(3, now_);
    }

    void apply_action(const std::array<std::uint8_t, 4>& it)
    {
        switch (it[0] % 6)
        {
        case 0:
        case 1:
        case 2:
            submit(it);
            break;
        case 3:
            finish_one(it[1]);
            break;
        case 4:
            cancel_one(it[1]);
            break;
        default:
            now_ += std::chrono::milliseconds(10 * it[1]);
            controller_->set_capacity(it[2] % 5, now_);
        }
        poll();
        check_counts();
    }

    void drain()
    {
        controller_->shut_down();
        controller_->set_capacity(2, now_);
        submit({0, 1, 1, 1});
        RC_ASSERT(states_.rbegin()->second == request_state::refused);
        for (int n = 0; n < 1000 && controller_->waiting() > 0; ++n)
        {
            poll();
            finish_one(0);
        }
        while (count(request_state::started) > 0)
        {
            finish_one(0);
        }
        RC_ASSERT(controller_->waiting() == 0U);
        RC_ASSERT(controller_->running() == 0U);
        RC_ASSERT(count(request_state::queued) == 0U);
    }

private:
    std::size_t count(request_state state) const
    {
        std::size_t sum = 0;
        for (const auto& it : states_)
        {
            sum += it.second == state ? 1 : 0;
        }
        return sum;
    }

    void submit(const std::array<std::uint8_t, 4>& it)
    {
        admission::waiting_request request;
        request.id = ++last_id_;
        request.account = std::string(1, static_cast<char>('a' + it[1] % 4));
        request.weight = 1 + it[1] % 3;
        request.cost_tokens = it[2];
        request.interactive = it[3] % 3 != 0;
        request.expected_run = std::chrono::milliseconds(it[2]);
        request.deadline = now_ + std::chrono::milliseconds(20 * it[3]);
        const auto answer = controller_->submit(request, now_);
        using admission::admission_verdict;
        states_[request.id] = answer.verdict == admission_verdict::run
                                  ? request_state::started
                              : answer.verdict == admission_verdict::wait
                                  ? request_state::queued
                                  : request_state::refused;
        if (answer.verdict == admission_verdict::refuse)
        {
            RC_ASSERT(answer.retry_after > core::duration::zero());
            RC_ASSERT(answer.retry_after <= core::duration(60s));
        }
    }

    void set_state(std::uint64_t id, request_state from, request_state to)
    {
        RC_ASSERT(states_.contains(id));
        RC_ASSERT(states_[id] == from);
        states_[id] = to;
    }

    void poll()
    {
        const auto update = controller_->poll(now_);
        for (const auto id : update.run)
        {
            set_state(id, request_state::queued, request_state::started);
        }
        for (const auto id : update.refused)
        {
            set_state(id, request_state::queued, request_state::refused);
        }
        if (!update.run.empty())
        {
            RC_ASSERT(controller_->running() <= 4U);
        }
    }

    std::uint64_t pick_request(request_state state, unsigned n) const
    {
        std::vector<std::uint64_t> found;
        for (const auto& it : states_)
        {
            if (it.second == state)
            {
                found.push_back(it.first);
            }
        }
        return found.empty() ? 0 : found[n % found.size()];
    }

    void finish_one(unsigned n)
    {
        const auto id = pick_request(request_state::started, n);
        controller_->finished(id, n, n % 5 == 0, now_);
        if (id != 0)
        {
            states_[id] = request_state::completed;
        }
    }

    void cancel_one(unsigned n)
    {
        const auto id = pick_request(
            n % 2 == 0 ? request_state::queued : request_state::started, n);
        controller_->cancel(id); // No effect on running requests.
        if (id != 0 && n % 2 == 0)
        {
            states_[id] = request_state::cancelled;
        }
    }

    void check_counts() const
    {
        RC_ASSERT(controller_->waiting() == count(request_state::queued));
        RC_ASSERT(controller_->running() == count(request_state::started));
        RC_ASSERT(controller_->waiting() <= max_waiting);
    }

    std::unique_ptr<admission::admission_controller> controller_;
    core::time_point now_{1h};
    std::uint64_t last_id_ = 0;
    std::map<std::uint64_t, request_state> states_;
};

} // namespace

TEST_CASE("property: every request ends in exactly one way")
{
    std::uint64_t seed = 200;
    for (const auto& it : implementations)
    {
        CAPTURE(it.name);
        CHECK(tests::holds(
            ++seed, 300, 150,
            [&](const std::vector<std::array<std::uint8_t, 4>>& actions) {
                contract_driver contract(it.make_controller());
                for (const auto& action : actions)
                {
                    contract.apply_action(action);
                }
                contract.drain();
            }));
    }
}

TEST_CASE("a waiting request is refused when it can't finish in time")
{
    for (const auto& it : implementations)
    {
        CAPTURE(it.name);
        const auto controller = it.make_controller();
        const core::time_point now{1h};
        controller->set_capacity(1, now);
        controller->submit({1, "a", 1, 10, true, now + 9s, 1s}, now);
        controller->submit({2, "a", 1, 10, true, now + 5s, 1s}, now);
        CHECK(controller->poll(now + 4s).refused.empty());
        CHECK_EQ(controller->poll(now + 4001ms).refused.size(), 1);
        const auto late = controller->submit(
            {3, "a", 1, 10, true, now + 5s, 1s}, now + 4500ms);
        CHECK(late.verdict == admission::admission_verdict::refuse);
        CHECK(late.reason == admission::refusal_reason::deadline_too_near);
    }
}
