#ifndef HYSSOPLOFT_TESTS_LIBROUTING_FLEET_BUILDER_HPP
#define HYSSOPLOFT_TESTS_LIBROUTING_FLEET_BUILDER_HPP

// Builds small fleets for router tests.

#include <LibCore/text.hpp>
#include <LibRouting/router.hpp>

#include <memory>
#include <string>

namespace hyssoploft::tests {

using namespace std::chrono_literals;

inline constexpr core::time_point start{1000s};

class fleet_builder
{
public:
    explicit fleet_builder(std::string self = "vm-a-0")
    {
        fleet_.self = std::move(self);
    }

    fleet_builder& vms(const std::string& region, int n)
    {
        for (int i = 0; i < n; ++i)
        {
            membership::vm_record it;
            it.id = core::concat("vm-", region, "-", i);
            it.region = region;
            it.data_center = core::concat(region, i % 2);
            fleet_.vms[it.id] = it;
        }
        return *this;
    }

    fleet_builder&
    upstreams(const std::string& region, int n, std::uint32_t capacity = 16)
    {
        for (int i = 0; i < n; ++i)
        {
            membership::upstream_record it;
            it.id = core::concat("up-", region, "-", i);
            it.role = "engine";
            it.region = region;
            it.data_center = core::concat(region, "0");
            it.models = {"quote"};
            it.capacity = capacity;
            fleet_.upstreams[it.id] = it;
        }
        return *this;
    }

    fleet_builder&
    link(const std::string& from, const std::string& to, double bytes)
    {
        configuration_.declared_fleet.links.push_back({from, to, bytes});
        configuration_.declared_fleet.links.push_back({to, from, bytes});
        return *this;
    }

    membership::upstream_record& upstream(const std::string& id)
    {
        return fleet_.upstreams.at(id);
    }

    membership::fleet_view& view()
    {
        return fleet_;
    }

    void report(
        const std::string& id, std::uint32_t running, core::time_point now,
        core::duration lag = 500ms)
    {
        membership::load_report& it = upstream(id).load;
        ++it.sequence;
        it.running = running;
        it.received = now;
        it.lag = lag;
    }

    void install(routing::router& it, core::time_point now) const
    {
        it.update(
            std::make_shared<membership::fleet_view>(fleet_),
            std::make_shared<resource::configuration>(configuration_), now);
    }

private:
    membership::fleet_view fleet_;
    resource::configuration configuration_;
};

inline routing::routing_request quote(std::uint32_t prompt_tokens = 400)
{
    routing::routing_request it;
    it.account = "mamaia";
    it.model = "quote";
    it.role = "engine";
    it.prompt_tokens = prompt_tokens;
    it.answer_limit = 100;
    it.remote_price_seconds = 0.25;
    return it;
}

inline routing::call_result
answered(core::duration first_token = 150ms, core::duration total = 2s)
{
    return {routing::call_outcome::completed, first_token, total, 60, 20000};
}

inline routing::call_result failed()
{
    return {routing::call_outcome::failed, {}, 1ms, 0, 0};
}

} // namespace hyssoploft::tests

#endif
