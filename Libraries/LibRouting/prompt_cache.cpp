// Least-recently-used parts of prompts.

#include <LibRouting/prompt_cache.hpp>

namespace hyssoploft::routing {

std::uint32_t
prompt_cache::cached_tokens(const std::vector<prompt_part>& parts) const
{
    std::uint32_t out = 0;
    for (const auto& it : parts)
    {
        if (!parts_.contains(it.id))
        {
            break;
        }
        out += it.tokens;
    }
    return out;
}

void prompt_cache::use(
    const std::vector<prompt_part>& parts, std::uint64_t capacity)
{
    // The first parts are the most shared ones: they are touched last.
    for (auto part = parts.rbegin(); part != parts.rend(); ++part)
    {
        const auto found = parts_.find(part->id);
        if (found != parts_.end())
        {
            order_.splice(order_.begin(), order_, found->second);
            continue;
        }
        order_.push_front(*part);
        parts_[part->id] = order_.begin();
        tokens_ += part->tokens;
    }
    while (!order_.empty() && (tokens_ > capacity || order_.size() > max_parts))
    {
        tokens_ -= order_.back().tokens;
        parts_.erase(order_.back().id);
        order_.pop_back();
    }
}

void prompt_cache::clear()
{
    order_.clear();
    parts_.clear();
    tokens_ = 0;
}

} // namespace hyssoploft::routing
