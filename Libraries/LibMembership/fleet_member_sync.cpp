// Push-pull exchange of tables: digests of buckets, then rows of the buckets
// that differ, then the missing or outdated records.

#include <LibMembership/fleet_member.hpp>
#include <LibMembership/table_hash.hpp>

#include <algorithm>
#include <set>

namespace hyssoploft::membership {

namespace {

// Limit for the records of one message; the rest follows in the next exchange.
// A frame holds 1 MiB, including withdrawals and rows.
constexpr std::size_t max_record_bytes = std::size_t{512} << 10;
// Minimum time between two urgent exchanges.
constexpr core::duration min_urgent_sync_gap = std::chrono::seconds(1);

std::uint16_t
differing_buckets(const bucket_digests& a, const bucket_digests& b)
{
    unsigned out = 0;
    for (std::size_t n = 0; n < bucket_count; ++n)
    {
        out |= a[n] != b[n] ? 1U << n : 0U;
    }
    return static_cast<std::uint16_t>(out);
}

bool is_row_newer(
    std::uint64_t incarnation, std::uint64_t description_sequence,
    bool has_left, const table_row& row)
{
    const bool row_left =
        row.state == static_cast<std::uint8_t>(upstream_state::leaving);
    if (incarnation != row.incarnation)
    {
        return incarnation > row.incarnation;
    }
    return description_sequence > row.description_sequence ||
           (has_left && !row_left);
}

} // namespace

void fleet_member::sync_periodically(core::time_point now)
{
    const bool urgent =
        sync_requested_ && now - last_sync_ >= min_urgent_sync_gap;
    if (!urgent && now < next_sync_)
    {
        return;
    }
    const auto& region = options_.self.region;
    const auto heard_recently = [&](const member& m) {
        return m.record.state == vm_state::alive &&
               m.last_heard != core::time_point{} &&
               now - m.last_heard < options_.timing.isolation;
    };
    auto peer = detector_.table().pick_random(1, random_, [&](const member& m) {
        return urgent && m.record.region == region && heard_recently(m);
    });
    if (peer.empty() &&
        (!urgent || !isolated_ || !detector_.has_live_region_peer()))
    {
        peer = detector_.table().pick_random(1, random_, [](const member& m) {
            return m.record.state == vm_state::alive;
        });
    }
    if (!peer.empty())
    {
        start_sync(*peer.front(), now);
    }
}

void fleet_member::start_sync(const member& peer, core::time_point now)
{
    last_sync_ = now;
    // Jitter desynchronizes the exchanges of VMs.
    next_sync_ =
        now + options_.sync_period / 2 +
        core::from_seconds(
            core::to_seconds(options_.sync_period) * random_.uniform());
    ++counters_.syncs_started;
    send(
        peer.record.id, peer.record.peer_address,
        make_sync(sync_stage::digests, now));
}

state_sync fleet_member::make_sync(sync_stage stage, core::time_point now)
{
    state_sync out;
    out.stage = stage;
    out.self = detector_.table().self_update();
    out.withdrawn_digest = withdrawals_.digest();
    if (stage == sync_stage::digests || stage == sync_stage::rows)
    {
        out.member_digests = detector_.table().digests();
        out.upstream_digests = upstreams_.digests();
        out.summaries = summaries("", now);
    }
    return out;
}

void fleet_member::handle(const state_sync& it, core::time_point now)
{
    for (const auto& digest : it.withdrawn)
    {
        add_withdrawal(digest);
    }
    for (const auto& summary : it.summaries)
    {
        apply_summary(summary, now);
    }
    apply_records(it, now);
    switch (it.stage)
    {
    case sync_stage::digests:
        return answer_digests(it, now);
    case sync_stage::rows:
        on_sync_complete(it.self);
        return answer_rows(it, now);
    case sync_stage::records:
        return answer_records(it, now);
    case sync_stage::last:
        return on_sync_complete(it.self);
    }
}

void fleet_member::answer_digests(const state_sync& it, core::time_point now)
{
    auto out = make_sync(sync_stage::rows, now);
    out.member_buckets =
        differing_buckets(it.member_digests, out.member_digests);
    out.upstream_buckets =
        differing_buckets(it.upstream_digests, out.upstream_digests);
    const bool same_withdrawals = it.withdrawn_digest == withdrawals_.digest();
    if (out.member_buckets == 0 && out.upstream_buckets == 0 &&
        same_withdrawals)
    {
        ++counters_.syncs_without_changes;
        out = make_sync(sync_stage::last, now);
        return send(it.self.id, it.self.peer_address, std::move(out));
    }
    for (std::size_t n = 0; n < bucket_count; ++n)
    {
        if ((out.member_buckets >> n & 1U) != 0)
        {
            detector_.table().append_rows(n, out.member_rows);
        }
        if ((out.upstream_buckets >> n & 1U) != 0)
        {
            upstreams_.append_rows(n, out.upstream_rows);
        }
    }
    if (!same_withdrawals)
    {
        out.withdrawn.assign(
            withdrawals_.items().begin(), withdrawals_.items().end());
    }
    send(it.self.id, it.self.peer_address, std::move(out));
}

void fleet_member::answer_rows(const state_sync& it, core::time_point now)
{
    auto out = make_sync(sync_stage::records, now);
    if (it.withdrawn_digest != withdrawals_.digest())
    {
        out.withdrawn.assign(
            withdrawals_.items().begin(), withdrawals_.items().end());
    }
    std::map<std::uint64_t, table_row> rows;
    for (const auto& row : it.member_rows)
    {
        rows.emplace(row.id_hash, row);
    }
    std::size_t bytes = 0;
    const auto& table = detector_.table();
    const auto compare_member = [&](const vm_record& r, std::uint64_t hash,
                                    member_update update) {
        if ((it.member_buckets >> bucket_of(hash) & 1U) == 0)
        {
            return;
        }
        const auto found = rows.find(hash);
        const bool unknown = found == rows.end();
        if (unknown ? r.state != vm_state::dead
                    : is_newer(
                          r.incarnation, r.state, found->second.incarnation,
                          static_cast<vm_state>(found->second.state)))
        {
            bytes += encoded_size(update);
            if (bytes <= max_record_bytes)
            {
                out.members.push_back(std::move(update));
            }
        }
        else if (
            !unknown && is_newer(
                            found->second.incarnation,
                            static_cast<vm_state>(found->second.state),
                            r.incarnation, r.state))
        {
            out.wanted_members.push_back(hash);
        }
        rows.erase(hash);
    };
    for (const auto& [id, m] : table.members())
    {
        compare_member(m.record, m.id_hash, table.update_of(m, false));
    }
    compare_member(
        table.self(), hash_text(table.self().id), table.self_update());
    for (const auto& [hash, row] : rows)
    {
        if (row.state != static_cast<std::uint8_t>(vm_state::dead))
        {
            out.wanted_members.push_back(hash);
        }
    }

    rows.clear();
    for (const auto& row : it.upstream_rows)
    {
        rows.emplace(row.id_hash, row);
        upstreams_.apply_row(row, now);
    }
    for (const auto& [id, e] : upstreams_.entries())
    {
        const auto hash = e.id_hash;
        if ((it.upstream_buckets >> bucket_of(hash) & 1U) == 0)
        {
            continue;
        }
        const auto found = rows.find(hash);
        const bool ended = e.record.state == upstream_state::expired;
        // A lease that is live here may have expired at the peer because it
        // missed renewals.
        const bool is_renewed_here =
            found != rows.end() && !ended &&
            found->second.incarnation == e.record.incarnation &&
            e.record.sequence > found->second.sequence;
        if (found == rows.end()
                ? !ended
                : is_renewed_here ||
                      is_row_newer(
                          e.record.incarnation, e.description_sequence,
                          e.has_left, found->second))
        {
            const bool known =
                found != rows.end() &&
                found->second.incarnation == e.record.incarnation &&
                found->second.description_sequence >= e.description_sequence;
            auto update = upstreams_.update_of(e, known);
            bytes += encoded_size(update);
            if (bytes <= max_record_bytes)
            {
                out.upstreams.push_back(std::move(update));
            }
        }
        if (found != rows.end())
        {
            const auto& row = found->second;
            const bool row_left =
                row.state == static_cast<std::uint8_t>(upstream_state::leaving);
            const bool wanted =
                row.incarnation != e.record.incarnation
                    ? row.incarnation > e.record.incarnation
                    : row.description_sequence > e.description_sequence ||
                          (row_left && !e.has_left);
            if (wanted)
            {
                out.wanted_upstreams.push_back(hash);
            }
            rows.erase(found);
        }
    }
    for (const auto& [hash, row] : rows)
    {
        if (row.state != static_cast<std::uint8_t>(upstream_state::expired))
        {
            out.wanted_upstreams.push_back(hash);
        }
    }
    const bool is_empty = out.members.empty() && out.upstreams.empty() &&
                          out.wanted_members.empty() &&
                          out.wanted_upstreams.empty() && out.withdrawn.empty();
    if (!is_empty)
    {
        send(it.self.id, it.self.peer_address, std::move(out));
    }
}

void fleet_member::answer_records(const state_sync& it, core::time_point now)
{
    auto out = make_sync(sync_stage::last, now);
    const std::set<std::uint64_t> members(
        it.wanted_members.begin(), it.wanted_members.end());
    const std::set<std::uint64_t> upstreams(
        it.wanted_upstreams.begin(), it.wanted_upstreams.end());
    const auto& table = detector_.table();
    std::size_t bytes = 0;
    for (const auto& [id, m] : table.members())
    {
        if (members.count(m.id_hash) != 0 && bytes < max_record_bytes)
        {
            out.members.push_back(table.update_of(m, false));
            bytes += encoded_size(out.members.back());
        }
    }
    for (const auto& [id, e] : upstreams_.entries())
    {
        if (upstreams.count(e.id_hash) != 0 && bytes < max_record_bytes)
        {
            out.upstreams.push_back(upstreams_.update_of(e, false));
            bytes += encoded_size(out.upstreams.back());
        }
    }
    send(it.self.id, it.self.peer_address, std::move(out));
}

void fleet_member::apply_records(const state_sync& it, core::time_point now)
{
    for (const auto& update : it.members)
    {
        detector_.table().apply(update, now);
    }
    for (const auto& update : it.upstreams)
    {
        upstreams_.apply(update, now);
    }
}

void fleet_member::on_sync_complete(const member_update& peer)
{
    // An exchange with another region counts only if this region has no live
    // peer.
    if (peer.region != options_.self.region && detector_.has_live_region_peer())
    {
        return;
    }
    sync_requested_ = false;
    if (isolated_)
    {
        isolated_ = false;
        detector_.table().update_self([](vm_record& it) {
            it.isolated = false;
        });
    }
}

} // namespace hyssoploft::membership
