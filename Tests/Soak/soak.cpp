// Randomized fault soak: runs a fleet of real processes on loopback addresses,
// harms processes, connections and disks in series and at once, and checks
// the promises from outside meanwhile. Exits with 1 if one was broken.

#include <LibCore/clock.hpp>
#include <LibCore/random_source.hpp>
#include <LibCore/text.hpp>
#include <LibHttp/traffic_thread.hpp>
#include <Soak/fault_proxy.hpp>
#include <Soak/promise_checker.hpp>
#include <Soak/soak_fleet.hpp>
#include <Soak/soak_load.hpp>
#include <Soak/upstream_stand_in.hpp>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>

#include <csignal>
#include <filesystem>
#include <functional>
#include <future>
#include <iostream>
#include <memory>

ABSL_FLAG(std::string, program, "", "Path of the daemon.");
ABSL_FLAG(std::uint64_t, seed, 1, "Seed of the faults and the load.");
ABSL_FLAG(double, seconds, 20, "Time with faults, in seconds.");
ABSL_FLAG(std::uint32_t, control_vms, 3, "Control VMs.");
ABSL_FLAG(std::uint32_t, entry_vms, 3, "Entry VMs.");
ABSL_FLAG(std::uint32_t, callers, 12, "Callers at the same time.");
ABSL_FLAG(std::string, directory, "", "For logs and data; kept if it fails.");

namespace hyssoploft::soak {
namespace {

namespace asio = http::asio;
using std::chrono::milliseconds;

/// Time after the last fault in which the fleet has to serve again: the users'
/// bound for their shortest deployment.
constexpr std::chrono::seconds recovery_time{12};
constexpr int recovery_probes = 40;
/// Part of the probes after the recovery that has to be served.
constexpr double recovered_share = 0.9;
/// A lost disk is repaired before the next one may be lost: a new replica
/// takes the place of the old one after 2.5 s of silence.
constexpr std::chrono::seconds disk_repair_time{10};
constexpr milliseconds stop_interval{4000};
/// Longer than an upstream may be silent before it is given no more calls.
constexpr milliseconds silence_time{4000};
constexpr milliseconds spoiling_time{4000};
/// The users' bounds: control VMs are in touch again some time after the last
/// disturbance, and departures then hold.
constexpr milliseconds contact_time{5000};
constexpr milliseconds drain_time{3000};
constexpr milliseconds observed_time{2000};
/// In which an upstream that starts again has to be given requests.
constexpr milliseconds comeback_time{3000};
constexpr int departure_tries = 12;

class soak_run
{
public:
    soak_run()
        : random_(absl::GetFlag(FLAGS_seed)),
          thread_(std::make_shared<http::traffic_thread>())
    {}

    ~soak_run()
    {
        thread_->stop();
    }

    absl::Status open(const std::string& directory)
    {
        const auto seed = absl::GetFlag(FLAGS_seed);
        fleet_layout layout;
        layout.program = absl::GetFlag(FLAGS_program);
        layout.directory = directory;
        // Runs at the same time use networks of their own.
        layout.network =
            core::concat("127.", 50 + seed / 200 % 200, ".", 1 + seed % 200);
        layout.control = absl::GetFlag(FLAGS_control_vms);
        layout.entry = absl::GetFlag(FLAGS_entry_vms);
        fleet_ = std::make_unique<soak_fleet>(layout);
        if (auto status = fleet_->start(); !status.ok())
        {
            return status;
        }
        load_targets targets;
        for (std::size_t vm = 0; vm < fleet_->size(); ++vm)
        {
            const auto address = asio::ip::make_address(fleet_->ip(vm));
            if (fleet_->is_control(vm))
            {
                targets.control.push_back({address, control_port});
                continue;
            }
            auto proxy = fault_proxy::create(
                thread_->context(), core::concat(layout.network, ".200"),
                {address, entry_port});
            if (!proxy.ok())
            {
                return proxy.status();
            }
            targets.entries.push_back((*proxy)->endpoint());
            proxies_.push_back(*std::move(proxy));
        }
        if (auto status = open_upstreams(layout, targets); !status.ok())
        {
            return status;
        }
        load_ = std::make_unique<soak_load>(
            thread_->context(), targets, checker_, random_);
        return absl::OkStatus();
    }

