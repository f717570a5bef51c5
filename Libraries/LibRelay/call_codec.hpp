#ifndef HYSSOPLOFT_LIBRELAY_CALL_CODEC_HPP
#define HYSSOPLOFT_LIBRELAY_CALL_CODEC_HPP

// Interface that reads and writes the headers exchanged between callers,
// upstreams and the fleet. Implementations contain formats, no policy.

#include <LibGateway/refusal.hpp>
#include <LibHttp/types.hpp>
#include <LibRouting/prompt_cache.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hyssoploft::relay {

/// Properties of a request, read from its head.
struct call_head
{
    std::string request_id; ///< Identifies this attempt of the caller.
    std::string host;
    std::string target;
    std::string key;                        ///< May be empty.
    std::optional<core::duration> deadline; ///< Time the caller waits.
    std::string last_event_id; ///< Resume after this event; may be empty.
    bool has_token_count = false;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t answer_tokens = 0;         ///< Upper bound.
    std::vector<routing::prompt_part> parts; ///< In order.
};

/// Terms of a call that the fleet sends to an upstream.
struct call_terms
{
    std::string upstream; ///< Only this one may run it; empty: any.
    std::string account;  ///< Empty on an open route.
    core::duration time_left{};
    std::uint32_t urgency = 0; ///< 0 is the most urgent.
    bool is_engine = false;    ///< `urgency` applies.
    std::string last_event_id; ///< Resume after it; empty: as requested.
};

/// Properties of an answer, read from its head.
struct answer_head
{
    std::string request_id; ///< Empty if the header is missing.
    bool not_run = false; ///< The upstream states that it did not run the call.
    bool is_address_reused = false; ///< Another upstream uses this address now.
    bool is_stream = false;         ///< The body is a stream of events.
    bool has_content_encoding = false; ///< The body has a content encoding.
    bool signed_by_upstream = false;
    bool upstream_leaves = false; ///< It wants no new calls from now on.
    /// It wants no calls of this VM for this time. Only with status 503.
    std::optional<core::duration> pause;
};

class call_codec
{
public:
    virtual ~call_codec() = default;

    virtual call_head read_call(const http::request& it) const = 0;

    /// The caller's request as sent to an upstream: without the key and without
    /// headers that only the fleet may set.
    virtual http::request make_upstream_call(
        const http::request& from, const call_terms& terms) const = 0;

    virtual answer_head
    read_answer(const http::bhttp::response_header<>& it) const = 0;

    /// Copies the headers of an answer that are forwarded to the caller.
    virtual void copy_answer_headers(
        const http::bhttp::response_header<>& from,
        http::bhttp::response_header<>& to) const = 0;

    virtual http::response make_refusal(const gateway::refusal& it) const = 0;
};

} // namespace hyssoploft::relay

#endif
