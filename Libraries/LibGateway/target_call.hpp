#ifndef HYSSOPLOFT_LIBGATEWAY_TARGET_CALL_HPP
#define HYSSOPLOFT_LIBGATEWAY_TARGET_CALL_HPP

// One attempt at one target: an upstream of this region, or a VM of another
// region with an envelope. Counts the call at the router, writes its span and
// says how it ended.

#include <LibGateway/request_context.hpp>
#include <LibHttp/http_client.hpp>
#include <LibRetry/answer_classification.hpp>

#include <memory>
#include <optional>
#include <string>

namespace hyssoploft::gateway {

struct target_request
{
    http::request message; ///< Method, target, body and passed-on headers.
    routing::routing_request routing;
    bool fresh_connection = false;
};

class target_call
{
public:
    target_call(
        gateway_services& services, const request_context& context,
        http::connection_pool& pool);
    ~target_call();
    target_call(const target_call&) = delete;
    target_call& operator=(const target_call&) = delete;

    /// Chooses a target. The refusal says that nothing was sent.
    std::optional<refusal> choose(const routing::routing_request& request);

    /// Sends the request and reads the head of the answer. False if that
    /// failed; failure() says how.
    http::asio::awaitable<bool> start(http::request message, bool fresh);

    /// The next piece of the answer; empty at its end. Nothing if the answer
    /// broke off.
    http::asio::awaitable<std::optional<std::string>> read_some();

    /// The next piece within `limit` at most, and within the deadline.
    http::asio::awaitable<std::optional<std::string>>
    read_some(std::chrono::nanoseconds limit);

    /// The whole body. Nothing if it broke off or is too large.
    http::asio::awaitable<std::optional<std::string>> read_all();

    /// Tells the router that the first event of a stream or the head of a
    /// whole answer arrived. Only the first call counts.
    void set_first_token();

    /// Marks a stream's end marker as missing or the answer as malformed.
    void set_malformed();

    /// The answer is whole; `tokens` were generated.
    void set_completed(std::uint32_t tokens);

    /// Ends the call because the caller went away or its key was withdrawn.
    void cancel();

    bool cancelled() const
    {
        return cancelled_;
    }

    /// How the call failed, if it did.
    std::optional<retry::call_failure> failure() const;

    const http::bhttp::response_header<>& head() const
    {
        return call_->head();
    }

    const std::string& upstream() const
    {
        return decision_.upstream;
    }

    /// The VM that carries the call; empty for a direct one.
    const std::string& via_vm() const
    {
        return via_vm_;
    }

    bool too_large() const
    {
        return too_large_;
    }

private:
    std::optional<refusal> choose_vm();
    void watch_target(const http::asio::any_io_executor& executor);
    void note_byte();
    void observe(const absl::Status& status);
    void observe_head();
    std::chrono::nanoseconds remaining() const;
    routing::call_outcome outcome() const;
    void write_span();

    gateway_services& services_;
    const request_context& context_;
    std::shared_ptr<http::http_call> call_;
    routing::routing_request routing_;
    routing::route_decision decision_;
    std::string via_vm_;
    std::string address_; // "IP:port"
    std::string attempt_id_;
    telemetry::trace_context trace_;
    std::uint64_t start_unix_ns_ = 0;
    core::time_point started_{};
    core::time_point first_token_{};
    retry::call_observation seen_;
    std::uint32_t tokens_ = 0;
    std::uint64_t running_id_ = 0; // In services_.calls; 0: none.
    std::shared_ptr<last_byte_time> last_byte_ =
        std::make_shared<last_byte_time>(0);
    bool chosen_ = false; // The router counts this call as in flight.
    bool completed_ = false;
    bool cancelled_ = false;
    bool too_large_ = false;
};

/// The refusal for a call that failed and is not sent again.
refusal failure_refusal(const retry::call_failure& failure);

} // namespace hyssoploft::gateway

#endif