    int run()
    {
        auto done =
            asio::co_spawn(thread_->context(), play(), asio::use_future);
        done.get();
        for (const auto& it : checker_.violations())
        {
            std::cout << "violation: " << it << "\n";
        }
        std::cout << "seed " << absl::GetFlag(FLAGS_seed) << ": "
                  << checker_.requests() << " requests, "
                  << checker_.successes() << " served whole, "
                  << checker_.newest_acknowledged()
                  << " is the newest acknowledged version, "
                  << checker_.violations().size() << " broken promises\n";
        return checker_.violations().empty() ? 0 : 1;
    }

private:
    absl::Status
    open_upstreams(const fleet_layout& layout, const load_targets& targets)
    {
        int host = 100;
        for (std::size_t n = 0; n < 2 * layout.data_centers; ++n)
        {
            for (const char* role : {"booking", "engine"})
            {
                auto made = upstream_stand_in::create(
                    thread_,
                    {core::concat("u", host),
                     core::concat(layout.network, ".", host), role,
                     core::concat("dc", n % layout.data_centers),
                     targets.control},
                    checker_, random_);
                if (!made.ok())
                {
                    return made.status();
                }
                upstreams_.push_back(*std::move(made));
                ++host;
            }
        }
        return absl::OkStatus();
    }

    asio::awaitable<void> wait(milliseconds d)
    {
        http::error_code ec;
        asio::steady_timer timer(thread_->context(), d);
        co_await timer.async_wait(
            asio::redirect_error(asio::use_awaitable, ec));
    }

    // Runs `end` after a random time of at least `least`; faults overlap.
    void later(
        milliseconds most, std::function<void()> end,
        milliseconds least = milliseconds(100))
    {
        ++open_faults_;
        asio::co_spawn(
            thread_->context(),
            [this, most, least,
             end = std::move(end)]() -> asio::awaitable<void> {
                co_await wait(
                    least + milliseconds(random_.below(
                                static_cast<std::uint64_t>(most.count()))));
                end();
                --open_faults_;
            },
            asio::detached);
    }

    void report(const char* fault, std::size_t vm)
    {
        std::cout << core::concat(
            "fault: ", fault, " ", vm, " at request ", checker_.requests(),
            "\n");
    }

    std::size_t any_vm()
    {
        return random_.below(static_cast<std::uint64_t>(fleet_->size()));
    }

    std::size_t any_control()
    {
        return random_.below(absl::GetFlag(FLAGS_control_vms));
    }

    void harm_link()
    {
        const auto fault = static_cast<link_fault>(1 + random_.below(4));
        const auto n = random_.below(
            static_cast<std::uint64_t>(proxies_.size() + upstreams_.size()));
        auto* proxy = n < proxies_.size()
                          ? proxies_[n].get()
                          : &upstreams_[n - proxies_.size()]->proxy();
        report(core::name_of(link_fault_names, fault).data(), n);
        proxy->set(fault);
        later(milliseconds(3000), [proxy] {
            proxy->set(link_fault::none);
        });
    }

    void pause(std::size_t vm)
    {
        report("pause", vm);
        fleet_->signal(vm, SIGSTOP);
        const auto resume = [this, vm] {
            fleet_->signal(vm, SIGCONT);
        };
        if (fleet_->is_control(vm))
        {
            later(milliseconds(3000), resume);
            return;
        }
        // Permissions of the requests that it had accepted run out meanwhile.
        later(milliseconds(12000), resume, milliseconds(3000));
    }

    void lose_disk()
    {
        const auto now = clock_.now();
        if (now < next_disk_)
        {
            return;
        }
        next_disk_ = now + disk_repair_time;
        const auto vm = any_control();
        report("lose_disk", vm);
        fleet_->stop(vm);
        later(milliseconds(500), [this, vm] {
            fleet_->lose_disk(vm);
            fleet_->resume(vm);
        });
    }

