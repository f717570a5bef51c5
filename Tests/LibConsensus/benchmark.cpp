// Benchmarks commit latency and throughput of three replicas in one process on
// the real file system, relative to a plain append and sync on the same disk in
// the same run, and recovery time by length of the log.
//
// Usage: bench_consensus DIRECTORY

#include <LibConsensus/consensus_node.hpp>
#include <LibConsensus/file_log_storage.hpp>
#include <LibStorage/posix_file_system.hpp>

#include <glog/logging.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <deque>
#include <filesystem>

using namespace hyssoploft;
using namespace hyssoploft::consensus;

namespace {

using benchmark_clock = std::chrono::steady_clock;

constexpr std::size_t command_bytes = 256;
constexpr int rounds = 300;

double milliseconds_since(benchmark_clock::time_point start)
{
    return std::chrono::duration<double, std::milli>(
               benchmark_clock::now() - start)
        .count();
}

double quantile(std::vector<double> values, double q)
{
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(
        q * static_cast<double>(values.size() - 1))];
}

/// Three replicas without a network; their batches are synced one by one.
class local_cluster
{
public:
    local_cluster(storage::file_system& files, const std::string& directory)
        : random_(1)
    {
        std::vector<replica_id> ids;
        std::array<persisted_state, 3> found;
        for (std::size_t i = 0; i < 3; ++i)
        {
            auto opened = file_log_storage::open(
                files, directory + "/" + std::to_string(i), random_, found[i]);
            CHECK(opened.ok()) << opened.status();
            storages_[i] = std::move(*opened);
            ids.push_back(found[i].self);
        }
        for (std::size_t i = 0; i < 3; ++i)
        {
            nodes_[i] =
                *consensus_node::create({}, std::move(found[i]), random_, {});
            CHECK(nodes_[i]->bootstrap(ids).ok());
        }
        nodes_[0]->tick(nodes_[0]->next_deadline());
        run_until_idle();
        CHECK(nodes_[0]->role() == replica_role::leader);
    }

    /// Proposes the commands and runs until the leader has committed them.
    void commit(int commands)
    {
        for (int i = 0; i < commands; ++i)
        {
            CHECK(nodes_[0]->propose(std::string(command_bytes, 'x')).ok());
        }
        run_until_idle();
        CHECK_EQ(nodes_[0]->commit_index(), nodes_[0]->last().index);
    }

    std::uint64_t syncs = 0;

private:
    void run_until_idle()
    {
        bool has_work = true;
        while (has_work)
        {
            has_work = false;
            for (std::size_t i = 0; i < 3; ++i)
            {
                auto out = nodes_[i]->take_output();
                for (auto& it : out.messages)
                {
                    inbox_.push_back(std::move(it));
                }
                if (out.persist)
                {
                    CHECK(storages_[i]->persist(*out.persist).ok());
                    ++syncs;
                    nodes_[i]->persisted(out.persist->sequence, {});
                    has_work = true;
                }
            }
            while (!inbox_.empty())
            {
                const message it = std::move(inbox_.front());
                inbox_.pop_front();
                for (auto& node : nodes_)
                {
                    node->receive(it, {});
                }
                has_work = true;
            }
        }
    }

    core::seeded_random random_;
    std::array<std::unique_ptr<file_log_storage>, 3> storages_;
    std::array<std::unique_ptr<consensus_node>, 3> nodes_;
    std::deque<message> inbox_;
};

/// Milliseconds of one append and its sync.
double measure_plain_sync(storage::file& file, const std::string& block)
{
    const auto start = benchmark_clock::now();
    CHECK(file.append(block).ok());
    CHECK(file.sync().ok());
    return milliseconds_since(start);
}

