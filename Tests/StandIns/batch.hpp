#ifndef HYSSOPLOFT_TESTS_STANDINS_BATCH_HPP
#define HYSSOPLOFT_TESTS_STANDINS_BATCH_HPP

// Continuous batching of a stand-in engine in real time: steps whose length
// grows with the batch, chunked prefill, and a limited prefix cache.

#include <LibHttp/types.hpp>

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <deque>
#include <list>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hyssoploft::tests {

struct batch_settings
{
    double step_ms = 8;               ///< Fixed part of a step.
    double sequence_ms = 0.4;         ///< For each sequence that decodes.
    double prompt_token_ms = 0.12;    ///< For each prompt token of a step.
    std::uint32_t chunk_tokens = 512; ///< Prompt tokens of a step at most.
    std::uint32_t capacity = 16;      ///< Sequences of a step at most.
    std::uint32_t max_queue = 48;     ///< Waiting sequences at most.
    std::size_t cache_blocks = 1500;
    std::uint32_t block_tokens = 64;
};

/// One call in the engine.
struct sequence
{
    explicit sequence(http::asio::any_io_executor executor)
        : progress(std::move(executor))
    {}

    std::vector<std::uint64_t> prefix_hashes;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t answer_tokens = 0; ///< Tokens to generate.
    bool batch_class = false;        ///< Waits behind interactive calls.
    bool cancelled = false;
    std::uint32_t generated = 0;
    std::uint32_t prefill_left = 0;
    http::asio::steady_timer progress; ///< Cancelled on every token.
};
using sequence_ptr = std::shared_ptr<sequence>;

/// Used on one thread only.
class batch : public std::enable_shared_from_this<batch>
{
public:
    batch(http::asio::io_context& context, const batch_settings& settings);

    /// False when the queue is full.
    bool add(const sequence_ptr& it);

    std::uint32_t running() const
    {
        return static_cast<std::uint32_t>(running_.size());
    }

    std::uint32_t queued() const
    {
        return static_cast<std::uint32_t>(queue_.size());
    }

    /// Prompt tokens that were computed and not taken from the cache.
    std::uint64_t prefilled() const
    {
        return prefilled_;
    }

    /// Blocks that were stored and evicted since the last call.
    std::pair<std::vector<std::uint64_t>, std::vector<std::uint64_t>>
    take_cache_changes();

private:
    http::asio::awaitable<void> run();
    void admit();
    double step_length();
    void end_step();
    bool touch(std::uint64_t hash);
    void store(const std::vector<std::uint64_t>& hashes);

    const batch_settings settings_;
    http::asio::io_context& context_;
    bool stepping_ = false;
    std::uint32_t chunk_ = 0; // Prompt tokens of the running step.
    std::uint64_t prefilled_ = 0;
    std::deque<sequence_ptr> queue_;
    std::vector<sequence_ptr> running_;
    std::list<std::uint64_t> order_; // Least recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
        cache_;
    std::vector<std::uint64_t> stored_;
    std::vector<std::uint64_t> evicted_;
};

} // namespace hyssoploft::tests

#endif
