// Discrete event simulation of engines and VMs.

#include "engine_fleet_model.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>

namespace hyssoploft::test {

namespace {

using core::time_point;
using std::chrono::microseconds;

const time_point start{std::chrono::seconds(1000)};

/// Parameters of the simulated engines.
constexpr double step_ms = 2.97;
constexpr double step_ms_per_stream = 0.0222;
constexpr double prefill_tokens_per_ms = 101;
constexpr double attention_ms_per_million_pairs = 0.184;
constexpr std::uint32_t chunk_tokens = 4096;
constexpr std::uint32_t tokens_per_event = 10;
constexpr std::uint32_t engine_slots = 32;
constexpr std::uint64_t engine_memory = 594'720;
constexpr microseconds local_delay{4'000};
constexpr microseconds region_delay{57'000};

core::duration milliseconds_of(double ms)
{
    return core::from_seconds(ms / 1e3);
}

struct model_call
{
    std::size_t index = 0; // In model_result::calls.
    std::size_t vm = 0;
    std::uint64_t ticket = 0;
    routing::placement_request request;
    std::uint32_t tokens_to_prefill = 0;
    std::uint32_t prefilled_tokens = 0;
    std::uint32_t generated_tokens = 0;
    std::uint32_t answer_tokens_total = 0;
    time_point arrived{};
    time_point last_event{};
    core::duration network_delay{};
    bool late = false;
};

using call_pointer = std::shared_ptr<model_call>;

struct model_engine
{
    std::deque<call_pointer> waiting;
    std::vector<call_pointer> running;
    routing::prompt_cache cache;
    bool busy = false;
};

struct model_vm
{
    std::string id;
    std::string region;
    fleet::traffic_view view;
    std::map<std::string, fleet::remote_load> reported_loads; // By control VMs.
    std::unique_ptr<fleet::load_notice_builder> announcer;
    fleet::peer_load_table received_loads; // Sums sent by the hub.
    std::unique_ptr<core::seeded_random> random;
    std::unique_ptr<routing::backlog_router> router;
};

struct model_hub
{
    fleet::peer_load_table received_loads;
    fleet::load_notice_builder announcer{1};
};

class model_run
{
public:
    explicit model_run(const model_options& options)
        : options_(options), random_(options.seed)
    {
        build();
    }

    model_result simulate();

private:
    using action = std::function<void()>;

    struct event
    {
        time_point time;
        std::uint64_t order;
        std::shared_ptr<action> run;

        bool operator>(const event& other) const
        {
            return std::tie(time, order) > std::tie(other.time, other.order);
        }
    };

    void build();
    void add_vm(const std::string& region, std::size_t n);
    void schedule(core::duration delay, action run);
    void handle_arrivals(std::size_t region);
    call_pointer draw_call(std::size_t vm);
    void place(const call_pointer& it);
    void place_in_region(const call_pointer& it, const std::string& region);
    void exchange_reports(std::size_t vm);
    void send_notices(std::size_t vm);
    void send_sums(const std::string& region);
    void update_loads(model_vm& it);
    void deliver(const std::string& engine, call_pointer it);
    void start_step(const std::string& engine);
    void end_step(const std::string& engine);
    void generate_token(const call_pointer& it);
    void finish_call(const call_pointer& it);
    double log_normal(double mean, double spread);

    const model_options options_;
    core::seeded_random random_;
    time_point now_ = start;
    std::uint64_t next_order_ = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::vector<model_vm> vms_;
    std::vector<std::vector<std::size_t>> vms_of_region_;
    std::map<std::string, model_engine> engines_;
    std::shared_ptr<membership::fleet_view> fleet_ =
        std::make_shared<membership::fleet_view>();
    std::map<std::string, model_hub> hubs_; // By region.
    fleet::load_table reports_;             // As held by control VMs.
    model_result result_;
    std::uint64_t next_part_ = 1'000'000'000;
    std::set<std::uint64_t> prefilled_parts_; // Shared ones, by any engine.
};

void model_run::build()
{
    manifest::manifest manifest;
    manifest::upstream_role role;
    role.name = "engine";
    role.is_engine = true;
    role.engine.slots = engine_slots;
    role.engine.memory_tokens = engine_memory;
    role.engine.tokens_per_event = tokens_per_event;
    manifest.roles.push_back(role);
    manifest::traffic_route route;
    route.name = "streams";
    route.host = "host";
    route.path_prefix = "/";
    route.roles = {{"engine", 1}};
    route.pause_target = options_.pause_target;
    manifest.routes.push_back(route);
    const auto routes = std::make_shared<manifest::route_table>(manifest);
    for (const auto& region : options_.regions)
    {
        for (std::size_t n = 0; n < region.engines; ++n)
        {
            membership::upstream_record it;
            it.id = region.name + "-engine-" + std::to_string(n);
            it.address = "10.0.0.1:80";
            it.role = "engine";
            it.region = region.name;
            it.data_center = region.name;
            it.capacity = engine_slots;
            fleet_->upstreams[it.id] = it;
            engines_[it.id];
        }
        vms_of_region_.emplace_back();
        for (std::size_t n = 0; n < region.vms; ++n)
        {
            add_vm(region.name, n);
        }
    }
    for (auto& it : vms_)
    {
        auto own = std::make_shared<membership::fleet_view>(*fleet_);
        own->self = it.id;
        it.view.fleet = own;
        it.view.routes = routes;
        it.view.entry_vms = static_cast<std::uint32_t>(vms_.size());
        it.view.region_entry_vms = static_cast<std::uint32_t>(
            std::count_if(vms_.begin(), vms_.end(), [&](const model_vm& other) {
                return other.region == it.region;
            }));
    }
}

void model_run::add_vm(const std::string& region, std::size_t n)
{
    membership::vm_record record;
    record.id = region + "-vm-" + std::to_string(n);
    record.region = region;
    record.relay_address = "10.0.0.2:90";
    record.entry = true;
    record.ready = true;
    fleet_->vms[record.id] = record;
    model_vm it;
    it.id = record.id;
    it.region = region;
    it.announcer = std::make_unique<fleet::load_notice_builder>(1);
    it.random =
        std::make_unique<core::seeded_random>(options_.seed + vms_.size());
    it.router = std::make_unique<routing::backlog_router>(
        region, options_.router, *it.random);
    vms_of_region_.back().push_back(vms_.size());
    vms_.push_back(std::move(it));
}

void model_run::schedule(core::duration delay, action run)
{
    events_.push(
        {now_ + delay, next_order_++,
         std::make_shared<action>(std::move(run))});
}

double model_run::log_normal(double mean, double spread)
{
    const double u = std::max(1e-12, random_.uniform());
    const double normal =
        std::sqrt(-2 * std::log(u)) * std::cos(6.283185307 * random_.uniform());
    return mean * std::exp(spread * normal - spread * spread / 2);
}

call_pointer model_run::draw_call(std::size_t vm)
{
    auto it = std::make_shared<model_call>();
    double left = random_.uniform();
    std::size_t n = 0;
    while (n + 1 < options_.workloads.size() &&
           left >= options_.workloads[n].share)
    {
        left -= options_.workloads[n++].share;
    }
    const auto& from = options_.workloads[n];
    const auto shared = static_cast<std::uint32_t>(from.shared_tokens);
    const auto own = static_cast<std::uint32_t>(std::clamp(
        log_normal(from.own_tokens, from.own_sigma), 50.0,
        from.max_own_tokens));
    it->vm = vm;
    it->arrived = now_;
    it->last_event = now_;
    it->answer_tokens_total = static_cast<std::uint32_t>(
        tokens_per_event *
        std::max(1.0, std::round(log_normal(from.events, 0.4))));
    auto& request = it->request;
    request.role = "engine";
    request.prompt_tokens = shared + own;
    request.answer_tokens = it->answer_tokens_total;
    request.parts = {
        {(n + 1) * 100'000 + random_.below(from.shared_prefixes), shared},
        {next_part_++, own}};
    request.memory_tokens = engine_memory;
    request.allowed_regions = from.residency_regions;
    request.latency_target = from.latency_target;
    request.urgency = from.urgency;
    request.time_left = from.deadline;
    it->index = result_.calls.size();
    model_result::call call_record;
    call_record.workload = n;
    call_record.prompt_tokens = request.prompt_tokens;
    result_.calls.push_back(call_record);
    return it;
}

void model_run::handle_arrivals(std::size_t region)
{
    const auto& from = options_.regions[region];
    if (now_ - start < options_.length)
    {
        const double u = std::max(1e-12, random_.uniform());
        schedule(
            core::from_seconds(
                -std::log(u) * static_cast<double>(options_.burst_size) /
                from.calls_per_second),
            [this, region] {
                handle_arrivals(region);
            });
    }
    const auto& vms = vms_of_region_[region];
    for (std::size_t n = 0; n < options_.burst_size; ++n)
    {
        place(draw_call(vms[random_.below(vms.size())]));
    }
}

void model_run::place(const call_pointer& it)
{
    auto& vm = vms_[it->vm];
    auto placed = vm.router->choose(vm.view, it->request, now_);
    auto& call_record = result_.calls[it->index];
    call_record.refused = !placed.chosen;
    if (!placed.chosen)
    {
        return;
    }
    it->ticket = placed.chosen->ticket;
    call_record.left_region = !placed.chosen->local;
    if (placed.chosen->local)
    {
        it->network_delay = local_delay;
        deliver(placed.chosen->upstream, it);
        return;
    }
    // A VM of the other region chooses the engine.
    it->network_delay = region_delay;
    schedule(it->network_delay, [this, it, to = placed.chosen->region] {
        place_in_region(it, to);
    });
}

void model_run::place_in_region(
    const call_pointer& it, const std::string& region)
{
    std::vector<std::size_t> there;
    for (std::size_t n = 0; n < vms_.size(); ++n)
    {
        if (vms_[n].region == region)
        {
            there.push_back(n);
        }
    }
    vms_[it->vm].router->finish_call(
        it->ticket, routing::placement_outcome::completed, now_);
    it->vm = there[random_.below(there.size())];
    it->request.local_only = true;
    auto& relay = vms_[it->vm];
    auto placed = relay.router->choose(relay.view, it->request, now_);
    if (!placed.chosen)
    {
        result_.calls[it->index].refused = true;
        return;
    }
    it->ticket = placed.chosen->ticket;
    deliver(placed.chosen->upstream, it);
}

void model_run::deliver(const std::string& engine, call_pointer it)
{
    schedule(local_delay, [this, engine, it = std::move(it)] {
        auto& engine_state = engines_[engine];
        const auto cached = engine_state.cache.cached_tokens(it->request.parts);
        it->tokens_to_prefill = it->request.prompt_tokens - cached;
        const auto& shared = it->request.parts.front();
        result_.tokens_found += cached;
        const bool is_first = prefilled_parts_.insert(shared.id).second;
        result_.tokens_read_again += is_first ? 0 : shared.tokens - cached;
        engine_state.cache.add_prompt(it->request.parts, engine_memory / 2);
        engine_state.waiting.push_back(it);
        if (!engine_state.busy)
        {
            start_step(engine);
        }
    });
}

void model_run::start_step(const std::string& engine)
{
    auto& engine_state = engines_[engine];
    engine_state.busy =
        !engine_state.waiting.empty() || !engine_state.running.empty();
    if (!engine_state.busy)
    {
        return;
    }
    double ms = step_ms + step_ms_per_stream *
                              static_cast<double>(engine_state.running.size());
    std::uint32_t chunk_left = chunk_tokens;
    for (const auto& it : engine_state.waiting)
    {
        if (chunk_left == 0 || engine_state.running.size() >= engine_slots)
        {
            break;
        }
        const auto part =
            std::min(chunk_left, it->tokens_to_prefill - it->prefilled_tokens);
        const double before = it->request.prompt_tokens -
                              it->tokens_to_prefill + it->prefilled_tokens;
        ms += part / prefill_tokens_per_ms +
              attention_ms_per_million_pairs * part * before / 1e6;
        it->prefilled_tokens += part;
        chunk_left -= part;
    }
    schedule(milliseconds_of(ms), [this, engine] {
        end_step(engine);
    });
}

void model_run::end_step(const std::string& engine)
{
    auto& engine_state = engines_[engine];
    for (const auto& it : engine_state.running)
    {
        generate_token(it);
    }
    while (!engine_state.waiting.empty() &&
           engine_state.running.size() < engine_slots &&
           engine_state.waiting.front()->prefilled_tokens ==
               engine_state.waiting.front()->tokens_to_prefill)
    {
        generate_token(engine_state.waiting.front());
        engine_state.running.push_back(engine_state.waiting.front());
        engine_state.waiting.pop_front();
    }
    for (const auto& it : engine_state.running)
    {
        if (it->generated_tokens == it->answer_tokens_total)
        {
            finish_call(it);
        }
    }
    std::erase_if(engine_state.running, [](const auto& it) {
        return it->generated_tokens == it->answer_tokens_total;
    });
    start_step(engine);
}

void model_run::generate_token(const call_pointer& it)
{
    ++it->generated_tokens;
    if (it->generated_tokens % tokens_per_event != 0)
    {
        return;
    }
    const bool first = it->generated_tokens == tokens_per_event;
    const auto elapsed = now_ - it->last_event;
    it->late |= first ? elapsed + it->network_delay > it->request.latency_target
                      : elapsed > options_.pause_target;
    it->last_event = now_;
    if (first)
    {
        vms_[it->vm].router->record_first_event(it->ticket, now_);
    }
}

void model_run::finish_call(const call_pointer& it)
{
    vms_[it->vm].router->finish_call(
        it->ticket, routing::placement_outcome::completed, now_);
    auto& call_record = result_.calls[it->index];
    call_record.served =
        now_ - it->arrived + it->network_delay <= it->request.time_left;
    call_record.on_time = call_record.served && !it->late;
}

void model_run::exchange_reports(std::size_t vm)
{
    auto& it = vms_[vm];
    it.router->remove_stale_state(it.view, now_);
    reports_.set_report(it.id, it.router->own_loads(), now_);
    it.reported_loads.clear();
    for (const auto& row : reports_.sums_excluding(it.id, now_))
    {
        it.reported_loads[row.upstream] = {row.running, row.waiting_tokens};
    }
    update_loads(it);
    if (now_ - start < 2 * options_.length)
    {
        schedule(options_.exchange_interval, [this, vm] {
            exchange_reports(vm);
        });
    }
}

void model_run::update_loads(model_vm& it)
{
    it.view.loads = it.reported_loads;
    it.view.loads_received_at = now_;
    if (options_.notice_interval <= std::chrono::milliseconds())
    {
        return;
    }
    for (const auto& [id, engine] : it.view.fleet->upstreams)
    {
        if (engine.region == it.region)
        {
            it.view.loads.erase(id);
        }
    }
    auto sums = it.received_loads.sums(now_);
    fleet::subtract_loads(sums, it.announcer->sent_rows());
    for (const auto& [id, row] : sums)
    {
        it.view.loads[id] = {row.running, row.waiting_tokens};
    }
}

void model_run::send_notices(std::size_t vm)
{
    auto& from = vms_[vm];
    for (const auto& notice :
         from.announcer->next_notices(from.router->own_loads(), now_))
    {
        schedule(local_delay, [this, vm, notice] {
            hubs_[vms_[vm].region].received_loads.apply(
                vms_[vm].id, notice, now_);
        });
    }
    if (now_ - start < 2 * options_.length)
    {
        schedule(options_.notice_interval, [this, vm] {
            send_notices(vm);
        });
    }
}

void model_run::send_sums(const std::string& region)
{
    auto& hub = hubs_[region];
    std::vector<fleet::load_row> sums;
    for (const auto& [id, it] : hub.received_loads.sums(now_))
    {
        sums.push_back(it);
    }
    for (const auto& notice : hub.announcer.next_notices(sums, now_))
    {
        schedule(local_delay, [this, region, notice] {
            for (auto& it : vms_)
            {
                if (it.region == region)
                {
                    it.received_loads.apply("hub", notice, now_);
                    update_loads(it);
                }
            }
        });
    }
    if (now_ - start < 2 * options_.length)
    {
        schedule(options_.notice_interval, [this, region] {
            send_sums(region);
        });
    }
}

model_result model_run::simulate()
{
    for (std::size_t n = 0; n < vms_.size(); ++n)
    {
        schedule(
            milliseconds_of(
                random_.uniform() *
                static_cast<double>(options_.exchange_interval.count())),
            [this, n] {
                exchange_reports(n);
                if (options_.notice_interval > std::chrono::milliseconds())
                {
                    send_notices(n);
                }
            });
    }
    for (std::size_t n = 0; n < options_.regions.size(); ++n)
    {
        if (options_.notice_interval > std::chrono::milliseconds())
        {
            send_sums(options_.regions[n].name);
        }
        handle_arrivals(n);
    }
    while (!events_.empty())
    {
        const auto next = events_.top();
        events_.pop();
        now_ = next.time;
        (*next.run)();
    }
    return std::move(result_);
}

} // namespace

model_result run_engine_fleet(const model_options& options)
{
    return model_run(options).simulate();
}

} // namespace hyssoploft::test
