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

constexpr core::duration load_age_unit = std::chrono::milliseconds(100);
constexpr std::uint8_t no_load_age = 255;
constexpr std::size_t load_bytes = 4;
// A load must be newer by more than the rounding error of ages, so that two VMs
// don't send one report back and forth.
constexpr core::duration min_load_age_gain = std::chrono::milliseconds(200);

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
    const auto units = std::max<std::int64_t>(age / load_age_unit, 0) + 1;
    return static_cast<std::uint8_t>(
        std::min<std::int64_t>(units, no_load_age - 1));
}

} // namespace

upstream_registry::live_bucket& upstream_registry::refresh_bucket(std::size_t n)
{
    auto& b = buckets_[n];
    if (!b.stale)
    {
        return b;
    }
    b.members.clear();
    b.digest = 0;
    for (auto& [id, it] : entries_)
    {
        if (bucket_of(it.id_hash) != n || !it.in_bucket)
        {
            continue;
        }
        b.members.push_back(&it);
        const auto incarnation_hash =
            combine_hash(it.id_hash, it.record.incarnation);
        b.digest += combine_hash(
            incarnation_hash,
            it.description_sequence * 2 + (it.has_left ? 1 : 0));
    }
    b.stale = false;
    return b;
}

bucket_digests upstream_registry::digests()
{
    bucket_digests out{};
    for (std::size_t n = 0; n < bucket_count; ++n)
    {
        out[n] = refresh_bucket(n).digest;
    }
    return out;
}

bucket_renewals upstream_registry::renewals_of(std::size_t bucket)
{
    const auto& b = refresh_bucket(bucket);
    bucket_renewals out;
    out.bucket = static_cast<std::uint8_t>(bucket);
    out.digest = short_digest(b.digest);
    out.renewals.reserve(b.members.size());
    for (const auto* it : b.members)
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
    const auto& b = refresh_bucket(it.bucket);
    if (it.digest != short_digest(b.digest) ||
        it.renewals.size() != b.members.size())
    {
        return false;
    }
    for (std::size_t n = 0; n < b.members.size(); ++n)
    {
        const auto byte = from_byte(it.renewals[n]);
        auto& e = *b.members[n];
        if (byte == 0)
        {
            continue;
        }
        const auto own = e.record.sequence % renewal_modulus;
        const auto gap = (byte - 1U + renewal_modulus - own) % renewal_modulus;
        if (gap >= 1 && gap <= max_renewal_gap)
        {
            extend_lease(e, e.record.sequence + gap, now);
        }
    }
    return true;
}

bucket_loads
upstream_registry::loads_of(std::size_t bucket, core::time_point now)
{
    const auto& b = refresh_bucket(bucket);
    bucket_loads out;
    out.bucket = static_cast<std::uint8_t>(bucket);
    out.digest = short_digest(b.digest);
    bool any_load = false;
    for (const auto* it : b.members)
    {
        if (it->record.region != region_)
        {
            continue;
        }
        const auto age = now - it->load_measured;
        const bool has_load = it->load_measured != core::time_point{} &&
                              age < load_age_unit * (no_load_age - 1);
        any_load = any_load || has_load;
        const auto& load = it->record.load;
        out.loads.push_back(to_byte(has_load ? age_code(age) : no_load_age));
        out.loads.push_back(to_byte(to_load_code(load.running)));
        out.loads.push_back(to_byte(to_load_code(load.queued)));
        out.loads.push_back(to_byte(to_load_code(load.tokens_per_second)));
    }
    if (!any_load)
    {
        out.loads.clear();
    }
    return out;
}

bool upstream_registry::apply_loads(
    const bucket_loads& it, core::time_point now)
{
    const auto& b = refresh_bucket(it.bucket);
    if (it.digest != short_digest(b.digest))
    {
        return false;
    }
    bool changed = false;
    std::size_t offset = 0;
    for (auto* e : b.members)
    {
        if (e->record.region != region_)
        {
            continue;
        }
        if (offset + load_bytes > it.loads.size())
        {
            break;
        }
        const auto age = from_byte(it.loads[offset]);
        const auto measured = now - load_age_unit * age;
        if (age != no_load_age &&
            measured > e->load_measured + min_load_age_gain)
        {
            auto& load = e->record.load;
            load.running = static_cast<std::uint32_t>(
                from_load_code(from_byte(it.loads[offset + 1])));
            load.queued = static_cast<std::uint32_t>(
                from_load_code(from_byte(it.loads[offset + 2])));
            load.tokens_per_second =
                from_load_code(from_byte(it.loads[offset + 3]));
            load.received = now;
            load.lag = load_age_unit * age;
            e->load_measured = measured;
            changed = true;
        }
        offset += load_bytes;
    }
    return changed;
}

summary_update upstream_registry::own_region_summary() const
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
    constexpr double max_tokens_per_second = 1e15;
    out.tokens_per_second = tokens > 0 ? static_cast<std::uint64_t>(std::min(
                                             tokens, max_tokens_per_second))
                                       : 0;
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
                 it.description_sequence,
                 static_cast<std::uint8_t>(
                     it.has_left ? upstream_state::leaving : it.record.state)});
        }
    }
}

void upstream_registry::apply_row(const table_row& row, core::time_point now)
{
    for (auto& [id, it] : entries_)
    {
        if (it.id_hash == row.id_hash &&
            it.record.incarnation == row.incarnation &&
            row.sequence > it.record.sequence &&
            row.state != static_cast<std::uint8_t>(upstream_state::expired))
        {
            extend_lease(it, row.sequence, now);
        }
    }
}

} // namespace hyssoploft::membership
