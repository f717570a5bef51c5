#ifndef HYSSOPLOFT_LIBGATEWAY_INFERENCE_RUN_HPP
#define HYSSOPLOFT_LIBGATEWAY_INFERENCE_RUN_HPP

// One chat completion, from admission to the last byte of its answer, over
// as many attempts as it takes.

#include <LibGateway/chat_request.hpp>
#include <LibGateway/chat_stream.hpp>
#include <LibGateway/request_context.hpp>
#include <LibGateway/target_call.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace hyssoploft::gateway {

class inference_run : public std::enable_shared_from_this<inference_run>
{
public:
    /// `caller` and `services` outlive run().
    inference_run(
        gateway_services& services, http::exchange& caller,
        request_context context, chat_request request);

    http::asio::awaitable<void> run();

private:
    enum class attempt_end
    {
        answered,   // The caller has its whole answer.
        ended,      // The caller is gone or the key was withdrawn.
        call_failed // failure_ says how.
    };

    std::optional<refusal> reserve();
    http::asio::awaitable<void> attempts();
    http::asio::awaitable<attempt_end> attempt();
    http::asio::awaitable<attempt_end> relay_whole(target_call& call);
    http::asio::awaitable<attempt_end> relay_stream(target_call& call);
    http::asio::awaitable<bool> begin_answer(const target_call& call);
    http::asio::awaitable<bool> prepare_next();
    http::asio::awaitable<void> refuse(refusal it);
    http::asio::awaitable<void> end_with_error();
    routing::routing_request routing_for() const;
    http::request message() const;
    void exclude_without_resume();
    void watch();
    void settle();
    void write_span() const;

    gateway_services& services_;
    http::exchange& caller_;
    request_context context_;
    chat_request request_;
    chat_stream stream_;
    admission_ticket ticket_;
    std::optional<rate::reservation> reserved_;
    std::set<std::string> excluded_; // Upstreams that failed this request.
    target_call* current_ = nullptr; // The call in progress.
    // Of the last attempt; its state covers all attempts.
    std::optional<retry::call_failure> failure_;
    std::optional<refusal> refused_; // Sent to the caller.
    std::uint32_t attempts_ = 0;
    std::uint32_t tokens_ = 0; // Generated for this request.
    std::uint64_t active_id_ = 0;
    bool may_have_run_ = false; // An attempt may have reached an upstream.
    bool admitted_ = false;
    bool overloaded_ = false;
    bool withdrawn_ = false;
    bool answered_ = false;
};

} // namespace hyssoploft::gateway

#endif
