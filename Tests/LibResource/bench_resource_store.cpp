// Measures memory and apply time of the resource store by number of accounts,
// and the size of one change. Run manually; see docs/measurements/resources.md.

#include <LibResource/configuration_replica.hpp>
#include <LibResource/samples.hpp>

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>

using namespace hyssoploft;
using namespace hyssoploft::resource;
using namespace hyssoploft::tests;

namespace {

using clock_type = std::chrono::steady_clock;

constexpr int keys_per_account = 2;
constexpr int accounts_per_batch = 100;
constexpr int timed_changes = 200;

std::size_t heap_bytes()
{
    return mallinfo2().uordblks;
}

double microseconds_since(clock_type::time_point start)
{
    return std::chrono::duration<double, std::micro>(clock_type::now() - start)
        .count();
}

std::string account_name(int n)
{
    return core::concat("customer-account-", n);
}

/// Batches that declare `accounts` with a rate and two keys each.
std::vector<std::string> make_log(int accounts)
{
    std::vector<std::string> log;
    resource::upstream_role role;
    role.name = "engine";
    std::vector<change> shared_changes{set(make_fleet()), set(role)};
    for (int n = 0; n < 21; ++n)
    {
        shared_changes.push_back(set(make_route(core::concat("route-", n))));
    }
    log.push_back(encode_batch(make_batch("first", shared_changes)));
    for (int begin = 0; begin < accounts; begin += accounts_per_batch)
    {
        std::vector<change> changes;
        const int end = std::min(accounts, begin + accounts_per_batch);
        for (int n = begin; n < end; ++n)
        {
            const auto name = account_name(n);
            changes.push_back(set(make_account(name)));
            changes.push_back(set(make_rate(name)));
            for (int i = 0; i < keys_per_account; ++i)
            {
                changes.push_back(
                    set(make_key(core::concat(name, "-", i), name)));
            }
        }
        log.push_back(encode_batch(
            make_batch(core::concat("fill-", begin), std::move(changes))));
    }
    return log;
}

double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

/// Median time in microseconds to apply a change of one rate; with `publish`,
/// the configuration is published after each.
double
median_change_microseconds(resource_store& store, int accounts, bool publish)
{
    std::vector<double> times;
    std::shared_ptr<const configuration> published;
    for (int n = 0; n < timed_changes; ++n)
    {
        const auto bytes = encode_batch(make_batch(
            core::concat("change-", publish, "-", n),
            {set(make_rate(
                account_name(n % accounts), (publish ? 1000 : 200) + n))}));
        const auto start = clock_type::now();
        store.apply(bytes);
        if (publish)
        {
            published = store.current();
        }
        times.push_back(microseconds_since(start));
    }
    return median(times);
}

struct measurements
{
    int accounts;
    double fill_ms;
    double replica_mib;
    double store_mib;
    double snapshot_kib;
    double change_us;
    double published_us;
    double install_ms;
};

measurements measure(int accounts)
{
    measurements it{};
    it.accounts = accounts;
    const auto log = make_log(accounts);

    const auto before_store = heap_bytes();
    resource_store store;
    auto start = clock_type::now();
    for (const auto& batch : log)
    {
        store.apply(batch);
    }
    it.fill_ms = microseconds_since(start) / 1000;
    it.store_mib = static_cast<double>(heap_bytes() - before_store) / (1 << 20);
    it.change_us = median_change_microseconds(store, accounts, false);
    it.published_us = median_change_microseconds(store, accounts, true);

    const auto snapshot = encode_configuration(store.view());
    it.snapshot_kib = static_cast<double>(snapshot.size()) / 1024;
    const auto before_replica = heap_bytes();
    configuration_replica replica;
    start = clock_type::now();
    if (!replica.install_snapshot(snapshot).ok())
    {
        std::puts("the snapshot was refused");
    }
    it.install_ms = microseconds_since(start) / 1000;
    it.replica_mib =
        static_cast<double>(heap_bytes() - before_replica) / (1 << 20);
    return it;
}

void print_change_sizes()
{
    auto store = make_store();
    const auto print = [&store](const char* name, const change_batch& batch) {
        const auto version = store.version();
        const auto command = encode_batch(batch);
        store.apply(command);
        const auto events = store.changes_since(version).value();
        std::printf(
            "%-34s command %6zu B, change %6zu B\n", name, command.size(),
            events.empty() ? 0 : events.front().size());
    };
    const std::string request(32, 'r');
    const auto withdrawn = make_key("shop-1", "shop").digest;
    auto fleet = make_fleet(400);
    for (int n = 0; n < 346; ++n)
    {
        fleet.vms.push_back(
            {core::concat("south-vm-", n), "south",
             core::concat("south-dc-", n % 4)});
    }
    print(
        "rate of one account",
        make_batch(request, {set(make_rate("shop", 7))}));
    print(
        "new key", make_batch(
                       core::concat(request, 1),
                       {set(make_key("customer-account-1", "shop"))}));
    print(
        "withdrawal by digest",
        make_batch(core::concat(request, 2), {}, {withdrawn}));
    print(
        "new route",
        make_batch(core::concat(request, 3), {set(make_route("r"))}));
    print(
        "fleet of 350 VMs", make_batch(core::concat(request, 4), {set(fleet)}));
}

} // namespace

int main()
{
    std::printf(
        "%8s %9s %9s %9s %11s %10s %13s %10s\n", "accounts", "fill ms",
        "store MiB", "view MiB", "snapshot KiB", "change us", "published us",
        "install ms");
    measurements base{};
    for (const int accounts : {100, 300, 1000, 3000})
    {
        const auto it = measure(accounts);
        std::printf(
            "%8d %9.1f %9.2f %9.2f %11.1f %10.1f %13.1f %10.2f\n", it.accounts,
            it.fill_ms, it.store_mib, it.replica_mib, it.snapshot_kib,
            it.change_us, it.published_us, it.install_ms);
        if (base.accounts == 0)
        {
            base = it;
        }
        std::printf(
            "%8s %9.1f %9.1f %9.1f %11.1f %10.1f %13.1f %10.1f\n", "ratio",
            it.fill_ms / base.fill_ms, it.store_mib / base.store_mib,
            it.replica_mib / base.replica_mib,
            it.snapshot_kib / base.snapshot_kib, it.change_us / base.change_us,
            it.published_us / base.published_us,
            it.install_ms / base.install_ms);
    }
    print_change_sizes();
}
