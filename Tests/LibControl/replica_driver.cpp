// Guards against a process that ends on a full disk, proposals that wait for a
// disk instead of being refused, and answers about what is not on the disk.

#include <LibControl/replica_driver.hpp>
#include <Support/fake_file_system.hpp>
#include <Support/manual_clock.hpp>

#include <LibControl/manifest_store.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <doctest.h>

using namespace hyssoploft;
using namespace std::chrono_literals;
using control::propose_result;
using control::propose_status;
using control::replica_driver;

namespace {

struct recorded_environment final : control::replica_environment
{
    void send_consensus(const std::string&, const std::string&) override
    {
        ++messages;
    }
    void resources_changed() override {}
    void departures_changed() override
    {
        ++departures;
    }
    void role_changed(bool leader, std::uint64_t) override
    {
        leads = leader;
    }
    void disk_full_changed(bool full) override
    {
        full_changes.push_back(full);
    }
    void storage_failed(const absl::Status& status) override
    {
        failure = status;
    }

    int messages = 0;
    int departures = 0;
    bool leads = false;
    std::vector<bool> full_changes;
    absl::Status failure;
};

/// The only control VM of a fleet, on a fake disk.
class control_vm
{
public:
    explicit control_vm(tests::fake_file_system& files) : files_(files)
    {
        control::replica_options options;
        options.vm = "c1";
        options.data_dir = "d";
        options.initial_voters = {"c1"};
        options.files = &files_;
        auto created =
            replica_driver::create(io_, options, environment, clock, random_);
        status = created.status();
        if (created.ok())
        {
            driver = *std::move(created);
        }
    }

    void run(core::duration d)
    {
        const auto end = clock.now() + d;
        while (clock.now() < end)
        {
            clock.advance(50ms);
            driver->tick();
            finish_write();
        }
    }

    void finish_write()
    {
        while (driver->is_writing())
        {
            io_.run_one();
        }
    }

    /// The answers of a proposal so far.
    std::shared_ptr<std::vector<propose_status>> propose(std::uint64_t version)
    {
        auto out = std::make_shared<std::vector<propose_status>>();
        driver->propose(
            control::command_kind::manifest,
            wire::encode(control::manifest_command{version, "document"}),
            [out](const propose_result& it) {
                out->push_back(static_cast<propose_status>(it.status));
            });
        return out;
    }

    std::shared_ptr<std::vector<propose_status>>
    propose_departure(const fleet::departure& it)
    {
        auto out = std::make_shared<std::vector<propose_status>>();
        driver->propose(
            control::command_kind::departure,
            wire::encode(control::departure_command{it, 0}),
            [out](const propose_result& result) {
                out->push_back(static_cast<propose_status>(result.status));
            });
        return out;
    }

    bool has_departed(const fleet::departure& it) const
    {
        return driver->state().departures().items().contains(
            it.upstream, it.incarnation);
    }

    std::uint64_t version() const
    {
        return driver->state().manifests().status().version;
    }

    recorded_environment environment;
    tests::manual_clock clock;
    absl::Status status;

private:
    tests::fake_file_system& files_;
    core::seeded_random random_{1};
    boost::asio::io_context io_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        work_{io_.get_executor()};

public:
    std::unique_ptr<replica_driver> driver; // Ends before the context.
};

using statuses = std::vector<propose_status>;

} // namespace

TEST_CASE("a control VM refuses proposals while its disk is full")
{
    tests::fake_file_system files(1);
    control_vm vm(files);
    REQUIRE(vm.status.ok());
    vm.run(5s);
    REQUIRE(vm.environment.leads);
    const auto first = vm.propose(1);
    vm.run(1s);
    CHECK_EQ(*first, statuses{propose_status::committed});

    files.is_full = true;
    const auto doubtful = vm.propose(2);
    vm.finish_write();
    CHECK(vm.driver->is_disk_full());
    // It was in the log before the disk refused it.
    CHECK_EQ(*doubtful, statuses{propose_status::lost});
    CHECK_FALSE(vm.environment.leads);
    CHECK_EQ(vm.version(), 1);
    const auto before = files.operations;
    vm.run(60s);
    CHECK_EQ(vm.version(), 1);
    // A refused append and its cut are two operations. After five doublings
    // the probes come once a second.
    CHECK_LE(files.operations - before, 2 * 65);
    CHECK_EQ(vm.environment.full_changes, std::vector<bool>{true});
    CHECK(vm.environment.failure.ok());

    files.is_full = false;
    vm.run(5s);
    CHECK_EQ(vm.environment.full_changes, std::vector<bool>{true, false});
    REQUIRE(vm.environment.leads);
    const auto last = vm.propose(3);
    vm.run(1s);
    CHECK_EQ(*last, statuses{propose_status::committed});
    CHECK_EQ(vm.version(), 3);
}

