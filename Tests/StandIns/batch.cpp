// Steps of a stand-in engine.

#include <StandIns/batch.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace hyssoploft::tests {

namespace {

// Changes kept for the next cache event; more are dropped, as a gap.
constexpr std::size_t max_changes = 4096;

void note(std::vector<std::uint64_t>& changes, std::uint64_t hash)
{
    if (changes.size() < max_changes)
    {
        changes.push_back(hash);
    }
}

} // namespace

batch::batch(http::asio::io_context& context, const batch_settings& settings)
    : settings_(settings), context_(context)
{}

bool batch::add(const sequence_ptr& it)
{
    if (queue_.size() >= settings_.max_queue)
    {
        return false;
    }
    const auto first = std::find_if(
        queue_.begin(), queue_.end(), [](const sequence_ptr& waiting) {
            return waiting->batch_class;
        });
    queue_.insert(it->batch_class ? queue_.end() : first, it);
    if (!stepping_)
    {
        stepping_ = true;
        http::asio::co_spawn(
            context_,
            [self = shared_from_this()] {
                return self->run();
            },
            http::asio::detached);
    }
    return true;
}

std::pair<std::vector<std::uint64_t>, std::vector<std::uint64_t>>
batch::take_cache_changes()
{
    return {std::exchange(stored_, {}), std::exchange(evicted_, {})};
}

http::asio::awaitable<void> batch::run()
{
    const auto self = shared_from_this();
    http::asio::steady_timer timer(context_);
    for (;;)
    {
        admit();
        if (running_.empty())
        {
            break;
        }
        timer.expires_after(std::chrono::microseconds(
            static_cast<std::int64_t>(step_length() * 1000)));
        http::error_code ec;
        co_await timer.async_wait(
            http::asio::redirect_error(http::asio::use_awaitable, ec));
        end_step();
    }
    stepping_ = false;
}

void batch::admit()
{
    const auto gone = [](const sequence_ptr& it) {
        return it->cancelled;
    };
    std::erase_if(queue_, gone);
    std::erase_if(running_, gone);
    while (running_.size() < settings_.capacity && !queue_.empty())
    {
        const sequence_ptr it = queue_.front();
        queue_.pop_front();
        std::uint32_t hits = 0;
        for (const std::uint64_t hash : it->prefix_hashes)
        {
            if (!touch(hash))
            {
                break;
            }
            ++hits;
        }
        const std::uint32_t cached = hits * settings_.block_tokens;
        it->prefill_left =
            it->prompt_tokens > cached ? it->prompt_tokens - cached : 1;
        running_.push_back(it);
    }
}

double batch::step_length()
{
    double ms = settings_.step_ms;
    chunk_ = 0;
    for (const sequence_ptr& it : running_)
    {
        ms += it->prefill_left == 0 ? settings_.sequence_ms : 0;
        chunk_ = std::min(chunk_ + it->prefill_left, settings_.chunk_tokens);
    }
    return ms + settings_.prompt_token_ms * chunk_;
}

void batch::end_step()
{
    prefilled_ += chunk_;
    for (const sequence_ptr& it : running_)
    {
        const std::uint32_t n = std::min(chunk_, it->prefill_left);
        chunk_ -= n;
        it->prefill_left -= n;
        if (it->prefill_left > 0)
        {
            continue;
        }
        if (it->generated++ == 0)
        {
            store(it->prefix_hashes);
        }
        it->progress.cancel();
    }
    std::erase_if(running_, [](const sequence_ptr& it) {
        return it->generated >= it->answer_tokens;
    });
}

bool batch::touch(std::uint64_t hash)
{
    const auto it = cache_.find(hash);
    if (it != cache_.end())
    {
        order_.splice(order_.end(), order_, it->second);
    }
    return it != cache_.end();
}

void batch::store(const std::vector<std::uint64_t>& hashes)
{
    for (const std::uint64_t hash : hashes)
    {
        if (touch(hash))
        {
            continue;
        }
        cache_[hash] = order_.insert(order_.end(), hash);
        note(stored_, hash);
        if (order_.size() > settings_.cache_blocks)
        {
            note(evicted_, order_.front());
            cache_.erase(order_.front());
            order_.pop_front();
        }
    }
}

} // namespace hyssoploft::tests
