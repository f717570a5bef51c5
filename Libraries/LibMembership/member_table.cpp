// Merges updates into the member table.

#include <LibMembership/member_table.hpp>

#include <LibMembership/table_hash.hpp>

#include <algorithm>

namespace hyssoploft::membership {

namespace {

int precedence_of(vm_state it)
{
    switch (it)
    {
    case vm_state::alive:
        return 0;
    case vm_state::suspect:
        return 1;
    case vm_state::leaving:
        return 2;
    case vm_state::dead:
        return 3;
    }
    return 3;
}

bool has_addresses(const member_update& it)
{
    return !it.region.empty() && !it.peer_address.empty();
}

member_update to_update(const vm_record& it, bool state_only)
{
    member_update out;
    out.id = it.id;
    out.incarnation = it.incarnation;
    out.state = it.state;
    if (!state_only)
    {
        out.region = it.region;
        out.data_center = it.data_center;
        out.http_address = it.http_address;
        out.peer_address = it.peer_address;
        out.config_version = it.config_version;
        out.overloaded = it.overloaded;
        out.control = it.control;
        out.isolated = it.isolated;
    }
    return out;
}

std::uint64_t digest_of(const vm_record& it)
{
    return combine_hash(
        combine_hash(hash_text(it.id), it.incarnation),
        it.state == vm_state::leaving ? 1 : 0);
}

} // namespace

bool is_newer(
    std::uint64_t incarnation_a, vm_state a, std::uint64_t incarnation_b,
    vm_state b)
{
    return incarnation_a != incarnation_b ? incarnation_a > incarnation_b
                                          : precedence_of(a) > precedence_of(b);
}

member* member_table::find(const std::string& id)
{
    const auto it = members_.find(id);
    return it == members_.end() ? nullptr : &it->second;
}

const member* member_table::find(const std::string& id) const
{
    const auto it = members_.find(id);
    return it == members_.end() ? nullptr : &it->second;
}

void member_table::update_self(const std::function<void(vm_record&)>& change)
{
    change(self_);
    ++self_.incarnation;
    ++changes_;
    queue_.push(self_.id);
}

// A higher incarnation under this VM's identifier comes from a previous process
// or from a corrupt record; this VM supersedes both with a higher one.
void member_table::refute(const member_update& it)
{
    const bool agrees =
        it.state == self_.state && it.incarnation == self_.incarnation;
    if (it.incarnation < self_.incarnation || agrees ||
        it.incarnation == UINT64_MAX)
    {
        return;
    }
    self_.incarnation = it.incarnation + 1;
    ++changes_;
    queue_.push(self_.id);
}

void member_table::set_state(member& it, vm_state state, core::time_point now)
{
    live_count_ -= it.record.state != vm_state::dead ? 1 : 0;
    live_count_ += state != vm_state::dead ? 1 : 0;
    it.left_gracefully =
        state == vm_state::dead &&
        (it.left_gracefully || it.record.state == vm_state::leaving);
    it.record.state = state;
    it.state_changed = now;
    ++changes_;
    if (state == vm_state::suspect)
    {
        it.suspect_until = now + suspicion_timeout_;
        it.next_confirmation = now;
    }
}

bool member_table::apply(const member_update& it, core::time_point now)
{
    if (it.id == self_.id)
    {
        const auto before = self_.incarnation;
        refute(it);
        return self_.incarnation != before;
    }
    auto* known = find(it.id);
    if (known == nullptr)
    {
        // A VM without addresses can't be contacted. An unknown VM that is dead
        // needs no record: the peers that knew it keep the tombstone.
        if (!has_addresses(it) || it.state == vm_state::dead)
        {
            return false;
        }
        if (members_.size() >= max_members)
        {
            const auto dead = std::min_element(
                members_.begin(), members_.end(),
                [](const auto& a, const auto& b) {
                    const bool dead_a = a.second.record.state == vm_state::dead;
                    const bool dead_b = b.second.record.state == vm_state::dead;
                    return dead_a != dead_b ? dead_a
                                            : a.second.state_changed <
                                                  b.second.state_changed;
                });
            if (dead->second.record.state != vm_state::dead)
            {
                return false;
            }
            members_.erase(dead);
        }
        known = &members_[it.id];
        known->record.id = it.id;
        known->id_hash = hash_text(it.id);
        ++live_count_;
    }
    else if (
        !is_newer(
            it.incarnation, it.state, known->record.incarnation,
            known->record.state) ||
        (it.state == vm_state::alive && !has_addresses(it)))
    {
        return false;
    }
    known->record.incarnation = it.incarnation;
    if (has_addresses(it))
    {
        auto& r = known->record;
        r.region = it.region;
        r.data_center = it.data_center;
        r.http_address = it.http_address;
        r.peer_address = it.peer_address;
        r.config_version = std::max(r.config_version, it.config_version);
        r.overloaded = it.overloaded;
        r.control = it.control;
        r.isolated = it.isolated;
    }
    set_state(*known, it.state, now);
    queue_.push(it.id);
    return true;
}

bool member_table::apply_self_report(
    const member_update& it, core::time_point now)
{
    bool changed = apply(it, now);
    auto* known = find(it.id);
    if (known == nullptr)
    {
        return changed;
    }
    known->last_heard = now;
    // After a restart a VM can have an older configuration than before.
    if (it.incarnation >= known->record.incarnation &&
        it.config_version != known->record.config_version)
    {
        known->record.config_version = it.config_version;
        ++changes_;
        changed = true;
    }
    return changed;
}

void member_table::declare(member& it, vm_state state, core::time_point now)
{
    set_state(it, state, now);
    queue_.push(it.record.id);
}

void member_table::drop_tombstones(core::time_point now)
{
    for (auto it = members_.begin(); it != members_.end();)
    {
        const auto& m = it->second;
        const bool ended = m.record.state == vm_state::dead &&
                           now - m.state_changed > tombstone_retention;
        changes_ += ended ? 1 : 0;
        it = ended ? members_.erase(it) : std::next(it);
    }
}

member_update member_table::self_update() const
{
    return to_update(self_, false);
}

member_update member_table::update_of(const member& it, bool state_only) const
{
    return to_update(it.record, state_only);
}

std::vector<const member*> member_table::pick_random(
    std::size_t n, core::random_source& random,
    const std::function<bool(const member&)>& accept) const
{
    std::vector<const member*> out;
    std::size_t seen = 0;
    for (const auto& [id, it] : members_)
    {
        if (!accept(it))
        {
            continue;
        }
        ++seen;
        if (out.size() < n)
        {
            out.push_back(&it);
        }
        else if (const auto slot = random.below(seen); slot < n)
        {
            out[slot] = &it;
        }
    }
    return out;
}

bucket_digests member_table::digests() const
{
    bucket_digests out{};
    for (const auto& [id, it] : members_)
    {
        if (it.record.state != vm_state::dead)
        {
            out[bucket_of(it.id_hash)] += digest_of(it.record);
        }
    }
    out[bucket_of(hash_text(self_.id))] += digest_of(self_);
    return out;
}

void member_table::append_rows(
    std::size_t bucket, std::vector<table_row>& out) const
{
    for (const auto& [id, it] : members_)
    {
        if (bucket_of(it.id_hash) == bucket)
        {
            out.push_back(
                {it.id_hash, it.record.incarnation, 0, 0,
                 static_cast<std::uint8_t>(it.record.state)});
        }
    }
    const auto own = hash_text(self_.id);
    if (bucket_of(own) == bucket)
    {
        out.push_back(
            {own, self_.incarnation, 0, 0,
             static_cast<std::uint8_t>(self_.state)});
    }
}

} // namespace hyssoploft::membership