    void harm()
    {
        const auto vm = any_vm();
        switch (random_.below(9))
        {
        case 0:
            report("kill", vm);
            fleet_->signal(vm, SIGKILL);
            return;
        case 1:
            report("terminate", vm);
            fleet_->signal(vm, SIGTERM);
            return;
        case 2:
            pause(vm);
            return;
        case 3:
            report("change_settings", vm);
            fleet_->change_settings(vm, random_.below(3));
            return;
        case 4:
            if (random_.below(3) == 0)
            {
                report("kill_all", 0);
                for (std::size_t n = 0; n < fleet_->size(); ++n)
                {
                    fleet_->signal(n, SIGKILL);
                }
            }
            return;
        case 5:
            lose_disk();
            return;
        case 6: {
            const auto control = any_control();
            report("limit_files", control);
            fleet_->limit_files(control, true);
            later(milliseconds(1500), [this, control] {
                fleet_->limit_files(control, false);
            });
            return;
        }
        default:
            harm_link();
            return;
        }
    }

    asio::awaitable<void> keep_processes()
    {
        while (!finished_)
        {
            fleet_->poll();
            co_await wait(milliseconds(200));
        }
    }

    asio::awaitable<void> play()
    {
        for (const auto& it : proxies_)
        {
            it->start();
        }
        for (const auto& it : upstreams_)
        {
            it->start();
        }
        asio::co_spawn(thread_->context(), keep_processes(), asio::detached);
        if (!co_await load_->put_first())
        {
            checker_.broken("no control VM took the first document");
            finished_ = true;
            co_return;
        }
        for (std::uint32_t n = 0; n < absl::GetFlag(FLAGS_callers); ++n)
        {
            asio::co_spawn(
                thread_->context(), load_->call_until_stopped(),
                asio::detached);
        }
        asio::co_spawn(
            thread_->context(), load_->operate_until_stopped(), asio::detached);
        co_await wait(milliseconds(1500));
        const auto end =
            clock_.now() + core::from_seconds(absl::GetFlag(FLAGS_seconds));
        while (clock_.now() < end)
        {
            harm();
            co_await wait(milliseconds(random_.below(900)));
        }
        while (open_faults_ > 0)
        {
            co_await wait(milliseconds(100));
        }
        co_await wait(recovery_time);
        int served = 0;
        for (int n = 0; n < recovery_probes; ++n)
        {
            served += co_await load_->probe() ? 1 : 0;
        }
        if (served < recovered_share * recovery_probes)
        {
            checker_.broken(core::concat(
                "after the recovery ", served, " of ", recovery_probes,
                " requests were served"));
        }
        co_await stop_entry_vms();
        co_await silence_upstreams();
        co_await let_upstreams_leave();
        co_await spoil_answers();
        co_await load_->read_at_the_end();
        load_->stop();
        co_await wait(milliseconds(4500)); // The callers' last answers.
        checker_.finish();
        finished_ = true;
        co_await wait(milliseconds(300));
    }

    // Each entry VM in turn, while callers keep their connections to it.
    asio::awaitable<void> stop_entry_vms()
    {
        checker_.set_disturbance(disturbance::planned_stops);
        for (std::size_t vm = 0; vm < fleet_->size(); ++vm)
        {
            if (!fleet_->is_control(vm))
            {
                report("planned_stop", vm);
                fleet_->signal(vm, SIGTERM);
                co_await wait(stop_interval);
            }
        }
    }

    asio::awaitable<void> silence_upstreams()
    {
        checker_.set_disturbance(disturbance::silent_upstreams);
        // Half of each role and data centre; the others remain announced.
        for (std::size_t n = 0; n < upstreams_.size() / 2; ++n)
        {
            report("silent_upstream", n);
            upstreams_[n]->set_silent(true);
        }
        co_await wait(silence_time);
        for (const auto& it : upstreams_)
        {
            it->set_silent(false);
        }
        co_await wait(milliseconds(1000)); // All are announced again.
    }

