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
    out.described = it.sequence;
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

bool same_description(const upstream_record& a, const upstream_record& b)
{
    return a.address == b.address && a.role == b.role && a.region == b.region &&
           a.data_center == b.data_center && a.models == b.models &&
           a.adapters == b.adapters && a.version == b.version &&
           a.capacity == b.capacity &&
           capability_bits(a.capabilities) == capability_bits(b.capabilities);
}

} // namespace

upstream_registry::upstream_registry(std::string region)
    : region_(std::move(region)), queue_(bound)
{}

const upstream_registry::entry*
upstream_registry::find(const std::string& id) const
{
    const auto it = entries_.find(id);
    return it == entries_.end() ? nullptr : &it->second;
}

void upstream_registry::mark_stale(const entry& it)
{
    buckets_[bucket_of(it.id_hash)].stale = true;
    ++changes_;
}

upstream_registry::entry* upstream_registry::add(const std::string& id)
{
    if (entries_.size() >= bound)
    {
        const auto oldest = std::min_element(
            entries_.begin(), entries_.end(), [](const auto& a, const auto& b) {
                const bool ended_a =
                    a.second.record.state == upstream_state::expired;
                const bool ended_b =
                    b.second.record.state == upstream_state::expired;
                return ended_a != ended_b ? ended_a
                                          : a.second.ended < b.second.ended;
            });
        if (oldest->second.record.state != upstream_state::expired)
        {
            return nullptr;
        }
        mark_stale(oldest->second);
        entries_.erase(oldest);
    }
    auto& it = entries_[id];
    it.record.id = id;
    it.record.state = upstream_state::expired;
    it.id_hash = hash_text(id);
    mark_stale(it);
    return &it;
}

void upstream_registry::extend(
    entry& it, std::uint64_t sequence, core::time_point now)
{
    it.record.sequence = sequence;
    it.lease_until = now + lease;
    if (!it.placed)
    {
        it.placed = true;
        mark_stale(it);
    }
    if (it.record.state == upstream_state::expired)
    {
        it.record.state =
            it.left ? upstream_state::leaving : upstream_state::serving;
        mark_stale(it);
    }
}

void upstream_registry::describe(entry& it, const upstream_update& news)
{
    auto& r = it.record;
    r.address = news.address;
    r.role = news.role;
    r.region = news.region;
    r.data_center = news.data_center;
    r.models = news.models;
    r.adapters = news.adapters;
    r.version = news.version;
    r.capacity = news.capacity;
    r.capabilities = capabilities_from(news.capabilities);
    it.described = news.described;
    mark_stale(it);
}

absl::Status
upstream_registry::announce(const upstream_record& it, core::time_point now)
{
    auto update = to_update(it);
    update.state = upstream_state::serving;
    state_sync probe;
    probe.self.id = it.id;
    probe.upstreams.push_back(update);
    if (!has_description(update) || !is_valid(probe))
    {
        return absl::InvalidArgumentError("a field is missing or too long");
    }
    const auto* known = find(it.id);
    if (known != nullptr)
    {
        const auto& r = known->record;
        if (it.incarnation < r.incarnation ||
            (it.incarnation == r.incarnation && known->left))
        {
            return absl::FailedPreconditionError("this incarnation has ended");
        }
        if (it.incarnation == r.incarnation && it.sequence <= r.sequence)
        {
            return absl::AlreadyExistsError("sequence is not new");
        }
        if (it.incarnation == r.incarnation && same_description(it, r))
        {
            update.described = known->described;
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
    if (known != nullptr && known->record.incarnation != incarnation)
    {
        return absl::NotFoundError("no such incarnation");
    }
    upstream_update update;
    if (known != nullptr)
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
    it->second.measured = now - load.lag;
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
    const bool newer_life =
        known == nullptr || it.incarnation > known->record.incarnation;
    if (newer_life && !has_description(it) && !leaving)
    {
        return false;
    }
    bool changed = newer_life;
    bool revived = false;
    if (known == nullptr && (known = add(it.id)) == nullptr)
    {
        return false;
    }
    if (newer_life)
    {
        known->record.incarnation = it.incarnation;
        known->record.sequence = 0;
        known->record.load = {};
        known->measured = {};
        known->described = 0;
        known->left = false;
        known->record.state = upstream_state::expired;
        known->ended = now;
        mark_stale(*known);
    }
    if (has_description(it) && (newer_life || it.described > known->described))
    {
        describe(*known, it);
        changed = true;
    }
    if (leaving && !known->left)
    {
        known->left = true;
        if (known->record.state == upstream_state::serving)
        {
            known->record.state = upstream_state::leaving;
        }
        mark_stale(*known);
        changed = true;
    }
    if (newer_life || it.sequence > known->record.sequence)
    {
        const auto before = known->record.state;
        extend(*known, it.sequence, now);
        revived = before != known->record.state;
    }
    // A lease that had expired only here needs no broadcast, which would
    // displace updates about members.
    if (changed)
    {
        queue_.push(it.id);
    }
    return changed || revived;
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
            e.ended = now;
            ++changes_;
            changed = true;
        }
        if (e.placed && e.record.state == upstream_state::expired &&
            now - e.ended > place_life)
        {
            e.placed = false;
            mark_stale(e);
        }
        const bool forgotten = e.record.state == upstream_state::expired &&
                               now - e.ended > tombstone_life;
        if (forgotten)
        {
            mark_stale(e);
        }
        it = forgotten ? entries_.erase(it) : std::next(it);
    }
    return changed;
}

upstream_update upstream_registry::update_of(const entry& it, bool brief) const
{
    upstream_update out;
    if (brief)
    {
        out.id = it.record.id;
        out.incarnation = it.record.incarnation;
        out.sequence = it.record.sequence;
    }
    else
    {
        out = to_update(it.record);
        out.described = it.described;
    }
    out.state = it.left ? upstream_state::leaving : it.record.state;
    return out;
}

} // namespace hyssoploft::membership
