// Builds load notices and aggregates received ones.

#include <LibFleet/peer_loads.hpp>

#include <algorithm>
#include <utility>

namespace hyssoploft::fleet {

namespace {

/// Encoded bytes of a row, without the upstream's name.
constexpr std::size_t row_overhead_bytes = 16;

} // namespace

std::vector<load_notice> load_notice_builder::next_notices(
    const std::vector<load_row>& loads, core::time_point now)
{
    std::vector<load_row> changed_rows;
    std::map<std::string, sent_row> sent;
    for (const auto& it : loads)
    {
        const auto known = sent_.find(it.upstream);
        const bool is_unchanged = known != sent_.end() &&
                                  known->second.row == it &&
                                  now - known->second.sent_at < repeat_interval;
        sent[it.upstream] = is_unchanged ? known->second : sent_row{it, now};
        if (!is_unchanged)
        {
            changed_rows.push_back(it);
        }
    }
    for (const auto& [id, it] : sent_)
    {
        if (!sent.contains(id))
        {
            changed_rows.push_back({id, 0, 0});
        }
    }
    sent_ = std::move(sent);
    std::vector<load_notice> out;
    std::size_t bytes = max_row_bytes;
    for (auto& it : changed_rows)
    {
        const auto size = it.upstream.size() + row_overhead_bytes;
        if (bytes + size > max_row_bytes)
        {
            out.push_back({incarnation_, ++sequence_, {}});
            bytes = 0;
        }
        bytes += size;
        out.back().rows.push_back(std::move(it));
    }
    return out;
}

std::vector<load_notice> load_notice_builder::next_notices_or_keepalive(
    const std::vector<load_row>& loads, core::time_point now)
{
    auto out = next_notices(loads, now);
    if (out.empty() && now - last_notice_at_ >= keepalive_interval)
    {
        out.push_back({incarnation_, ++sequence_, {}});
    }
    if (!out.empty())
    {
        last_notice_at_ = now;
    }
    return out;
}

std::vector<load_row> load_notice_builder::sent_rows() const
{
    std::vector<load_row> out;
    out.reserve(sent_.size());
    for (const auto& [id, it] : sent_)
    {
        out.push_back(it.row);
    }
    return out;
}

void subtract_loads(
    std::map<std::string, load_row>& sums, const std::vector<load_row>& own)
{
    for (const auto& it : own)
    {
        const auto found = sums.find(it.upstream);
        if (found == sums.end())
        {
            continue;
        }
        auto& sum = found->second;
        sum.running -= std::min(sum.running, it.running);
        sum.waiting_tokens -= std::min(sum.waiting_tokens, it.waiting_tokens);
    }
}

void peer_load_table::apply(
    const std::string& vm, const load_notice& it, core::time_point now)
{
    auto& sender = peers_[vm];
    if (sender.incarnation != it.incarnation)
    {
        sender = {};
        sender.incarnation = it.incarnation;
    }
    sender.last_received_at = now;
    for (const auto& row : it.rows)
    {
        auto& known = sender.rows[row.upstream];
        if (it.sequence > known.sequence)
        {
            known = {row, it.sequence, now};
        }
    }
    for (auto& [id, other] : peers_)
    {
        std::erase_if(other.rows, [now](const auto& stored) {
            return now - stored.second.received_at > row_lifetime;
        });
    }
    std::erase_if(peers_, [now](const auto& other) {
        return now - other.second.last_received_at > row_lifetime;
    });
}

std::size_t peer_load_table::live_peer_count(core::time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(peers_.begin(), peers_.end(), [now](const auto& it) {
            return now - it.second.last_received_at <= row_lifetime;
        }));
}

std::string peer_load_table::first_current(
    const std::vector<std::string>& senders, core::time_point now) const
{
    const auto found =
        std::find_if(senders.begin(), senders.end(), [&](const auto& vm) {
            return peers_.contains(vm) &&
                   now - last_received_at(vm) <= sums_lifetime;
        });
    return found == senders.end() ? std::string() : *found;
}

std::map<std::string, load_row>
peer_load_table::rows_of(const std::string& vm, core::time_point now) const
{
    std::map<std::string, load_row> out;
    const auto found = peers_.find(vm);
    if (found == peers_.end())
    {
        return out;
    }
    for (const auto& [id, it] : found->second.rows)
    {
        if (now - it.received_at <= row_lifetime)
        {
            out[id] = it.row;
        }
    }
    return out;
}

core::time_point peer_load_table::last_received_at(const std::string& vm) const
{
    const auto found = peers_.find(vm);
    return found == peers_.end() ? core::time_point()
                                 : found->second.last_received_at;
}

std::map<std::string, load_row>
peer_load_table::sums(core::time_point now) const
{
    std::map<std::string, load_row> out;
    for (const auto& [vm, sender] : peers_)
    {
        for (const auto& [id, it] : sender.rows)
        {
            if (now - it.received_at > row_lifetime)
            {
                continue;
            }
            auto& sum = out[id];
            sum.upstream = id;
            sum.running += it.row.running;
            sum.waiting_tokens += it.row.waiting_tokens;
        }
    }
    return out;
}

} // namespace hyssoploft::fleet