    // Half of each role and data centre; the control VM that acknowledges a
    // departure is killed at once, and a late announcement follows.
    asio::awaitable<void> let_upstreams_leave()
    {
        checker_.set_disturbance(disturbance::departures);
        const std::size_t leaving = upstreams_.size() / 2;
        for (std::size_t n = 0; n < leaving; ++n)
        {
            co_await leave(n);
        }
        co_await wait(contact_time);
        for (std::size_t n = 0; n < leaving; ++n)
        {
            co_await upstreams_[n]->repeat_announcement();
        }
        co_await wait(drain_time);
        // What is sent from here on reaches none of them.
        checker_.set_disturbance(disturbance::departures);
        for (std::size_t n = 0; n < leaving; ++n)
        {
            upstreams_[n]->set_departed();
        }
        co_await wait(observed_time);
        std::uint64_t runs = 0;
        for (std::size_t n = 0; n < leaving; ++n)
        {
            upstreams_[n]->start_again();
        }
        co_await wait(comeback_time);
        for (std::size_t n = 0; n < leaving; ++n)
        {
            runs += upstreams_[n]->runs();
        }
        if (runs == 0)
        {
            checker_.broken("no upstream that started again was used");
        }
    }

    asio::awaitable<void> leave(std::size_t n)
    {
        auto vm = any_control();
        bool acknowledged = false;
        for (int tries = 0; tries < departure_tries && !acknowledged; ++tries)
        {
            vm = (vm + 1) % absl::GetFlag(FLAGS_control_vms);
            acknowledged = co_await upstreams_[n]->leave(vm);
            if (!acknowledged)
            {
                co_await wait(milliseconds(100));
            }
        }
        if (!acknowledged)
        {
            checker_.broken(core::concat("departure ", n, " was refused"));
        }
        report("departure", n);
        fleet_->signal(vm, SIGKILL);
    }

    asio::awaitable<void> spoil_answers()
    {
        checker_.set_disturbance(disturbance::faulty_answers);
        for (const auto fault :
             {link_fault::repeat_answers, link_fault::trickle_answers})
        {
            const auto n =
                random_.below(static_cast<std::uint64_t>(upstreams_.size()));
            report(core::name_of(link_fault_names, fault).data(), n);
            upstreams_[n]->proxy().set(fault);
            co_await wait(spoiling_time);
            upstreams_[n]->proxy().set(link_fault::none);
        }
        // Calls that trickle end at the time of their route.
        co_await wait(longest_timeout + milliseconds(1000));
        checker_.set_disturbance(disturbance::random_faults);
    }

    core::suspend_aware_clock clock_;
    core::seeded_random random_; // Used on the one thread of the run.
    promise_checker checker_;
    std::unique_ptr<soak_fleet> fleet_;
    std::shared_ptr<http::traffic_thread> thread_;
    std::vector<std::shared_ptr<fault_proxy>> proxies_; // Of the entry VMs.
    std::vector<std::shared_ptr<upstream_stand_in>> upstreams_;
    std::unique_ptr<soak_load> load_;
    core::time_point next_disk_{};
    int open_faults_ = 0;
    bool finished_ = false;
};

} // namespace
} // namespace hyssoploft::soak

int main(int argc, char** argv)
{
    using namespace hyssoploft;
    absl::ParseCommandLine(argc, argv);
    // A write to a connection that was reset must not end the soak.
    std::signal(SIGPIPE, SIG_IGN);
    const auto own = absl::GetFlag(FLAGS_directory);
    const std::filesystem::path directory =
        own.empty() ? std::filesystem::temp_directory_path() /
                          core::concat("soak-", absl::GetFlag(FLAGS_seed))
                    : std::filesystem::path(own);
    std::filesystem::remove_all(directory);
    std::filesystem::create_directories(directory);
    int result = 1;
    {
        soak::soak_run run;
        if (const auto status = run.open(directory.string()); !status.ok())
        {
            std::cout << "not run: " << status.ToString() << "\n";
            return 2;
        }
        result = run.run();
    }
    if (result == 0)
    {
        std::filesystem::remove_all(directory);
    }
    else
    {
        std::cout << "logs: " << directory.string() << "\n";
    }
    return result;
}
