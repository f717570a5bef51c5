// Least recently used cache of prompt parts.

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

void prompt_cache::add_prompt(
    const std::vector<prompt_part>& parts, std::uint64_t capacity)
{
    // Leading parts are shared most; adding them last evicts them last.
    for (auto part = parts.rbegin(); part != parts.rend(); ++part)
    {
        const auto found = parts_.find(part->id);
        if (found != parts_.end())
        {
            lru_.splice(lru_.begin(), lru_, found->second);
            continue;
        }
        lru_.push_front(*part);
        parts_[part->id] = lru_.begin();
        tokens_ += part->tokens;
    }
    while (!lru_.empty() && (tokens_ > capacity || lru_.size() > max_parts))
    {
        tokens_ -= lru_.back().tokens;
        parts_.erase(lru_.back().id);
        lru_.pop_back();
    }
}

void prompt_cache::clear()
{
    lru_.clear();
    parts_.clear();
    tokens_ = 0;
}

} // namespace hyssoploft::routing
