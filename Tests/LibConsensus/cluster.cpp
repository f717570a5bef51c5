// Simulated network, disks and driver of the replicas.

#include <LibConsensus/cluster.hpp>

#include <cereal/archives/portable_binary.hpp>
#include <doctest.h>

#include <algorithm>
#include <sstream>

namespace hyssoploft::tests {

namespace {

constexpr auto step_duration = milliseconds(1);
constexpr auto space_probe_interval = milliseconds(250);

} // namespace

std::string command_list::apply(std::uint64_t, std::string_view command)
{
    commands.emplace_back(command);
    return commands.back();
}

std::string command_list::take_snapshot()
{
    std::ostringstream out;
    cereal::PortableBinaryOutputArchive ar(out);
    ar(commands);
    return out.str();
}

absl::Status command_list::install_snapshot(std::string_view bytes)
{
    std::istringstream in{std::string(bytes)};
    cereal::PortableBinaryInputArchive ar(in);
    ar(commands);
    return absl::OkStatus();
}

cluster::cluster(std::uint64_t seed, std::size_t voters) : random(seed)
{
    for (std::size_t i = 0; i < voters; ++i)
    {
        initial_voters_.push_back(replicas[add()].id);
    }
    for (auto& it : replicas)
    {
        REQUIRE(it.node->bootstrap(initial_voters_).ok());
    }
}

std::size_t cluster::add()
{
    replicas.emplace_back();
    replicas.back().clock_rate = 1;
    lose_disk(replicas.size() - 1);
    return replicas.size() - 1;
}

void cluster::lose_disk(std::size_t n)
{
    crash(n);
    replicas[n].storage.reset();
    replicas[n].disk = std::make_unique<fake_file_system>(random.next());
    REQUIRE(restart(n));
}

void cluster::crash(std::size_t n)
{
    replicas[n].node.reset();
    replicas[n].writing.reset();
}

bool cluster::restart(std::size_t n)
{
    replica& it = replicas[n];
    it.disk->restart();
    consensus::persisted_state found;
    auto storage =
        consensus::file_log_storage::load(*it.disk, "data", random, found);
    if (!storage.ok())
    {
        return false;
    }
    const auto durable = (*storage)->make_durable();
    if (!durable.ok() && !absl::IsResourceExhausted(durable))
    {
        return false;
    }
    it.is_loaded = durable.ok();
    it.write_due = now + space_probe_interval;
    it.storage = std::move(*storage);
    it.id = found.self;
    it.machine.commands.clear();
    it.applied = 0;
    auto node = consensus::consensus_node::create(
        options, std::move(found), random, local_time(it));
    REQUIRE(node.ok());
    it.node = std::move(*node);
    // Succeeds only if the replica crashed before its bootstrap was synced.
    (void)(initial_voters_.empty() || it.node->bootstrap(initial_voters_).ok());
    return true;
}

core::time_point cluster::local_time(const replica& it) const
{
    return core::time_point(
        core::from_seconds(core::to_seconds(now) * it.clock_rate));
}

void cluster::set_link(std::size_t from, std::size_t to, bool up)
{
    if (up)
    {
        cut_links_.erase({from, to});
    }
    else
    {
        cut_links_.insert({from, to});
    }
}

void cluster::isolate(std::size_t n, bool isolated)
{
    for (std::size_t i = 0; i < replicas.size(); ++i)
    {
        set_link(n, i, !isolated);
        set_link(i, n, !isolated);
    }
}

void cluster::run(core::duration d)
{
    run_until(
        [] {
            return false;
        },
        d);
}

bool cluster::run_until(const std::function<bool()>& done, core::duration bound)
{
    const auto end = now + bound;
    while (!done())
    {
        if (now >= end)
        {
            return false;
        }
        step();
    }
    return true;
}

void cluster::step()
{
    now += step_duration;
    while (!in_transit_.empty() && in_transit_.begin()->first <= now)
    {
        const delivery it = std::move(in_transit_.begin()->second);
        in_transit_.erase(in_transit_.begin());
        std::istringstream in(it.bytes);
        cereal::PortableBinaryInputArchive ar(in);
        consensus::message received;
        ar(received);
        for (std::size_t n = 0; n < replicas.size(); ++n)
        {
            replica& to = replicas[n];
            if (is_running(to) && to.id == it.to &&
                !cut_links_.contains({it.from, n}))
            {
                to.node->receive(received, local_time(to));
                process_output(n);
            }
        }
    }
    for (std::size_t n = 0; n < replicas.size(); ++n)
    {
        replica& it = replicas[n];
        if (it.node && !it.is_loaded && it.write_due <= now)
        {
            it.write_due = now + space_probe_interval;
            it.is_loaded = it.storage->make_durable().ok();
        }
        if (is_running(it) && it.writing && it.write_due <= now)
        {
            finish_write(n);
        }
        if (is_running(it) && it.node->next_deadline() <= local_time(it))
        {
            it.node->tick(local_time(it));
            process_output(n);
        }
    }
}

void cluster::set_full(std::size_t n, bool full)
{
    replicas[n].disk->refuses = full_disk_refuses::truncation;
    replicas[n].disk->is_full = full;
}

void cluster::finish_write(std::size_t n)
{
    replica& it = replicas[n];
    const auto status = it.storage->persist(*it.writing);
    if (absl::IsResourceExhausted(status))
    {
        it.write_due = now + space_probe_interval;
        it.node->set_storage_full(true, local_time(it));
        process_output(n);
        return;
    }
    const auto batch = *std::exchange(it.writing, std::nullopt);
    if (!status.ok())
    {
        crash(n);
        return;
    }
    it.node->set_storage_full(false, local_time(it));
    it.node->persisted(batch.sequence, local_time(it));
    process_output(n);
}

void cluster::process_output(std::size_t n)
{
    replica& it = replicas[n];
    auto out = it.node->take_output();
    for (const auto& sent : out.messages)
    {
        send(n, sent);
    }
    if (out.persist)
    {
        REQUIRE_FALSE(it.writing.has_value());
        it.writing = std::move(out.persist);
        it.write_due = now + core::duration(static_cast<std::int64_t>(
                                 random.below(faults.max_sync.count())));
    }
    if (out.install)
    {
        REQUIRE_GT(out.install->last.index, it.applied);
        REQUIRE(it.machine.install_snapshot(*out.install->bytes).ok());
        it.applied = out.install->last.index;
    }
    for (const auto& entry : out.committed)
    {
        apply(it, entry);
    }
    for (const auto& change : out.roles)
    {
        if (change.role == consensus::replica_role::leader)
        {
            const auto known =
                leaders_by_term_.emplace(change.term, it.id).first;
            REQUIRE_EQ(known->second, it.id);
        }
    }
    for (const auto& read : out.reads)
    {
        it.reads[read.id] = read.index;
    }
}

void cluster::apply(replica& it, const consensus::log_entry& entry)
{
    REQUIRE_EQ(entry.position.index, it.applied + 1);
    it.applied = entry.position.index;
    const auto known =
        applied_entries_.emplace(entry.position.index, entry).first;
    REQUIRE(known->second == entry);
    if (entry.kind != consensus::entry_kind::command)
    {
        return;
    }
    it.machine.apply(entry.position.index, entry.bytes);
    const auto found =
        proposed_commands_.find({entry.position.index, entry.position.term});
    if (found != proposed_commands_.end())
    {
        accepted.insert(found->second);
    }
}

void cluster::send(std::size_t from, const consensus::message& it)
{
    ++messages;
    snapshot_parts += it.body.index() == 4 ? 1 : 0;
    std::ostringstream out;
    cereal::PortableBinaryOutputArchive ar(out);
    ar(it);
    largest_message = std::max(largest_message, out.str().size());
    for (int copies = random.uniform() < faults.repeat ? 2 : 1; copies > 0;
         --copies)
    {
        const auto span = static_cast<std::uint64_t>(
            (faults.max_delay - faults.min_delay).count());
        const auto delay =
            faults.min_delay +
            core::duration(static_cast<std::int64_t>(random.below(span + 1)));
        if (random.uniform() >= faults.loss)
        {
            in_transit_.emplace(now + delay, delivery{from, it.to, out.str()});
        }
    }
}

std::optional<std::size_t> cluster::leader() const
{
    std::optional<std::size_t> found;
    for (std::size_t n = 0; n < replicas.size(); ++n)
    {
        const auto& node = replicas[n].node;
        if (node && node->role() == consensus::replica_role::leader &&
            (!found || node->term() > replicas[*found].node->term()))
        {
            found = n;
        }
    }
    return found;
}

std::size_t cluster::wait_for_leader()
{
    REQUIRE(run_until(
        [&] {
            return leader().has_value();
        },
        std::chrono::seconds(30)));
    return *leader();
}

bool cluster::propose(const std::string& command)
{
    const auto n = leader();
    if (!n)
    {
        return false;
    }
    const auto position = replicas[*n].node->propose(command);
    if (position.ok())
    {
        proposed_commands_[{position->index, position->term}] = command;
        process_output(*n);
    }
    return position.ok();
}

bool cluster::commit(const std::string& command, core::duration bound)
{
    const auto end = now + bound;
    for (int attempt = 0; now < end; ++attempt)
    {
        const std::string name =
            command + (attempt > 0 ? "~" + std::to_string(attempt) : "");
        if (!run_until(
                [&] {
                    return propose(name);
                },
                end - now))
        {
            return false;
        }
        const auto term = replicas[*leader()].node->term();
        const auto is_settled = [&] {
            const auto n = leader();
            return is_accepted(name) || (n && replicas[*n].node->term() > term);
        };
        run_until(is_settled, end - now);
        if (is_accepted(name))
        {
            return true;
        }
    }
    return false;
}

bool cluster::change(
    consensus::membership_change_kind kind, replica_id id, core::duration bound)
{
    const auto start = [&] {
        const auto n = leader();
        const bool started =
            n && replicas[*n].node->change_membership({kind, id}).ok();
        if (started)
        {
            process_output(*n);
        }
        return started;
    };
    const auto is_done = [&] {
        const auto n = leader();
        if (!n)
        {
            return false;
        }
        const auto& node = *replicas[*n].node;
        const bool voter = node.members().is_voter(id);
        const bool learner = node.members().is_learner(id);
        const bool has_target_state =
            kind == consensus::membership_change_kind::promote ? voter
            : kind == consensus::membership_change_kind::add_learner
                ? learner
                : !voter && !learner;
        return has_target_state && node.commit_index() == node.last().index;
    };
    return run_until(start, bound) && run_until(is_done, bound);
}

void cluster::compact(std::size_t n)
{
    replica& it = replicas[n];
    REQUIRE(it.node->compact(it.applied, it.machine.take_snapshot()).ok());
    process_output(n);
}

bool cluster::is_converged() const
{
    const auto n = leader();
    if (!n)
    {
        return false;
    }
    const auto& members = replicas[*n].node->members();
    const auto& commands = replicas[*n].machine.commands;
    for (const auto& it : replicas)
    {
        const bool is_member =
            members.is_voter(it.id) || members.is_learner(it.id);
        if (it.node && is_member &&
            (it.machine.commands != commands ||
             it.applied != replicas[*n].node->last().index))
        {
            return false;
        }
    }
    return std::all_of(accepted.begin(), accepted.end(), [&](const auto& it) {
        return std::count(commands.begin(), commands.end(), it) == 1;
    });
}

} // namespace hyssoploft::tests
