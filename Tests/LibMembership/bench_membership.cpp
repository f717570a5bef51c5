// Benchmark of the membership protocol in virtual time: cost for each VM and
// time until changes have reached all VMs.
// Usage: bench_membership [seconds] [VMs...]
//
// Bytes are those of frames, without IP headers. CPU time is that of the whole
// process, including encoding, the fake network and the HMAC of every frame,
// divided by VMs and virtual seconds.

#include <LibMembership/fake_fleet.hpp>

#include <malloc.h>

#include <cstdio>
#include <cstdlib>
#include <ctime>

using namespace hyssoploft;
using namespace std::chrono_literals;

namespace {

double process_seconds()
{
    timespec t{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
    return static_cast<double>(t.tv_sec) +
           1e-9 * static_cast<double>(t.tv_nsec);
}

struct scenario
{
    std::size_t vms;
    std::size_t upstreams;
    std::uint64_t sequence = 0;
    core::time_point next_announcement{};

    // Half of the upstreams are in the largest region, a twentieth in the
    // smallest one.
    std::size_t region_of(std::size_t n) const
    {
        return n % 20 == 0 ? 2 : (n % 20 < 9 ? 1 : 0);
    }

    void announce(tests::fake_fleet& fleet, std::size_t n)
    {
        // An upstream announces itself to one fixed VM of its region.
        const auto regions = 3;
        const auto per_region = vms / regions;
        const auto vm = (n % per_region) * regions + region_of(n);
        if (!fleet.at(vm).up || fleet.at(vm).paused)
        {
            return;
        }
        auto it = tests::make_upstream(n, region_of(n), sequence);
        (void)fleet.member(vm).announce(it, fleet.now());
        membership::load_report load;
        load.running = static_cast<std::uint32_t>((n * 7 + sequence) % 40);
        load.queued = static_cast<std::uint32_t>(n % 5);
        load.tokens_per_second = 700;
        (void)fleet.member(vm).report_load(it.id, load, fleet.now());
    }

    void run(tests::fake_fleet& fleet, core::duration d)
    {
        const auto end = fleet.now() + d;
        while (fleet.now() < end)
        {
            if (fleet.now() >= next_announcement)
            {
                ++sequence;
                next_announcement = fleet.now() + 2s;
                for (std::size_t n = 0; n < upstreams; ++n)
                {
                    announce(fleet, n);
                }
            }
            fleet.run(100ms);
            fleet.all([&](std::size_t n) {
                return fleet.member(n).publish(fleet.now()) != nullptr;
            });
        }
    }

    double until(
        tests::fake_fleet& fleet, const std::function<bool()>& condition,
        core::duration limit)
    {
        const auto start = fleet.now();
        while (!condition() && fleet.now() - start < limit)
        {
            run(fleet, 100ms);
        }
        return core::to_seconds(fleet.now() - start);
    }
};

std::uint64_t count_unusable_upstreams(tests::fake_fleet& fleet)
{
    std::uint64_t count = 0;
    fleet.all([&](std::size_t n) {
        for (const auto& [id, it] : fleet.member(n).upstreams().entries())
        {
            count += it.record.state != membership::upstream_state::serving;
        }
        return true;
    });
    return count;
}

void measure(std::size_t vms, std::size_t seconds)
{
    const auto heap_before = mallinfo2().uordblks;
    tests::fake_options options;
    options.vms = vms;
    options.loss = 0.01;
    tests::fake_fleet fleet(options);
    scenario workload{vms, std::max<std::size_t>(15, 600 * vms / 350)};
    const auto join_seconds = workload.until(
        fleet,
        [&] {
            return fleet.all_joined();
        },
        120s);
    workload.run(fleet, 30s);

    std::vector<tests::traffic> sent;
    std::vector<tests::traffic> received;
    for (std::size_t n = 0; n < vms; ++n)
    {
        sent.push_back(fleet.at(n).sent);
        received.push_back(fleet.at(n).received);
        fleet.at(n).sent_by_type.clear();
    }
    const auto start = process_seconds();
    std::uint64_t lost_leases = 0;
    for (std::size_t n = 0; n < seconds; ++n)
    {
        workload.run(fleet, 1s);
        lost_leases += count_unusable_upstreams(fleet);
    }
    const auto cpu_seconds = process_seconds() - start;
    double bytes_out = 0;
    double bytes_in = 0;
    double messages = 0;
    double busiest = 0;
    double sync_bytes = 0;
    for (std::size_t n = 0; n < vms; ++n)
    {
        const auto& vm = fleet.at(n);
        const auto out = static_cast<double>(vm.sent.bytes - sent[n].bytes);
        const auto in =
            static_cast<double>(vm.received.bytes - received[n].bytes);
        bytes_out += out;
        bytes_in += in;
        busiest = std::max(busiest, out + in);
        messages += static_cast<double>(vm.sent.messages - sent[n].messages);
        const auto sync = vm.sent_by_type.find(3);
        sync_bytes += sync == vm.sent_by_type.end()
                          ? 0
                          : static_cast<double>(sync->second.bytes);
    }
    const auto heap_bytes = mallinfo2().uordblks - heap_before;

    // Propagation times of a new configuration, a withdrawn key, a leaving
    // upstream and a dead VM.
    fleet.member(0).set_config_version(7);
    const auto config_seconds = workload.until(
        fleet,
        [&] {
            return fleet.all([&](std::size_t n) {
                return fleet.member(n).table().self().config_version == 7;
            });
        },
        60s);
    membership::key_digest key{};
    key.fill(9);
    (void)fleet.member(1).withdraw(key);
    const auto withdrawal_seconds = workload.until(
        fleet,
        [&] {
            return fleet.all([&](std::size_t n) {
                return fleet.member(n).withdrawals().items().count(key) != 0;
            });
        },
        60s);
    fleet.all([&](std::size_t n) {
        return !fleet.member(n).leave("upstream3", 1, fleet.now()).ok();
    });
    const auto leave_seconds = workload.until(
        fleet,
        [&] {
            return fleet.all([&](std::size_t n) {
                const auto* it = fleet.member(n).upstreams().find("upstream3");
                return it != nullptr &&
                       it->record.state != membership::upstream_state::serving;
            });
        },
        60s);
    fleet.at(vms - 1).up = false;
    const auto& dead = fleet.at(vms - 1).id;
    const auto dead_at_first_vm = workload.until(
        fleet,
        [&] {
            return !fleet.all([&](std::size_t n) {
                return fleet.member(n).table().find(dead)->record.state !=
                       membership::vm_state::dead;
            });
        },
        60s);
    const auto dead_everywhere =
        dead_at_first_vm +
        workload.until(
            fleet,
            [&] {
                return fleet.all_see(vms - 1, membership::vm_state::dead);
            },
            60s);
    const auto scale = static_cast<double>(vms) * static_cast<double>(seconds);
    std::printf(
        "%4zu %4zu %7.1f %7.2f %7.2f %7.2f %7.2f %6.2f %7.3f %7.2f %9.2e "
        "%6.1f %6.1f %6.1f %6.1f %6.1f\n",
        vms, workload.upstreams, join_seconds, bytes_out / scale / 1000,
        bytes_in / scale / 1000, busiest / static_cast<double>(seconds) / 1000,
        sync_bytes / scale / 1000, messages / scale, 100 * cpu_seconds / scale,
        static_cast<double>(heap_bytes) / static_cast<double>(vms) / (1 << 20),
        static_cast<double>(lost_leases) /
            (scale * static_cast<double>(workload.upstreams)),
        config_seconds, withdrawal_seconds, leave_seconds, dead_at_first_vm,
        dead_everywhere);
    std::fflush(stdout);
}

} // namespace

int main(int argc, char** argv)
{
    const std::size_t seconds =
        argc > 1 ? std::strtoul(argv[1], nullptr, 10) : 60;
    std::vector<std::size_t> sizes;
    for (int n = 2; n < argc; ++n)
    {
        sizes.push_back(std::strtoul(argv[n], nullptr, 10));
    }
    if (sizes.empty())
    {
        sizes = {9, 50, 150, 350};
    }
    std::printf(
        "%4s %4s %7s %7s %7s %7s %7s %6s %7s %7s %9s %6s %6s %6s %6s %6s\n",
        "VMs", "ups", "join_s", "outKB/s", "inKB/s", "max_sum", "syncKB",
        "msg/s", "cpu_%", "heapMB", "lost", "config", "key", "leave", "dead1",
        "deadN");
    for (const auto n : sizes)
    {
        measure(n, seconds);
    }
    return 0;
}
