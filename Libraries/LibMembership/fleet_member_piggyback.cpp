// Fills and applies the updates piggybacked on probes, within the size of a
// datagram.

#include <LibMembership/fleet_member.hpp>

#include <LibCore/saturating_cast.hpp>

#include <algorithm>

namespace hyssoploft::membership {

namespace {

// Length fields of the six lists of a piggyback.
constexpr std::size_t list_header_bytes = 12;
// Bucket, digest and length of one bucket's renewals or loads.
constexpr std::size_t bucket_header_bytes = 7;
// Lists of a valid message hold at most 64 elements.
constexpr std::size_t max_updates = 32;
constexpr std::size_t max_regions = 32;
constexpr std::size_t update_transmit_factor = 4;
// Withdrawals must arrive within seconds, so they are sent more often.
constexpr std::size_t withdrawal_transmit_factor = 6;

/// Counts the remaining bytes of a message.
class byte_budget
{
public:
    explicit byte_budget(std::size_t available) : available_(available) {}

    bool reserve(std::size_t n)
    {
        if (n > available_)
        {
            return false;
        }
        available_ -= n;
        return true;
    }

    std::size_t available() const
    {
        return available_;
    }

private:
    std::size_t available_;
};

} // namespace

void fleet_member::append_disputed_state(
    std::vector<member_update>& out, const std::string& member_id) const
{
    const auto* it = detector_.table().find(member_id);
    if (it != nullptr && (it->record.state == vm_state::suspect ||
                          it->record.state == vm_state::dead))
    {
        out.push_back(detector_.table().update_of(*it, true));
    }
}

void fleet_member::fill_piggyback(
    piggyback& out, std::size_t used, const std::string& to,
    core::time_point now)
{
    const auto payload_bytes = options_.datagram_payload;
    byte_budget budget(
        payload_bytes - std::min(payload_bytes, used + list_header_bytes));
    const auto* receiver = detector_.table().find(to);
    append_disputed_state(out.members, to);
    for (const auto& it : out.members)
    {
        budget.reserve(encoded_size(it));
    }
    // Updates take at most half of the space, so that a burst of changes does
    // not starve the lease renewals of upstreams.
    const auto reserved =
        upstreams_.entries().empty() ? 0 : budget.available() / 2;
    byte_budget update_budget(budget.available() - reserved);
    const auto vms = detector_.table().live_count() + 1;
    withdrawals_.queue().transmit(
        retransmit_limit(vms, withdrawal_transmit_factor),
        [&](const key_digest& it) {
            const bool fits = out.withdrawn.size() < max_updates &&
                              withdrawals_.items().count(it) != 0 &&
                              update_budget.reserve(it.size());
            if (fits)
            {
                out.withdrawn.push_back(it);
            }
            return fits;
        });
    // Members are limited to half of the update space, so that a backlog of
    // one kind, for example after a cold start, does not starve the other.
    byte_budget member_budget(update_budget.available() / 2);
    const auto member_budget_bytes = member_budget.available();
    auto& table = detector_.table();
    table.queue().transmit(
        retransmit_limit(vms, update_transmit_factor),
        [&](const std::string& id) {
            // Every message contains the sender's own record already.
            const auto* it = table.find(id);
            if (it == nullptr)
            {
                return id != table.self().id || vms == 1;
            }
            const bool state_only = it->record.state != vm_state::alive;
            auto update = table.update_of(*it, state_only);
            const bool fits = out.members.size() < max_updates &&
                              member_budget.reserve(encoded_size(update));
            if (fits)
            {
                out.members.push_back(std::move(update));
            }
            return fits;
        });
    update_budget.reserve(member_budget_bytes - member_budget.available());
    upstreams_.queue().transmit(
        retransmit_limit(vms, update_transmit_factor),
        [&](const std::string& id) {
            const auto* it = upstreams_.find(id);
            if (it == nullptr)
            {
                return true;
            }
            auto update = upstreams_.update_of(*it, it->has_left);
            // A large description is sent by state_sync, which peers start
            // when they detect that their buckets differ.
            if (encoded_size(update) > options_.datagram_payload / 3)
            {
                return true;
            }
            const bool fits = out.upstreams.size() < max_updates &&
                              update_budget.reserve(encoded_size(update));
            if (fits)
            {
                out.upstreams.push_back(std::move(update));
            }
            return fits;
        });
    byte_budget remaining(update_budget.available() + reserved);
    for (std::size_t n = 0; n < bucket_count; ++n)
    {
        auto it = upstreams_.renewals_of(next_renewal_bucket_);
        if (!it.renewals.empty())
        {
            if (!remaining.reserve(bucket_header_bytes + it.renewals.size()))
            {
                break;
            }
            out.renewals.push_back(std::move(it));
        }
        next_renewal_bucket_ = (next_renewal_bucket_ + 1) % bucket_count;
    }
    const auto region = receiver != nullptr ? receiver->record.region : "";
    for (auto& it : summaries(region, now))
    {
        if (remaining.reserve(encoded_size(it)))
        {
            out.summaries.push_back(std::move(it));
        }
    }
    if (region != options_.self.region)
    {
        return;
    }
    for (std::size_t n = 0; n < bucket_count; ++n)
    {
        auto it = upstreams_.loads_of(next_load_bucket_, now);
        if (!it.loads.empty())
        {
            if (!remaining.reserve(bucket_header_bytes + it.loads.size()))
            {
                break;
            }
            out.loads.push_back(std::move(it));
        }
        next_load_bucket_ = (next_load_bucket_ + 1) % bucket_count;
    }
}

void fleet_member::apply_piggyback(
    const piggyback& it, const member_update& sender, core::time_point now)
{
    for (const auto& digest : it.withdrawn)
    {
        add_withdrawal(digest);
    }
    for (const auto& update : it.members)
    {
        detector_.table().apply(update, now);
    }
    for (const auto& update : it.upstreams)
    {
        upstreams_.apply(update, now);
    }
    bool buckets_match = true;
    for (const auto& renewals : it.renewals)
    {
        buckets_match =
            upstreams_.apply_renewals(renewals, now) && buckets_match;
    }
    for (const auto& summary : it.summaries)
    {
        apply_summary(summary, now);
    }
    if (sender.region == options_.self.region)
    {
        for (const auto& loads : it.loads)
        {
            loads_changed_ =
                upstreams_.apply_loads(loads, now) || loads_changed_;
        }
    }
    const auto* peer = detector_.table().find(sender.id);
    if (!buckets_match && peer != nullptr &&
        now - last_sync_ >= options_.min_sync_gap)
    {
        start_sync(*peer, now);
    }
}

void fleet_member::add_withdrawal(const key_digest& it)
{
    const auto added = withdrawals_.add(it);
    if (!added.ok())
    {
        // The event is still raised: a full set must not keep a withdrawn key
        // valid.
        ++counters_.withdrawals_rejected;
    }
    if (!added.ok() || *added)
    {
        events_.emplace_back(key_withdrawn{it});
    }
}

std::vector<summary_update> fleet_member::summaries(
    const std::string& for_region, core::time_point now) const
{
    std::vector<summary_update> out;
    if (for_region != options_.self.region)
    {
        out.push_back(upstreams_.own_region_summary());
    }
    for (const auto& [region, it] : regions_)
    {
        if (region == for_region)
        {
            continue;
        }
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
                             now - it.measured)
                             .count();
        constexpr std::int64_t max_age_ms = 3600000;
        if (age < max_age_ms)
        {
            out.push_back(
                {region,
                 static_cast<std::uint32_t>(std::max<std::int64_t>(age, 0)),
                 it.upstreams, it.capacity, it.running, it.queued,
                 core::saturating_cast<std::uint64_t>(it.tokens_per_second)});
        }
    }
    return out;
}

void fleet_member::apply_summary(const summary_update& it, core::time_point now)
{
    if (it.region == options_.self.region ||
        (regions_.size() >= max_regions && regions_.count(it.region) == 0))
    {
        return;
    }
    const auto measured = now - std::chrono::milliseconds(it.age_ms);
    auto& known = regions_[it.region];
    if (known.measured == core::time_point{} || measured > known.measured)
    {
        known = {
            it.upstreams,
            it.capacity,
            it.running,
            it.queued,
            static_cast<double>(it.tokens_per_second),
            measured};
        loads_changed_ = true;
    }
}

} // namespace hyssoploft::membership