void measure_commits(storage::file_system& files, const std::string& directory)
{
    std::printf("Three replicas sync one after the other, so the ratio of a "
                "commit to a plain sync is 3 at best.\n"
                "batch  plain ms p50/p95  commit ms p50/p95  ratio of means  "
                "commits/s  syncs/commit\n");
    for (const int batch : {1, 4, 16, 64, 256})
    {
        const std::string run_directory =
            directory + "/batch" + std::to_string(batch);
        CHECK(files.create_directory(run_directory).ok());
        local_cluster it(files, run_directory);
        const std::uint64_t syncs = it.syncs;
        auto file = files.open(run_directory + "/plain");
        CHECK(file.ok()) << file.status();
        const std::string block(
            static_cast<std::size_t>(batch) * command_bytes, 'x');
        std::vector<double> plain;
        std::vector<double> times;
        double plain_total = 0;
        double total = 0;
        // Interleaved, so that both see the same disk load.
        for (int i = 0; i < rounds; ++i)
        {
            plain.push_back(measure_plain_sync(**file, block));
            plain_total += plain.back();
            const auto start = benchmark_clock::now();
            it.commit(batch);
            times.push_back(milliseconds_since(start));
            total += times.back();
        }
        std::printf(
            "%5d  %7.3f / %6.3f  %8.3f / %6.3f  %14.2f  %9.0f  %12.3f\n", batch,
            quantile(plain, 0.5), quantile(plain, 0.95), quantile(times, 0.5),
            quantile(times, 0.95), total / plain_total,
            rounds * batch * 1000.0 / total,
            static_cast<double>(it.syncs - syncs) / (rounds * batch));
    }
}

void measure_recovery(storage::file_system& files, const std::string& directory)
{
    std::printf("\nentries  log MiB  plain read+sync ms  recovery ms  "
                "us/entry  ratio\n");
    constexpr std::uint64_t entries_per_record = 16;
    for (const std::uint64_t length : {2000U, 8000U, 32000U, 128000U})
    {
        const std::string run_directory =
            directory + "/log" + std::to_string(length);
        core::seeded_random random(1);
        persisted_state found;
        auto storage =
            file_log_storage::open(files, run_directory, random, found);
        CHECK(storage.ok()) << storage.status();
        persist_batch batch;
        batch.state = {1, 0};
        for (std::uint64_t i = 1; i <= length; ++i)
        {
            batch.entries.push_back(
                {{i, 1}, entry_kind::command, std::string(command_bytes, 'x')});
            if (i % entries_per_record == 0)
            {
                CHECK((*storage)->persist(batch).ok());
                batch.entries.clear();
            }
        }
        const double mib =
            static_cast<double>((*storage)->log_bytes()) / (1U << 20);
        std::vector<double> plain;
        std::vector<double> times;
        for (int i = 0; i < 5; ++i)
        {
            auto start = benchmark_clock::now();
            const auto content = files.read(run_directory + "/replica.log");
            const std::string copy = run_directory + "/copy";
            (void)files.remove(copy);
            auto file = files.open(copy);
            CHECK((*file)->append(*content).ok() && (*file)->sync().ok());
            plain.push_back(milliseconds_since(start));
            CHECK(files.remove(copy).ok());

            start = benchmark_clock::now();
            persisted_state recovered;
            auto reopened =
                file_log_storage::open(files, run_directory, random, recovered);
            CHECK(reopened.ok()) << reopened.status();
            CHECK_EQ(recovered.entries.size(), length);
            auto node = consensus_node::create({}, recovered, random, {});
            CHECK(node.ok());
            times.push_back(milliseconds_since(start));
        }
        const double recovery = quantile(times, 0.5);
        std::printf(
            "%7llu  %7.2f  %18.2f  %11.2f  %8.2f  %5.2f\n",
            static_cast<unsigned long long>(length), mib, quantile(plain, 0.5),
            recovery, recovery * 1000 / static_cast<double>(length),
            recovery / quantile(plain, 0.5));
    }
}

} // namespace

int main(int argc, char** argv)
{
    google::InitGoogleLogging(argv[0]);
    FLAGS_minloglevel = google::GLOG_ERROR;
    if (argc != 2)
    {
        std::fprintf(stderr, "usage: bench_consensus DIRECTORY\n");
        return 2;
    }
    const std::string directory = std::string(argv[1]) + "/bench_consensus";
    std::error_code ec;
    std::filesystem::remove_all(directory, ec);
    storage::posix_file_system files;
    CHECK(files.create_directory(directory).ok());
    measure_commits(files, directory);
    measure_recovery(files, directory);
    std::filesystem::remove_all(directory, ec);
    return 0;
}
