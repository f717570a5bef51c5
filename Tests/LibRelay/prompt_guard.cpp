// Guards against prompts that crash one engine after the other, and against
// sound prompts that are refused because they share parts with such a one.

#include <LibRelay/prompt_guard.hpp>

#include <LibCore/random_source.hpp>

#include <doctest.h>

#include <deque>
#include <string>
#include <vector>

using namespace hyssoploft;
using namespace std::chrono_literals;
using relay::prompt_guard;
using relay::prompt_verdict;
using routing::prompt_part;

namespace {

constexpr std::uint64_t deadly = 0xdead;
const core::time_point start{1000s};

std::shared_ptr<fleet::traffic_view>
make_view(const std::string& self, int vms = 4)
{
    auto members = std::make_shared<membership::fleet_view>();
    members->self = self;
    for (int n = 0; n < vms; ++n)
    {
        auto& it = members->vms["vm-" + std::to_string(n)];
        it.id = "vm-" + std::to_string(n);
        it.entry = true;
        it.state = membership::vm_state::alive;
    }
    auto out = std::make_shared<fleet::traffic_view>();
    out->fleet = members;
    out->suspects = std::make_shared<fleet::suspect_parts>();
    return out;
}

void set_state(
    fleet::traffic_view& view, std::uint64_t part, std::size_t crashes,
    core::time_point held_until)
{
    auto next = std::make_shared<fleet::suspect_parts>(*view.suspects);
    (*next)[part] = {crashes, start, held_until};
    view.suspects = next;
}

/// Collects reports.
struct report_list final : fleet::suspect_sink
{
    void report_crash(
        std::uint64_t upstream, std::vector<std::uint64_t> parts,
        core::time_point) override
    {
        crashes.emplace_back(upstream, std::move(parts));
    }

    void report_answer(std::uint64_t part, core::time_point) override
    {
        answers.push_back(part);
    }

    std::vector<std::pair<std::uint64_t, std::vector<std::uint64_t>>> crashes;
    std::vector<std::uint64_t> answers;
};

} // namespace

TEST_CASE("prompts are held by their shared parts")
{
    struct row
    {
        std::string name;
        std::vector<prompt_part> parts;
        std::size_t crashes;
        core::duration held; // From now on; 0: not quarantined.
        prompt_verdict expected;
    };
    const row rows[] = {
        {"no parts", {}, 3, 5s, prompt_verdict::allowed},
        {"other parts", {{1, 10}, {2, 10}}, 3, 5s, prompt_verdict::allowed},
        {"first part",
         {{deadly, 10}, {2, 10}},
         3,
         5s,
         prompt_verdict::quarantined},
        {"middle part",
         {{1, 10}, {deadly, 10}, {2, 10}},
         3,
         5s,
         prompt_verdict::quarantined},
        {"the request's own part",
         {{1, 10}, {deadly, 10}},
         3,
         5s,
         prompt_verdict::allowed},
        {"only suspected",
         {{deadly, 10}, {2, 10}},
         2,
         0s,
         prompt_verdict::allowed},
    };
    for (const auto& row : rows)
    {
        CAPTURE(row.name);
        const auto view = make_view("vm-0");
        set_state(
            *view, deadly, row.crashes,
            row.held > 0s ? start + row.held : core::time_point());
        const prompt_guard guard;
        const auto got = guard.check(*view, row.parts, start);
        CHECK(got.verdict == row.expected);
        if (row.expected == prompt_verdict::quarantined)
        {
            CHECK_EQ(got.part, deadly);
            CHECK(got.retry_after >= row.held);
        }
    }
}

TEST_CASE("one VM of the fleet tries a quarantined part, one request at a time")
{
    const std::vector<prompt_part> parts{{deadly, 10}, {2, 10}};
    int trials = 0;
    for (int vm = 0; vm < 4; ++vm)
    {
        const auto view = make_view("vm-" + std::to_string(vm));
        set_state(*view, deadly, 3, start + 10s);
        prompt_guard guard;
        CHECK(
            guard.check(*view, parts, start + 9s).verdict ==
            prompt_verdict::quarantined);
        const auto got = guard.check(*view, parts, start + 10s);
        if (got.verdict != prompt_verdict::trial)
        {
            CHECK(got.verdict == prompt_verdict::quarantined);
            continue;
        }
        ++trials;
        guard.start_trial(*view, parts, start + 10s);
        CHECK(
            guard.check(*view, parts, start + 11s).verdict ==
            prompt_verdict::quarantined);
        CHECK(
            guard.check(*view, parts, start + 20s).verdict ==
            prompt_verdict::trial);
        // It crashed an engine, and the hold is longer now.
        set_state(*view, deadly, 4, start + 31s);
        CHECK(
            guard.check(*view, parts, start + 30s).verdict ==
            prompt_verdict::quarantined);
    }
    CHECK_EQ(trials, 1);
}

