#ifndef HYSSOPLOFT_LIBHTTP_CONNECTION_POOL_HPP
#define HYSSOPLOFT_LIBHTTP_CONNECTION_POOL_HPP

// Idle keep-alive connections of one traffic thread. Not thread safe: it
// belongs to the thread that runs its io_context.

#include <LibCore/byte_budget.hpp>
#include <LibHttp/types.hpp>

#include <absl/status/statusor.h>

#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace hyssoploft::http {

/// One connection to an upstream or to another VM.
struct connection
{
    explicit connection(asio::io_context& context) : stream(context) {}

    /// Records that the connection carries the call with this identifier.
    void add_call(std::string id);

    /// False for calls before the last max_recent_calls.
    bool has_carried(const std::string& id) const;

    /// Breaks the connection if the peer acknowledges nothing for this time.
    void limit_silence(std::chrono::milliseconds timeout);

    /// A peer that is silent for this time is down or cut off. Longer than an
    /// acknowledgement between regions and two losses of it.
    static constexpr std::chrono::milliseconds default_silence_timeout{1500};

    /// Room for a head and one read; what needs more is no answer.
    static constexpr std::size_t max_buffer_bytes =
        max_header_bytes + 64 * 1024;

    /// An answer that an upstream repeats belongs to one of the last calls.
    static constexpr std::size_t max_recent_calls = 16;

    beast::tcp_stream stream;
    beast::flat_buffer buffer{max_buffer_bytes};
    std::string address;
    bool reused = false; ///< It has carried a call before.
    std::chrono::steady_clock::time_point idle_since{};
    std::chrono::nanoseconds idle_limit{}; ///< Until the peer may close it.
    std::chrono::milliseconds silence_timeout{}; ///< In force; 0: not set.
    std::deque<std::string> recent_calls;        ///< Identifiers, oldest first.
};

class connection_pool
{
public:
    /// Shorter than the keep-alive time of servers that state none.
    static constexpr std::chrono::seconds max_idle{20};

    explicit connection_pool(asio::io_context& context) : context_(context) {}

    /// Bounds the answers that calls over this pool hold in memory. Without a
    /// budget there is a bound for each answer only.
    void set_answer_budget(std::shared_ptr<core::byte_budget> budget)
    {
        answer_budget_ = std::move(budget);
    }

    const std::shared_ptr<core::byte_budget>& answer_budget() const
    {
        return answer_budget_;
    }

    /// An idle connection to "IP:port", or a new one. `fresh` asks for a new
    /// one: a reused connection may be closed by its peer while a request is
    /// on its way, and it is then unknown whether the request ran.
    /// The connection has not carried a call with the identifier `call_id`
    /// lately, so that answers on it to that call are to this one; an empty
    /// one is not compared. UNAVAILABLE when connecting fails,
    /// INVALID_ARGUMENT for a bad address.
    asio::awaitable<absl::StatusOr<std::unique_ptr<connection>>> acquire(
        std::string address, bool fresh, std::chrono::nanoseconds timeout,
        std::string call_id = {});

    /// Keeps a connection whose last answer was read completely, for
    /// `idle_limit` at most.
    void release(
        std::unique_ptr<connection> it,
        std::chrono::nanoseconds idle_limit = max_idle);

    /// Closes the idle connections that can't be used any more: those of
    /// upstreams that are gone would keep their descriptors. Call about once a
    /// second.
    void close_unusable(std::chrono::steady_clock::time_point now);

    /// Connections that are kept, for tests.
    std::size_t idle() const;

private:
    std::unique_ptr<connection>
    take_idle(const std::string& address, const std::string& call_id);

    static constexpr std::size_t max_idle_per_address = 64;

    asio::io_context& context_;
    std::shared_ptr<core::byte_budget> answer_budget_; // May be null.
    std::map<std::string, std::vector<std::unique_ptr<connection>>> idle_;
};

/// Parses "IP:port" ("[IPv6]:port"). INVALID_ARGUMENT for anything else.
absl::StatusOr<tcp::endpoint> parse_endpoint(const std::string& address);

} // namespace hyssoploft::http

#endif
