// Guards against two attempts of one call running, in any order of commands in
// the log, and against replicas that diverge.

#include <LibLedger/digests.hpp>
#include <LibLedger/execution_ledger.hpp>

#include <doctest.h>
#include <rapidcheck.h>

#include <optional>

using namespace hyssoploft;
using namespace hyssoploft::ledger;
using std::chrono::seconds;

namespace {

// Fixed, so that each run checks the same cases.
constexpr const char* rapidcheck_params =
    "seed=20261204 max_success=400 max_size=120";

/// rapidcheck reads this variable on first use.
const int setenv_result = ::setenv("RC_PARAMS", rapidcheck_params, 1);

constexpr int vm_count = 3;
constexpr int key_count = 2;

/// An attempt of one call on one VM. Like the gateway, it sends only after the
/// outcome `created` and never after it was abandoned.
struct attempt
{
    std::string name;
    std::string vm;
    int key = 0;
    bool created = false;
    bool abandoned = false;
    bool sent = false;
};

command begin_of(const attempt& it)
{
    begin_request request;
    request.id = {"shop", "r", digest_of_key(std::to_string(it.key))};
    request.body_digest = digest_of_call("POST", "/r", "body");
    request.attempt = it.name;
    request.owner_vm = it.vm;
    request.deadline = seconds(5);
    request.record_lifetime = seconds(3600);
    return begin_command{request};
}

command abandon_of(const attempt& it)
{
    const auto request = std::get<begin_command>(begin_of(it)).request;
    return abandon_command{request.id, it.name, it.vm, request.record_lifetime};
}

command finish_of(const attempt& it)
{
    const auto request = std::get<begin_command>(begin_of(it)).request;
    return finish_command{request.id, it.name, it.vm, finish_outcome::completed,
                          "",         {}};
}

struct message
{
    std::size_t attempt;
    command body;
};

/// Simulates VMs that begin, abandon, send and finish attempts, and a network
/// that delays, reorders, repeats and loses their commands.
class command_simulation
{
public:
    void step(int choice, int selector, log_time now)
    {
        switch (choice)
        {
        case 0:
            start(selector);
            return;
        case 1:
        case 2:
        case 3:
            deliver(selector, now, choice == 3);
            return;
        case 4:
            abandon(selector);
            return;
        default:
            send(selector);
            return;
        }
    }

    /// Number of sent attempts of a key.
    int sent(int key) const
    {
        int n = 0;
        for (const auto& it : attempts_)
        {
            n += it.sent && it.key == key ? 1 : 0;
        }
        return n;
    }

    const execution_ledger& ledger() const
    {
        return ledger_;
    }

    const std::vector<std::string>& log() const
    {
        return log_;
    }

private:
    attempt* attempt_at(int selector)
    {
        if (attempts_.empty())
        {
            return nullptr;
        }
        return &attempts_
            [static_cast<std::size_t>(selector) % attempts_.size()];
    }

    void propose(const attempt& from, const command& it)
    {
        network_.push_back(
            {static_cast<std::size_t>(&from - attempts_.data()), it});
    }

    void start(int selector)
    {
        attempt it;
        it.name = "attempt" + std::to_string(attempts_.size());
        it.vm = "vm" + std::to_string(selector % vm_count);
        it.key = selector % key_count;
        attempts_.push_back(it);
        propose(attempts_.back(), begin_of(it));
    }

    void deliver(int selector, log_time now, bool repeat)
    {
        if (network_.empty())
        {
            return;
        }
        const auto n = static_cast<std::size_t>(selector) % network_.size();
        const auto it = network_[n];
        if (!repeat)
        {
            network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(n));
        }
        log_.push_back(stamp(encode_command(it.body), now));
        const auto result = decode_command_result(ledger_.apply(log_.back()));
        RC_ASSERT(result.ok());
        // One in three results is lost.
        if (std::holds_alternative<begin_command>(it.body) &&
            selector % 3 != 0 && result->status == command_status::ok &&
            result->begin.outcome == begin_outcome::created)
        {
            attempts_[it.attempt].created = true;
        }
    }

    void abandon(int selector)
    {
        auto* it = attempt_at(selector);
        if (it != nullptr && !it->sent)
        {
            it->abandoned = true;
            propose(*it, abandon_of(*it));
        }
    }

    void send(int selector)
    {
        auto* it = attempt_at(selector);
        if (it != nullptr && it->created && !it->abandoned && !it->sent)
        {
            it->sent = true;
            propose(*it, finish_of(*it));
        }
    }

    execution_ledger ledger_;
    std::vector<attempt> attempts_;
    std::vector<message> network_;
    std::vector<std::string> log_;
};

command_simulation random_run()
{
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 7), rc::gen::inRange(0, 1000)));
    command_simulation run;
    log_time now = 0;
    for (const auto& [choice, selector] : steps)
    {
        // Up to half a minute per run: far below the record lifetime, often
        // beyond a deadline.
        now += static_cast<log_time>(selector % 7 == 0 ? 3000 : 10);
        run.step(choice, selector, now);
        for (int key = 0; key < key_count; ++key)
        {
            RC_ASSERT(run.sent(key) <= 1);
        }
    }
    return run;
}

} // namespace

TEST_CASE("no order of commands lets two attempts of a call run")
{
    REQUIRE_EQ(setenv_result, 0);
    int sent = 0;
    const bool holds = rc::check("at most one attempt is sent", [&] {
        const auto run = random_run();
        sent += run.sent(0) + run.sent(1);
    });
    CHECK(holds);
    // Excludes a ledger that lets no attempt run.
    CHECK_GT(sent, 100);
}

TEST_CASE("a replay and a restored snapshot produce the same state")
{
    CHECK(rc::check("replicas agree", [] {
        const auto run = random_run();
        execution_ledger replayed;
        execution_ledger restored;
        std::size_t n = 0;
        for (const auto& it : run.log())
        {
            if (n++ == run.log().size() / 2)
            {
                RC_ASSERT(restored.restore(replayed.snapshot()).ok());
            }
            const auto result = replayed.apply(it);
            if (n > run.log().size() / 2)
            {
                RC_ASSERT(restored.apply(it) == result);
            }
        }
        RC_ASSERT(replayed.snapshot() == run.ledger().snapshot());
        RC_ASSERT(restored.snapshot() == replayed.snapshot());
    }));
}

TEST_CASE("a damaged snapshot is rejected and leaves the state unchanged")
{
    execution_ledger ledger;
    attempt it{"a", "vm1", 0};
    ledger.apply(encode_command(begin_of(it)));
    ledger.apply(encode_command(abandon_of({"b", "vm1", 1})));
    const auto good = ledger.snapshot();
    for (std::size_t n = 0; n < good.size(); ++n)
    {
        CHECK_FALSE(ledger.restore(good.substr(0, n)).ok());
    }
    CHECK_FALSE(ledger.restore(good + "x").ok());
    CHECK_EQ(ledger.snapshot(), good);
    CHECK(ledger.restore(good).ok());
    CHECK_EQ(ledger.snapshot(), good);
}