// Failure: the one VM that may try a part had no caller with it.
TEST_CASE("more VMs may try a part that nobody has tried")
{
    const std::vector<prompt_part> parts{{deadly, 10}, {2, 10}};
    const auto count = [&](core::duration since_hold) {
        int out = 0;
        for (int vm = 0; vm < 10; ++vm)
        {
            const auto view = make_view("vm-" + std::to_string(vm), 10);
            set_state(*view, deadly, 3, start);
            const prompt_guard guard;
            out += guard.check(*view, parts, start + since_hold).verdict ==
                           prompt_verdict::trial
                       ? 1
                       : 0;
        }
        return out;
    };
    CHECK_EQ(count(0s), 1);
    CHECK_EQ(count(9s), 1);
    CHECK_EQ(count(10s), 2);
    CHECK_EQ(count(20s), 4);
    CHECK_EQ(count(60s), 10);
}

// Failure: each of two quarantined parts was tried by a VM that refused for the
// other one.
TEST_CASE("parts that come together are tried together")
{
    const std::vector<prompt_part> parts{{deadly, 10}, {5, 10}, {2, 10}};
    int trials = 0;
    for (int vm = 0; vm < 10; ++vm)
    {
        const auto view = make_view("vm-" + std::to_string(vm), 10);
        set_state(*view, deadly, 3, start);
        set_state(*view, 5, 3, start + 5s);
        prompt_guard guard;
        CHECK(
            guard.check(*view, parts, start + 4s).verdict ==
            prompt_verdict::quarantined);
        if (guard.check(*view, parts, start + 5s).verdict !=
            prompt_verdict::trial)
        {
            continue;
        }
        ++trials;
        guard.start_trial(*view, parts, start + 5s);
        // Also for a prompt with only the other part.
        CHECK(
            guard.check(*view, {{5, 10}, {9, 10}}, start + 14s).verdict ==
            prompt_verdict::quarantined);
    }
    CHECK_EQ(trials, 1);
}

TEST_CASE("parts that were answered lately are not blamed")
{
    const auto view = make_view("vm-0");
    prompt_guard guard;
    report_list reports;
    guard.record_answer(*view, {{1, 10}, {2, 10}, {3, 10}}, start, reports);
    CHECK(reports.answers.empty()); // Nobody suspects them.
    guard.record_crash(
        "e", 1, {{1, 10}, {deadly, 10}, {4, 10}}, start + 1s, reports);
    REQUIRE_EQ(reports.crashes.size(), 1);
    CHECK(reports.crashes[0].second == std::vector<std::uint64_t>{deadly});
    // The last part was the request's own.
    guard.record_crash("e", 2, {{3, 10}, {5, 10}}, start + 1s, reports);
    CHECK_EQ(reports.crashes.size(), 2);
    guard.record_crash("e", 3, {{1, 10}, {5, 10}}, start + 1s, reports);
    CHECK_EQ(reports.crashes.size(), 2);
    guard.record_crash("e", 4, {{1, 10}, {5, 10}}, start + 31s, reports);
    CHECK_EQ(reports.crashes.size(), 3);
    // Another VM suspects a part that this one has seen answered.
    set_state(*view, 1, 1, {});
    guard.report_answers(*view, start + 2s, reports);
    CHECK(reports.answers == std::vector<std::uint64_t>{1});
    guard.report_answers(*view, start + 3s, reports);
    CHECK_EQ(reports.answers.size(), 1);
    CHECK(guard.is_suspect(*view, {{1, 10}, {9, 10}}, start + 1s));
    CHECK_FALSE(guard.is_suspect(*view, {{9, 10}, {1, 10}}, start + 1s));
    CHECK_FALSE(guard.is_suspect(*view, {{1, 10}, {9, 10}}, start + 61s));
}

TEST_CASE("the memory of answered parts is bounded")
{
    const auto view = make_view("vm-0");
    prompt_guard guard;
    report_list reports;
    for (std::uint64_t n = 1; n <= 2 * prompt_guard::max_answered_parts; ++n)
    {
        guard.record_answer(*view, {{n, 1}, {0, 1}}, start, reports);
    }
    guard.record_crash("e", 1, {{1, 10}, {0, 1}}, start, reports);
    CHECK_EQ(reports.crashes.size(), 1); // Forgotten.
    guard.record_crash(
        "e", 1, {{2 * prompt_guard::max_answered_parts, 10}, {0, 1}}, start,
        reports);
    CHECK_EQ(reports.crashes.size(), 1);
}

namespace {

/// A fleet in simulated time: VMs with their guards and one table each, whose
/// notices take 300 ms, and engines that crash under `deadly` and are back
/// after 3 s. Load pattern: callers of every VM send a part that crashes each
/// engine, in 1 of 20 requests, beside sound ones that share its first part.
class poisoned_fleet
{
public:
    poisoned_fleet(int vms, int engines) : engines_(engines)
    {
        for (int n = 0; n < vms; ++n)
        {
            vms_.push_back(std::make_unique<vm>());
            vms_.back()->view = make_view("vm-" + std::to_string(n), vms);
        }
    }

    void run(core::duration time, core::duration interval)
    {
        for (core::duration t{}; t < time; t += interval)
        {
            step(start + t);
        }
    }

