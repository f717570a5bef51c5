// Digests, lease renewals and loads of the buckets of upstreams.

#include <LibMembership/load_code.hpp>
#include <LibMembership/table_hash.hpp>
#include <LibMembership/upstream_registry.hpp>

#include <algorithm>
#include <limits>

namespace hyssoploft::membership {

namespace {

// Renewal bytes are 1 to 255; 0 means that the lease has expired at the sender.
constexpr std::uint64_t renewal_modulus = 255;

constexpr core::duration age_unit = std::chrono::milliseconds(100);
constexpr std::uint8_t no_load = 255;
constexpr std::size_t load_bytes = 4;
// A load must be newer by more than the rounding error of ages, so that two VMs
// don't send one report back and forth.
constexpr core::duration newer_by = std::chrono::milliseconds(200);

std::array<std::uint8_t, 4> short_digest(std::uint64_t it)
{
    return {
        static_cast<std::uint8_t>(it), static_cast<std::uint8_t>(it >> 8),
        static_cast<std::uint8_t>(it >> 16),
        static_cast<std::uint8_t>(it >> 24)};
}

char to_byte(std::uint64_t n)
{
    return static_cast<char>(static_cast<std::uint8_t>(n));
}

std::uint8_t from_byte(char c)
{
    return static_cast<std::uint8_t>(c);
}

/// Age in units, rounded down plus one, so that a forwarded report never
/// appears newer than the original.
std::uint8_t age_code(core::duration age)
{
    const auto units = std::max<std::int64_t>(age / age_unit, 0) + 1;
    return static_cast<std::uint8_t>(
        std::min<std::int64_t>(units, no_load - 1));
}

} // namespace

upstream_registry::live_bucket& upstream_registry::fresh_bucket(std::size_t n)
{
    auto& b = buckets_[n];
    if (!b.stale)
    {
        return b;
    }
    b.placed.clear();
    b.digest = 0;
    for (auto& [id, it] : entries_)
    {
        if (bucket_of(it.id_hash) != n || !it.placed)
        {
            continue;
        }
        b.placed.push_back(&it);
        const auto life = hash_mix(it.id_hash, it.record.incarnation);
        b.digest += hash_mix(life, it.described * 2 + (it.left ? 1 : 0));
    }
    b.stale = false;
    return b;
}

bucket_digests upstream_registry::digests()
{
    bucket_digests out{};
    for (std::size_t n = 0; n < bucket_count; ++n)
    {
        out[n] = fresh_bucket(n).digest;
    }
    return out;
}

bucket_renewals upstream_registry::renewals_of(std::size_t bucket)
{
    const auto& b = fresh_bucket(bucket);
    bucket_renewals out;
    out.bucket = static_cast<std::uint8_t>(bucket);
    out.digest = short_digest(b.digest);
    out.renewals.reserve(b.placed.size());
    for (const auto* it : b.placed)
    {
        const bool ended = it->record.state == upstream_state::expired;
        out.renewals.push_back(
            to_byte(ended ? 0 : 1 + it->record.sequence % renewal_modulus));
    }
    return out;
}

bool upstream_registry::apply_renewals(
    const bucket_renewals& it, core::time_point now)
{
    const auto& b = fresh_bucket(it.bucket);
    if (it.digest != short_digest(b.digest) ||
        it.renewals.size() != b.placed.size())
    {
        return false;
    }
    for (std::size_t n = 0; n < b.placed.size(); ++n)
    {
        const auto byte = from_byte(it.renewals[n]);
        auto& e = *b.placed[n];
        if (byte == 0)
        {
            continue;
        }
        const auto own = e.record.sequence % renewal_modulus;
        const auto gap = (byte - 1U + renewal_modulus - own) % renewal_modulus;
        if (gap >= 1 && gap <= max_renewal_gap)
        {
            extend(e, e.record.sequence + gap, now);
        }
    }
    return true;
}

bucket_loads
upstream_registry::loads_of(std::size_t bucket, core::time_point now)
{
    const auto& b = fresh_bucket(bucket);
    bucket_loads out;
    out.bucket = static_cast<std::uint8_t>(bucket);
    out.digest = short_digest(b.digest);
    bool any = false;
    for (const auto* it : b.placed)
    {
        if (it->record.region != region_)
        {
            continue;
        }
        const auto age = now - it->measured;
        const bool has_load = it->measured != core::time_point{} &&
                              age < age_unit * (no_load - 1);
        any = any || has_load;
        const auto& load = it->record.load;
        out.loads.push_back(to_byte(has_load ? age_code(age) : no_load));
        out.loads.push_back(to_byte(to_load_code(load.running)));
        out.loads.push_back(to_byte(to_load_code(load.queued)));
        out.loads.push_back(to_byte(to_load_code(load.tokens_per_second)));
    }
    if (!any)
    {
        out.loads.clear();
    }
    return out;
}

bool upstream_registry::apply_loads(
    const bucket_loads& it, core::time_point now)
{
    const auto& b = fresh_bucket(it.bucket);
    if (it.digest != short_digest(b.digest))
    {
        return false;
    }
    bool changed = false;
    std::size_t at = 0;
    for (auto* e : b.placed)
    {
        if (e->record.region != region_)
        {
            continue;
        }
        if (at + load_bytes > it.loads.size())
        {
            break;
        }
        const auto age = from_byte(it.loads[at]);
        const auto measured = now - age_unit * age;
        if (age != no_load && measured > e->measured + newer_by)
        {
            auto& load = e->record.load;
            load.running = static_cast<std::uint32_t>(
                from_load_code(from_byte(it.loads[at + 1])));
            load.queued = static_cast<std::uint32_t>(
                from_load_code(from_byte(it.loads[at + 2])));
            load.tokens_per_second =
                from_load_code(from_byte(it.loads[at + 3]));
            load.received = now;
            load.lag = age_unit * age;
            e->measured = measured;
            changed = true;
        }
        at += load_bytes;
    }
    return changed;
}

summary_update upstream_registry::own_summary() const
{
    summary_update out;
    out.region = region_;
    double tokens = 0;
    for (const auto& [id, it] : entries_)
    {
        const auto& r = it.record;
        if (r.region == region_ && r.state == upstream_state::serving)
        {
            ++out.upstreams;
            out.capacity += r.capacity;
            out.running += r.load.running;
            out.queued += r.load.queued;
            tokens += r.load.tokens_per_second;
        }
    }
    // Upstreams report unchecked values; the sum must stay finite and within
    // the range of an integer.
    constexpr double most = 1e15;
    out.tokens_per_second =
        tokens > 0 ? static_cast<std::uint64_t>(std::min(tokens, most)) : 0;
    return out;
}

void upstream_registry::append_rows(
    std::size_t bucket, std::vector<table_row>& out) const
{
    for (const auto& [id, it] : entries_)
    {
        if (bucket_of(it.id_hash) == bucket)
        {
            out.push_back(
                {it.id_hash, it.record.incarnation, it.record.sequence,
                 it.described,
                 static_cast<std::uint8_t>(
                     it.left ? upstream_state::leaving : it.record.state)});
        }
    }
}

void upstream_registry::renew(const table_row& row, core::time_point now)
{
    for (auto& [id, it] : entries_)
    {
        if (it.id_hash == row.id_hash &&
            it.record.incarnation == row.incarnation &&
            row.sequence > it.record.sequence &&
            row.state != static_cast<std::uint8_t>(upstream_state::expired))
        {
            extend(it, row.sequence, now);
        }
    }
}

} // namespace hyssoploft::membership
