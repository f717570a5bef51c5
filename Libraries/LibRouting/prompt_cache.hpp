#ifndef HYSSOPLOFT_LIBROUTING_PROMPT_CACHE_HPP
#define HYSSOPLOFT_LIBROUTING_PROMPT_CACHE_HPP

// What this VM believes an engine keeps of the prompts that it sent there. An
// engine drops the parts that were used least recently. Pure.

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
    /// Tokens at the start of a prompt that need not be read again: a part
    /// counts only if all parts before it are kept.
    std::uint32_t cached_tokens(const std::vector<prompt_part>& parts) const;

    /// A prompt was sent to the engine, which keeps `capacity` tokens.
    void use(const std::vector<prompt_part>& parts, std::uint64_t capacity);

    /// The engine was started anew.
    void clear();

    /// Bounds memory: more parts than an engine of 1 M tokens keeps.
    static constexpr std::size_t max_parts = 4096;

private:
    std::list<prompt_part> order_; // Most recently used first.
    std::unordered_map<std::uint64_t, std::list<prompt_part>::iterator> parts_;
    std::uint64_t tokens_ = 0; // Sum over order_.
};

} // namespace hyssoploft::routing

#endif