TEST_CASE("a process starts on a full disk, serves reads and waits for space")
{
    tests::fake_file_system files(1);
    {
        control_vm vm(files);
        vm.run(5s);
        const auto done = vm.propose(7);
        vm.run(5s);
        REQUIRE_EQ(*done, statuses{propose_status::committed});
    }
    files.refuses = tests::full_disk_refuses::truncation;
    files.is_full = true;
    control_vm vm(files);
    REQUIRE(vm.status.ok());
    CHECK_FALSE(vm.driver->is_announceable());
    vm.run(10s);
    CHECK_EQ(vm.version(), 7);
    CHECK_EQ(vm.environment.messages, 0);
    CHECK_FALSE(vm.environment.leads);
    CHECK_EQ(*vm.propose(8), statuses{propose_status::not_leader});
    CHECK(vm.environment.failure.ok());

    files.is_full = false;
    vm.run(5s);
    CHECK(vm.driver->is_announceable());
    REQUIRE(vm.environment.leads);
    const auto done = vm.propose(9);
    vm.run(1s);
    CHECK_EQ(*done, statuses{propose_status::committed});
    CHECK_EQ(vm.environment.full_changes, std::vector<bool>{true, false});
}

TEST_CASE("a new control VM starts on a full disk")
{
    tests::fake_file_system files(1);
    files.refuses = tests::full_disk_refuses::truncation;
    files.is_full = true;
    control_vm vm(files);
    REQUIRE(vm.status.ok());
    vm.run(5s);
    CHECK_FALSE(vm.driver->is_announceable());
    CHECK_FALSE(vm.environment.leads);
    files.is_full = false;
    vm.run(5s);
    CHECK(vm.environment.leads);
}

TEST_CASE("any other error of the disk still ends the replica")
{
    tests::fake_file_system files(1);
    control_vm vm(files);
    vm.run(5s);
    REQUIRE(vm.environment.leads);
    files.fail_sync_at = files.syncs + 1;
    vm.propose(1);
    vm.finish_write();
    CHECK_FALSE(vm.environment.failure.ok());
    CHECK(vm.environment.full_changes.empty());
}

// An acknowledged departure was lost with the process that had taken it
// (review/12).
TEST_CASE("a committed departure survives the loss of power")
{
    tests::fake_file_system files(1);
    const fleet::departure left{"u", 5};
    {
        control_vm vm(files);
        vm.run(5s);
        const auto done = vm.propose_departure(left);
        CHECK(done->empty());
        vm.run(1s);
        REQUIRE_EQ(*done, statuses{propose_status::committed});
        CHECK(vm.has_departed(left));
        CHECK_EQ(vm.environment.departures, 1);
    }
    files.restart();
    control_vm vm(files);
    REQUIRE(vm.status.ok());
    vm.run(5s);
    REQUIRE(vm.environment.leads);
    CHECK(vm.has_departed(left));
    CHECK_FALSE(vm.has_departed({"u", 6}));
    CHECK_EQ(vm.environment.departures, 1);
}

TEST_CASE("a departure is not committed before it is on the disk")
{
    tests::fake_file_system files(1);
    control_vm vm(files);
    vm.run(5s);
    files.is_full = true;
    const auto done = vm.propose_departure({"u", 5});
    vm.finish_write();
    CHECK_EQ(*done, statuses{propose_status::lost});
    CHECK_FALSE(vm.has_departed({"u", 5}));
}

TEST_CASE("a departure ends by the time of the log, across restarts")
{
    tests::fake_file_system files(1);
    const fleet::departure left{"u", 5};
    {
        control_vm vm(files);
        vm.run(5s);
        vm.propose_departure(left);
        vm.run(300s);
        CHECK(vm.has_departed(left));
    }
    files.restart();
    control_vm vm(files);
    vm.run(240s);
    CHECK(vm.has_departed(left));
    // Log time advances every 30 s, and stands still without a leader.
    vm.run(150s);
    CHECK_FALSE(vm.has_departed(left));
}
