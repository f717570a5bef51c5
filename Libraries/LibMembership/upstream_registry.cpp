// Handles announcements, leases and the merge of updates.

#include <LibMembership/upstream_registry.hpp>

#include <LibMembership/table_hash.hpp>

#include <algorithm>
#include <utility>

namespace hyssoploft::membership {

namespace {

bool has_description(const upstream_update& it)
{
    return !it.address.empty();
}

upstream_update to_update(const upstream_record& it)
{
    upstream_update out;
    out.id = it.id;
    out.incarnation = it.incarnation;
    out.sequence = it.sequence;
    out.description_sequence = it.sequence;
    out.state = it.state;
    out.address = it.address;
    out.role = it.role;
    out.region = it.region;
    out.data_center = it.data_center;
    out.models = it.models;
    out.adapters = it.adapters;
    out.version = it.version;
    out.capacity = it.capacity;
    out.capabilities = capability_bits(it.capabilities);
    return out;
}

bool has_same_description(const upstream_record& a, const upstream_record& b)
{
    return a.address == b.address && a.role == b.role && a.region == b.region &&
           a.data_center == b.data_center && a.models == b.models &&
           a.adapters == b.adapters && a.version == b.version &&
           a.capacity == b.capacity &&
           capability_bits(a.capabilities) == capability_bits(b.capabilities);
}

} // namespace

upstream_registry::upstream_registry(std::string region)
    : region_(std::move(region)), queue_(max_upstreams)
{}

const upstream_registry::entry*
upstream_registry::find(const std::string& id) const
{
    const auto it = entries_.find(id);
    return it == entries_.end() ? nullptr : &it->second;
}

void upstream_registry::mark_bucket_stale(const entry& it)
{
    buckets_[bucket_of(it.id_hash)].stale = true;
    ++changes_;
}

upstream_registry::entry* upstream_registry::add(const std::string& id)
{
    if (entries_.size() >= max_upstreams)
    {
        const auto oldest = std::min_element(
            entries_.begin(), entries_.end(), [](const auto& a, const auto& b) {
                const bool ended_a =
                    a.second.record.state == upstream_state::expired;
                const bool ended_b =
                    b.second.record.state == upstream_state::expired;
                return ended_a != ended_b
                           ? ended_a
                           : a.second.ended_at < b.second.ended_at;
            });
        if (oldest->second.record.state != upstream_state::expired)
        {
            return nullptr;
        }
        mark_bucket_stale(oldest->second);
        entries_.erase(oldest);
    }
    auto& it = entries_[id];
    it.record.id = id;
    it.record.state = upstream_state::expired;
    it.id_hash = hash_text(id);
    mark_bucket_stale(it);
    return &it;
}

void upstream_registry::extend_lease(
    entry& it, std::uint64_t sequence, core::time_point now)
{
    it.record.sequence = sequence;
    it.lease_until = now + lease_duration;
    if (!it.in_bucket)
    {
        it.in_bucket = true;
        mark_bucket_stale(it);
    }
    if (it.record.state == upstream_state::expired)
    {
        it.record.state =
            it.has_left ? upstream_state::leaving : upstream_state::serving;
        mark_bucket_stale(it);
    }
}

void upstream_registry::set_description(
    entry& it, const upstream_update& update)
{
    auto& r = it.record;
    r.address = update.address;
    r.role = update.role;
    r.region = update.region;
    r.data_center = update.data_center;
    r.models = update.models;
    r.adapters = update.adapters;
    r.version = update.version;
    r.capacity = update.capacity;
    r.capabilities = capabilities_from_bits(update.capabilities);
    it.description_sequence = update.description_sequence;
    mark_bucket_stale(it);
}

absl::Status
upstream_registry::announce(const upstream_record& it, core::time_point now)
{
    auto update = to_update(it);
    update.state = upstream_state::serving;
    state_sync sample;
    sample.self.id = it.id;
    sample.upstreams.push_back(update);
    if (!has_description(update) || !is_valid(sample))
    {
        return absl::InvalidArgumentError("a field is missing or too long");
    }
    const auto* known = find(it.id);
    if (known != nullptr)
    {
        const auto& r = known->record;
        if (it.incarnation < r.incarnation ||
            (it.incarnation == r.incarnation && known->has_left))
        {
            return absl::FailedPreconditionError("this incarnation has ended");
        }
        if (it.incarnation == r.incarnation && it.sequence <= r.sequence)
        {
            return absl::AlreadyExistsError("sequence is not new");
        }
        if (it.incarnation == r.incarnation && has_same_description(it, r))
        {
            update.description_sequence = known->description_sequence;
        }
    }
    apply(update, now);
    return find(it.id) != nullptr
               ? absl::OkStatus()
               : absl::ResourceExhaustedError("too many upstreams");
}

absl::Status upstream_registry::leave(
    const std::string& id, std::uint64_t incarnation, core::time_point now)
{
    const auto* known = find(id);
    if (known != nullptr && known->record.incarnation > incarnation)
    {
        return absl::NotFoundError("a later incarnation is known");
    }
    upstream_update update;
    if (known != nullptr && known->record.incarnation == incarnation)
    {
        update = update_of(*known, true);
    }
    else
    {
        // The announcement went to another VM and has not reached this one; the
        // leave must not be lost.
        update.id = id;
        update.incarnation = incarnation;
        update.sequence = 1;
    }
    update.state = upstream_state::leaving;
    apply(update, now);
    return find(id) != nullptr
               ? absl::OkStatus()
               : absl::ResourceExhaustedError("too many upstreams");
}

absl::Status upstream_registry::report_load(
    const std::string& id, const load_report& load, core::time_point now)
{
    const auto it = entries_.find(id);
    if (it == entries_.end())
    {
        return absl::NotFoundError("no such upstream");
    }
    it->second.load_measured = now - load.lag;
    it->second.record.load = load;
    it->second.record.load.received = now;
    return absl::OkStatus();
}

bool upstream_registry::apply(const upstream_update& it, core::time_point now)
{
    const auto found = entries_.find(it.id);
    auto* known = found == entries_.end() ? nullptr : &found->second;
    // Each VM times leases itself, so an expiry at a peer is ignored.
    const bool leaving = it.state == upstream_state::leaving;
    if (it.state == upstream_state::expired ||
        (known != nullptr && it.incarnation < known->record.incarnation))
    {
        return false;
    }
    const bool newer_incarnation =
        known == nullptr || it.incarnation > known->record.incarnation;
    if (newer_incarnation && !has_description(it) && !leaving)
    {
        return false;
    }
    bool changed = newer_incarnation;
    bool lease_revived = false;
    if (known == nullptr && (known = add(it.id)) == nullptr)
    {
        return false;
    }
    if (newer_incarnation)
    {
        known->record.incarnation = it.incarnation;
        known->record.sequence = 0;
        known->record.load = {};
        known->load_measured = {};
        known->description_sequence = 0;
        known->has_left = false;
        known->record.state = upstream_state::expired;
        known->ended_at = now;
        mark_bucket_stale(*known);
    }
    if (has_description(it) &&
        (newer_incarnation ||
         it.description_sequence > known->description_sequence))
    {
        set_description(*known, it);
        changed = true;
    }
    if (leaving && !known->has_left)
    {
        known->has_left = true;
        if (known->record.state == upstream_state::serving)
        {
            known->record.state = upstream_state::leaving;
        }
        mark_bucket_stale(*known);
        changed = true;
    }
    if (newer_incarnation || it.sequence > known->record.sequence)
    {
        const auto before = known->record.state;
        extend_lease(*known, it.sequence, now);
        lease_revived = before != known->record.state;
    }
    // A lease that had expired only here needs no broadcast, which would
    // displace updates about members.
    if (changed)
    {
        queue_.push(it.id);
    }
    return changed || lease_revived;
}

bool upstream_registry::tick(core::time_point now)
{
    bool changed = false;
    for (auto it = entries_.begin(); it != entries_.end();)
    {
        auto& e = it->second;
        if (e.record.state != upstream_state::expired && now >= e.lease_until)
        {
            e.record.state = upstream_state::expired;
            e.ended_at = now;
            ++changes_;
            changed = true;
        }
        if (e.in_bucket && e.record.state == upstream_state::expired &&
            now - e.ended_at > bucket_retention)
        {
            e.in_bucket = false;
            mark_bucket_stale(e);
        }
        const bool tombstone_expired =
            e.record.state == upstream_state::expired &&
            now - e.ended_at > tombstone_retention;
        if (tombstone_expired)
        {
            mark_bucket_stale(e);
        }
        it = tombstone_expired ? entries_.erase(it) : std::next(it);
    }
    return changed;
}

upstream_update
upstream_registry::update_of(const entry& it, bool state_only) const
{
    upstream_update out;
    if (state_only)
    {
        out.id = it.record.id;
        out.incarnation = it.record.incarnation;
        out.sequence = it.record.sequence;
    }
    else
    {
        out = to_update(it.record);
        out.description_sequence = it.description_sequence;
    }
    out.state = it.has_left ? upstream_state::leaving : it.record.state;
    return out;
}

} // namespace hyssoploft::membership
