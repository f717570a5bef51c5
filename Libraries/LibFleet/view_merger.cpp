// Merges the rows of several control VMs.

#include <LibFleet/view_merger.hpp>

#include <LibCore/log_line.hpp>
#include <LibFleet/row_checks.hpp>

#include <glog/logging.h>

#include <algorithm>
#include <string_view>
#include <tuple>

namespace hyssoploft::fleet {

namespace {

using membership::upstream_record;
using membership::upstream_state;
using membership::vm_record;
using membership::vm_state;

vm_record to_record(const vm_row& it)
{
    vm_record out;
    out.id = it.id;
    out.region = it.region;
    out.data_center = it.data_center;
    out.http_address = it.entry_address;
    out.peer_address = it.peer_address;
    out.relay_address = it.relay_address;
    out.control_address = it.control_address;
    out.incarnation = it.incarnation;
    out.state = static_cast<vm_state>(it.state);
    out.control = it.control;
    out.entry = !it.entry_address.empty();
    out.ready = it.ready;
    return out;
}

upstream_record to_record(const upstream_row& it)
{
    upstream_record out;
    out.id = it.id;
    out.address = it.address;
    out.role = it.role;
    out.region = it.region;
    out.data_center = it.data_center;
    out.version = it.version;
    out.capacity = it.capacity;
    out.incarnation = it.incarnation;
    out.sequence = it.sequence;
    out.state = static_cast<upstream_state>(it.state);
    out.silent = it.silent;
    return out;
}

/// Longer than any partition after which a control VM returns with its tables.
constexpr std::chrono::seconds source_retention{60};

// True if `a` is to be used rather than `b` for the same VM: a row that is not
// dead precedes a dead one, then the newer incarnation wins.
bool is_preferred(const vm_record& a, const vm_record& b)
{
    const bool a_dead = a.state == vm_state::dead;
    const bool b_dead = b.state == vm_state::dead;
    if (a_dead != b_dead)
    {
        return !a_dead;
    }
    return a.incarnation > b.incarnation;
}

void log_unknown_state(
    const std::string& from, std::string_view kind, const std::string& id,
    unsigned state)
{
    LOG_EVERY_N(WARNING, 20) << core::log_line("row_refused")
                                    .with("from", from)
                                    .with("kind", kind)
                                    .with("id", id)
                                    .with("state", state);
}

} // namespace

view_merger::position
view_merger::position_at(const std::string& control_vm) const
{
    const auto found = sources_.find(control_vm);
    return found == sources_.end() ? position() : found->second.next_position;
}

void view_merger::apply(
    const std::string& control_vm, const sync_reply& it, core::time_point now)
{
    auto& stored = sources_[control_vm];
    if (it.is_snapshot)
    {
        stored.vms.clear();
        stored.upstreams.clear();
    }
    stored.next_position = {it.epoch, it.cursor};
    stored.settled = it.settled;
    stored.received_at = now;
    for (const auto& row : it.vms)
    {
        if (!has_known_state(row))
        {
            log_unknown_state(control_vm, "vm", row.id, row.state);
            continue;
        }
        stored.vms[row.id] = row;
    }
    for (const auto& row : it.upstreams)
    {
        if (!has_known_state(row))
        {
            log_unknown_state(control_vm, "upstream", row.id, row.state);
            continue;
        }
        stored.upstreams[row.id] = {
            row, now + std::chrono::milliseconds(row.cold_ms)};
    }
    for (const auto& id : it.removed_upstreams)
    {
        stored.upstreams.erase(id);
    }
    // Most control VMs send no loads. The one that does may have none to send.
    if (!it.loads.empty() || control_vm == loads_source_)
    {
        loads_ = it.loads;
        loads_source_ = control_vm;
        loads_received_at_ = now;
    }
    std::erase_if(sources_, [now](const auto& other) {
        return now - other.second.received_at > source_retention;
    });
}

std::vector<load_row> view_merger::loads(core::time_point now) const
{
    return now - loads_received_at_ <= loads_lifetime ? loads_
                                                      : std::vector<load_row>();
}

std::size_t view_merger::fresh_source_count(core::time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(sources_.begin(), sources_.end(), [&](const auto& it) {
            return is_fresh(it.second, now);
        }));
}

void view_merger::build(membership::fleet_view& view, core::time_point now)
{
    std::map<std::string, vm_record> vms;
    std::map<std::string, upstream_record> upstreams;
    bool settled = false;
    for (const auto& [name, from] : sources_)
    {
        if (!is_fresh(from, now))
        {
            continue;
        }
        settled |= from.settled;
        for (const auto& [id, row] : from.vms)
        {
            auto record = to_record(row);
            const auto [found, added] = vms.try_emplace(id, record);
            if (!added && is_preferred(record, found->second))
            {
                found->second = std::move(record);
            }
        }
        for (const auto& [id, it] : from.upstreams)
        {
            auto record = to_record(it.row);
            record.cold_until = it.cold_until;
            const auto [found, added] = upstreams.try_emplace(id, record);
            if (added)
            {
                continue;
            }
            auto& known = found->second;
            const bool silent = known.silent && record.silent;
            const auto known_version =
                std::tie(known.incarnation, known.sequence);
            const auto record_version =
                std::tie(record.incarnation, record.sequence);
            // A leave does not increase the sequence: the most advanced state
            // of an incarnation counts.
            const auto state = known.incarnation == record.incarnation
                                   ? std::max(known.state, record.state)
                                   : upstream_state::serving;
            const bool same_incarnation =
                known.incarnation == record.incarnation;
            if (record_version > known_version)
            {
                known = std::move(record);
            }
            known.silent = silent;
            known.state = same_incarnation ? state : known.state;
        }
    }
    // Until a settled control VM has replied, rows of the last view that are
    // missing now may still exist.
    if (!settled)
    {
        for (const auto& [id, it] : vms_)
        {
            vms.try_emplace(id, it);
        }
        for (const auto& [id, it] : upstreams_)
        {
            upstreams.try_emplace(id, it);
        }
    }
    vms_ = vms;
    upstreams_ = upstreams;
    view.vms = std::move(vms);
    view.upstreams = std::move(upstreams);
}

} // namespace hyssoploft::fleet
