// Guards against departures that are acknowledged although they are not
// recorded, and against old ones that are applied to a later start.

#include <LibControl/upstream_departures.hpp>

#include <LibFleet/upstream_table.hpp>
#include <Support/manual_clock.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <doctest.h>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace hyssoploft::tests {

namespace {

using namespace std::chrono_literals;
using membership::upstream_state;

fleet::upstream_row row(std::uint64_t incarnation)
{
    fleet::upstream_row out;
    out.id = "u";
    out.address = "10.0.0.1:80";
    out.incarnation = incarnation;
    out.sequence = 1;
    return out;
}

/// The table of one control VM, with a place to act before each call.
class scripted_log final : public control::departure_log
{
public:
    void find_departing(
        std::string upstream, std::uint64_t unix_ms,
        incarnation_handler done) override
    {
        act(before_find);
        done(table.find_departing(upstream, unix_ms));
        act(after_find);
    }

    void record_departure(fleet::departure it, record_handler done) override
    {
        act(before_record);
        recorded.push_back(it);
        (void)table.leave(it, start);
        done(result);
    }

    upstream_state state() const
    {
        return static_cast<upstream_state>(table.entries().at("u").row.state);
    }

    static constexpr core::time_point start{100s};
    std::uint64_t change_counter = 0;
    fleet::upstream_table table{change_counter};
    std::vector<fleet::departure> recorded;
    absl::Status result;
    std::function<void()> before_find;
    std::function<void()> after_find;
    std::function<void()> before_record;

private:
    static void act(const std::function<void()>& it)
    {
        if (it)
        {
            it();
        }
    }
};

struct vm_under_test
{
    absl::Status send(std::optional<std::uint64_t> incarnation = std::nullopt)
    {
        boost::asio::io_context io;
        absl::Status out = absl::UnknownError("did not end");
        boost::asio::co_spawn(
            io,
            departures.submit(
                io.get_executor(), "u", incarnation,
                [this] {
                    return waits;
                }),
            [&](std::exception_ptr, absl::Status it) {
                out = std::move(it);
            });
        io.run();
        return out;
    }

    /// What happens while this VM stands still: another VM took the
    /// departure, and the upstream has started again.
    void start_again()
    {
        waits = false;
        log.table.announce(row(started_again), log.start);
    }

    static constexpr std::uint64_t started = 1000;
    static constexpr std::uint64_t started_again = 100'000;
    bool waits = true;
    scripted_log log;
    std::shared_ptr<manual_clock> clock = std::make_shared<manual_clock>();
    control::upstream_departures departures{log, clock};
};

} // namespace

TEST_CASE("an old departure is not applied to the next start")
{
    struct place
    {
        const char* name;
        std::function<void()> scripted_log::*where;
        std::optional<std::uint64_t> incarnation; // That the departure names.
    };
    const place places[] = {
        {"the queue to the control thread", &scripted_log::before_find,
         std::nullopt},
        {"before its caller is seen to wait", &scripted_log::after_find,
         std::nullopt},
        {"the queue to the record", &scripted_log::before_record, std::nullopt},
        {"the queue to the record, named", &scripted_log::before_record,
         vm_under_test::started}};
    for (const auto& it : places)
    {
        CAPTURE(it.name);
        vm_under_test t;
        t.log.table.announce(row(t.started), t.log.start);
        bool stood_still = false;
        t.log.*it.where = [&] {
            stood_still = true;
            t.start_again();
        };
        (void)t.send(it.incarnation);
        CHECK(stood_still);
        CHECK(t.log.state() == upstream_state::serving);
    }
    // Its connection was closed before it was read.
    vm_under_test t;
    t.start_again();
    CHECK(t.send().code() == absl::StatusCode::kAborted);
    CHECK(t.log.recorded.empty());
    CHECK(t.log.state() == upstream_state::serving);
}

TEST_CASE("a departure is acknowledged only when it is recorded")
{
    for (const bool named : {false, true})
    {
        CAPTURE(named);
        vm_under_test t;
        const auto incarnation =
            named ? std::optional(t.started) : std::nullopt;
        t.log.result = absl::UnavailableError("no quorum");
        CHECK(t.send(incarnation).code() == absl::StatusCode::kUnavailable);
        t.log.result = absl::OkStatus();
        CHECK(t.send(incarnation).ok());
        CHECK(t.log.recorded.size() == 2);
    }
}

// Review/11: the announcement of an upstream arrives after its departure.
TEST_CASE("an upstream that was not heard of is not used when it is")
{
    vm_under_test t;
    CHECK(t.send().ok());
    t.log.table.announce(row(t.started), t.log.start);
    CHECK(t.log.state() == upstream_state::leaving);
    t.log.table.announce(row(t.started_again), t.log.start);
    CHECK(t.log.state() == upstream_state::serving);
}

} // namespace hyssoploft::tests