    int deadly_sent_late = 0; // After 5 s since the fifth crash.
    int crashes = 0;
    int sound = 0;
    int sound_refused = 0; // By the guard.

private:
    struct vm final : fleet::suspect_sink
    {
        void report_crash(
            std::uint64_t upstream, std::vector<std::uint64_t> parts,
            core::time_point at) override
        {
            for (const auto part : parts)
            {
                (void)table.record_crash(part, upstream, at);
            }
        }

        void report_answer(std::uint64_t part, core::time_point at) override
        {
            (void)table.record_answer(part, at);
        }

        std::shared_ptr<fleet::traffic_view> view;
        prompt_guard guard;
        fleet::crash_suspects table;
        std::uint64_t sent = 0;
    };

    struct notice
    {
        core::time_point at;
        core::time_point sent_at;
        std::vector<fleet::suspect_row> rows;
    };

    struct running
    {
        vm* owner;
        std::vector<prompt_part> parts;
        core::time_point begins; // To answer.
    };

    struct engine
    {
        core::time_point back{};
        std::uint64_t incarnation = 1;
        std::deque<running> calls;
    };

    void exchange(core::time_point now)
    {
        for (auto& it : vms_)
        {
            auto changes = it->table.changed_since(it->sent, now);
            it->sent = changes.up_to;
            if (!changes.rows.empty())
            {
                notices_.push_back({now + 300ms, now, std::move(changes.rows)});
            }
        }
        while (!notices_.empty() && notices_.front().at <= now)
        {
            for (auto& it : vms_)
            {
                for (const auto& row : notices_.front().rows)
                {
                    (void)it->table.merge(row, notices_.front().sent_at);
                }
            }
            notices_.pop_front();
        }
        for (auto& it : vms_)
        {
            it->view->suspects =
                std::make_shared<fleet::suspect_parts>(it->table.states());
            it->guard.report_answers(*it->view, now, *it);
        }
    }

    void step(core::time_point now)
    {
        exchange(now);
        for (std::size_t n = 0; n < engines_.size(); ++n)
        {
            run_engine(n, now);
        }
        auto& it = *vms_[random_.below(vms_.size())];
        const bool is_deadly = random_.below(20) == 0;
        std::vector<prompt_part> parts{{1 + random_.below(3), 500}};
        parts.push_back({is_deadly ? deadly : 100 + random_.below(100), 900});
        parts.push_back({1000 + ++requests_, 100});
        sound += is_deadly ? 0 : 1;
        const auto got = it.guard.check(*it.view, parts, now);
        if (got.verdict == prompt_verdict::quarantined)
        {
            sound_refused += is_deadly ? 0 : 1;
            return;
        }
        if (got.verdict == prompt_verdict::trial)
        {
            it.guard.start_trial(*it.view, parts, now);
        }
        const bool is_late =
            fifth_crash_ != core::time_point() && now - fifth_crash_ > 5s;
        deadly_sent_late += is_deadly && is_late ? 1 : 0;
        auto& to = engines_[random_.below(engines_.size())];
        if (to.back <= now)
        {
            to.calls.push_back({&it, parts, now + 100ms});
        }
    }

    void run_engine(std::size_t n, core::time_point now)
    {
        auto& it = engines_[n];
        while (!it.calls.empty() && it.calls.front().begins <= now)
        {
            const auto call = it.calls.front();
            if (call.parts[1].id != deadly)
            {
                it.calls.pop_front();
                call.owner->guard.record_answer(
                    *call.owner->view, call.parts, now, *call.owner);
                continue;
            }
            fifth_crash_ = ++crashes == 5 ? now : fifth_crash_;
            for (const auto& lost : it.calls)
            {
                lost.owner->guard.record_crash(
                    "engine-" + std::to_string(n), it.incarnation, lost.parts,
                    now, *lost.owner);
            }
            it.calls.clear();
            it.back = now + 3s;
            ++it.incarnation;
        }
    }

    core::seeded_random random_{1};
    std::vector<std::unique_ptr<vm>> vms_;
    std::vector<engine> engines_;
    std::deque<notice> notices_;
    core::time_point fifth_crash_{};
    std::uint64_t requests_ = 0;
};

} // namespace

// Failure: requests with one part crashed 18 engines of a fleet of nine.
TEST_CASE("a deadly part crashes few engines of a fleet, and sound ones go on")
{
    struct row
    {
        int vms;
        int engines;
        core::duration interval; // Between requests.
    };
    const row rows[] = {
        {9, 9, 50ms}, {70, 88, 5ms}, {195, 76, 6ms}, {1, 4, 400ms}};
    for (const auto& row : rows)
    {
        CAPTURE(row.vms);
        poisoned_fleet it(row.vms, row.engines);
        it.run(60s, row.interval);
        // The users allow three more from 5 s after the fifth crash.
        CHECK_LE(it.deadly_sent_late, 3);
        CHECK_LE(it.crashes, 12);
        CHECK_LE(it.sound_refused * 100, it.sound);
    }
}
