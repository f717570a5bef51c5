// Guards against VMs that place their calls by outdated or incomplete sums of
// loads: after a pause of the aggregator all of a region's VMs sent to the same
// few engines.

#include <LibFleet/load_aggregation.hpp>
#include <LibFleet/load_table.hpp>
#include <LibFleet/peer_loads.hpp>

#include <doctest.h>

#include <array>
#include <memory>
#include <optional>

using namespace hyssoploft;
using fleet::load_aggregation;
using fleet::load_row;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const core::time_point start{seconds(100)};
constexpr milliseconds step{50};

// Two control VMs of a region and its entry VMs, with the messages between
// them. An engine's load rises by one call a second at each VM.
class aggregated_region
{
public:
    static constexpr std::uint32_t entry_vms = 20;

    aggregated_region()
    {
        for (const char* id : {"c1", "c2"})
        {
            auto& it = fleet.vms[id];
            it.id = id;
            it.region = "north";
            it.control = true;
            control.push_back(std::make_unique<control_vm>(control_vm{
                id,
                load_aggregation(id, start),
                {},
                fleet::load_notice_builder(1),
                false}));
        }
        for (std::uint32_t n = 0; n < entry_vms; ++n)
        {
            reporters.emplace_back(1);
        }
    }

    std::uint32_t true_sum() const
    {
        return entry_vms * load_of_each();
    }

    // The sum that an entry VM uses; nothing if it has none that is current.
    std::optional<std::uint32_t> used_sum() const
    {
        const auto sender = received.first_current(
            fleet::load_aggregators(fleet, "north"), now);
        if (sender.empty())
        {
            return std::nullopt;
        }
        const auto rows = received.rows_of(sender, now);
        const auto found = rows.find("engine");
        return found == rows.end() ? 0 : found->second.running;
    }

    void advance()
    {
        now += step;
        for (std::size_t n = 0; n < reporters.size(); ++n)
        {
            for (const auto& it : reporters[n].next_notices(
                     {{"engine", load_of_each(), 0}}, now))
            {
                for (auto& to : control)
                {
                    if (!to->paused)
                    {
                        to->reports.apply("e" + std::to_string(n), it, now);
                    }
                }
            }
        }
        for (auto& it : control)
        {
            if (!it->paused)
            {
                run(*it);
            }
        }
    }

    void advance_until(core::time_point end)
    {
        while (now < end)
        {
            advance();
        }
    }

    struct control_vm
    {
        std::string id;
        load_aggregation aggregation;
        fleet::peer_load_table reports;
        fleet::load_notice_builder sums;
        bool paused = false;
    };

    core::time_point now = start;
    membership::fleet_view fleet;
    std::vector<std::unique_ptr<control_vm>> control;
    std::vector<fleet::load_notice_builder> reporters;
    fleet::peer_load_table received; // Of one entry VM.

private:
    std::uint32_t load_of_each() const
    {
        return 10 + static_cast<std::uint32_t>(core::to_seconds(now - start));
    }

    void run(control_vm& it)
    {
        it.aggregation.tick(now);
        for (const auto& other : control)
        {
            if (other->id != it.id && !other->paused)
            {
                it.aggregation.record_contact(other->id, now);
            }
        }
        if (!it.aggregation.sends_sums(fleet, "north", now))
        {
            return;
        }
        std::vector<load_row> rows;
        for (auto& [id, row] : it.reports.sums(now))
        {
            rows.push_back(row);
        }
        for (const auto& notice : it.sums.next_notices_or_keepalive(rows, now))
        {
            received.apply(it.id, notice, now);
        }
    }
};

} // namespace

TEST_CASE("a paused aggregator is replaced, and not believed when it resumes")
{
    for (const auto pause : {milliseconds(900), milliseconds(7500)})
    {
        CAPTURE(pause.count());
        aggregated_region it;
        it.advance_until(start + seconds(4));
        CHECK_EQ(it.used_sum(), it.true_sum());
        it.control[0]->paused = true;
        int without_sums = 0;
        const auto end_of_pause = it.now + pause;
        while (it.now < end_of_pause + seconds(4))
        {
            it.control[0]->paused = it.now < end_of_pause;
            it.advance();
            const auto used = it.used_sum();
            without_sums += used ? 0 : 1;
            // A sum is at most half a second old: one call less at each VM.
            CHECK(used.value_or(it.true_sum()) <= it.true_sum());
            CHECK(used.value_or(it.true_sum()) + it.entry_vms >= it.true_sum());
        }
        // Between the first's silence and the start of the second.
        CHECK(without_sums * step <= milliseconds(500));
    }
}

TEST_CASE("an aggregator that has just started sends no sums")
{
    aggregated_region it;
    it.advance_until(start + load_aggregation::collection_time - 2 * step);
    CHECK_FALSE(it.used_sum().has_value());
    it.advance_until(start + load_aggregation::collection_time + 2 * step);
    CHECK_EQ(it.used_sum(), it.true_sum());
}

TEST_CASE("without another control VM outdated sums are dropped")
{
    aggregated_region it;
    it.fleet.vms.erase("c2");
    it.control.pop_back();
    it.advance_until(start + seconds(4));
    REQUIRE(it.used_sum().has_value());
    it.control[0]->paused = true;
    it.advance_until(it.now + fleet::peer_load_table::sums_lifetime + 2 * step);
    CHECK_FALSE(it.used_sum().has_value());
}

TEST_CASE("an idle region's sums stay current")
{
    fleet::load_notice_builder sums(1);
    fleet::peer_load_table received;
    for (auto now = start; now < start + seconds(5); now += step)
    {
        for (const auto& it :
             sums.next_notices_or_keepalive({{"engine", 1, 0}}, now))
        {
            received.apply("c1", it, now);
        }
        CHECK_EQ(received.first_current({"c1"}, now), "c1");
        CHECK_EQ(received.rows_of("c1", now).size(), 1);
    }
}

TEST_CASE("sums of reports leave out the receiver and expired reports")
{
    fleet::load_table it;
    it.set_report("e1", {{"a", 2, 100}, {"b", 1, 0}}, start);
    it.set_report("e2", {{"a", 3, 50}}, start + seconds(1));
    it.set_report("e1", {{"a", 1, 10}}, start + milliseconds(100));
    const auto sums = it.sums_excluding("e3", start + seconds(1));
    CHECK(sums == std::vector<load_row>{{"a", 4, 60}});
    CHECK(
        it.sums_excluding("e1", start + seconds(1)) ==
        std::vector<load_row>{{"a", 3, 50}});
    CHECK(
        it.sums_excluding("e3", start + milliseconds(2200)) ==
        std::vector<load_row>{{"a", 3, 50}});
    CHECK(it.sums_excluding("e3", start + seconds(4)).empty());
}
