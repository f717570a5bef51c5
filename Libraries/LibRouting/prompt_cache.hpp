#ifndef HYSSOPLOFT_LIBROUTING_PROMPT_CACHE_HPP
#define HYSSOPLOFT_LIBROUTING_PROMPT_CACHE_HPP

// Estimate of an engine's prefix cache from the prompts that this VM sent
// there. Eviction is least recently used.

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace hyssoploft::routing {

/// One part of a prompt. Prompts that begin with the same parts share them.
struct prompt_part
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

class prompt_cache
{
public:
    /// Tokens at the start of a prompt that are cached: a part counts only if
    /// all parts before it are cached.
    std::uint32_t cached_tokens(const std::vector<prompt_part>& parts) const;

    /// Adds a prompt that was sent to the engine, which caches `capacity`
    /// tokens.
    void
    add_prompt(const std::vector<prompt_part>& parts, std::uint64_t capacity);

    /// The engine restarted.
    void clear();

    /// Bounds memory; more parts than an engine of 1 M tokens caches.
    static constexpr std::size_t max_parts = 4096;

private:
    std::list<prompt_part> lru_; // Most recently used first.
    std::unordered_map<std::uint64_t, std::list<prompt_part>::iterator> parts_;
    std::uint64_t tokens_ = 0; // Sum over lru_.
};

} // namespace hyssoploft::routing

#endif
