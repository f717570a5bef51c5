#ifndef HYSSOPLOFT_LIBGATEWAY_TARGET_CALL_HPP
#define HYSSOPLOFT_LIBGATEWAY_TARGET_CALL_HPP

// One attempt of a request at one target: an upstream of this region, or a VM
// of another region that gets the request with a signed envelope. Reports the
// call to the router, writes its span and classifies its failure.

#include <LibGateway/request_context.hpp>
#include <LibHttp/http_client.hpp>
#include <LibRetry/answer_classification.hpp>

#include <memory>
#include <optional>
#include <string>

namespace hyssoploft::gateway {

struct target_request
{
    http::request message; ///< Method, target, body and forwarded headers.
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

    /// Chooses a target. After a refusal nothing was sent.
    std::optional<refusal> choose(const routing::routing_request& request);

    /// Sends the request and reads the head of the answer. False on failure;
    /// failure() has the cause.
    http::asio::awaitable<bool>
    start(http::request message, bool fresh_connection);

    /// Reads the next part of the body; empty at its end. Nothing if the
    /// transfer failed.
    http::asio::awaitable<std::optional<std::string>> read_some();

    /// The same, for at most `limit` and until the deadline.
    http::asio::awaitable<std::optional<std::string>>
    read_some(std::chrono::nanoseconds limit);

    /// Reads the complete body. Nothing if the transfer failed or the body is
    /// too large.
    http::asio::awaitable<std::optional<std::string>> read_all();

    /// Reports to the router that the first event of a stream, or the head of
    /// another answer, arrived. Only the first call has an effect.
    void report_first_token();

    /// Marks the answer as malformed, or a stream as ended without its end
    /// marker.
    void set_malformed();

    /// Marks the answer as complete; `tokens` were generated.
    void set_completed(std::uint32_t tokens);

    /// Cancels the call because the caller disconnected or its key was
    /// withdrawn.
    void cancel();

    bool is_cancelled() const
    {
        return cancelled_;
    }

    /// Cause of the failure; nothing if the call has not failed.
    std::optional<retry::call_failure> failure() const;

    const http::bhttp::response_header<>& head() const
    {
        return call_->head();
    }

    const std::string& upstream() const
    {
        return decision_.upstream;
    }

    /// The VM that the call is forwarded to; empty for a direct call.
    const std::string& via_vm() const
    {
        return via_vm_;
    }

    bool is_too_large() const
    {
        return too_large_;
    }

private:
    std::optional<refusal> choose_vm();
    void register_running_call(const http::asio::any_io_executor& executor);
    void update_last_byte_time();
    void record_transport_status(const absl::Status& status);
    void record_answer_head();
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
    core::time_point start_time_{};
    core::time_point first_token_time_{};
    retry::call_observation seen_;
    std::uint32_t generated_tokens_ = 0;
    std::uint64_t running_call_id_ = 0; // In services_.calls; 0: none.
    std::shared_ptr<last_byte_time> last_byte_ =
        std::make_shared<last_byte_time>(0);
    bool chosen_ = false; // Set while the router counts this call as in flight.
    bool completed_ = false;
    bool cancelled_ = false;
    bool expired_ = false; // Not sent: its deadline passed before.
    bool too_large_ = false;
};

/// The refusal for a call that failed and is not retried.
refusal failure_refusal(const retry::call_failure& failure);

} // namespace hyssoploft::gateway

#endif
