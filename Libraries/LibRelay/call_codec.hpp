#ifndef HYSSOPLOFT_LIBRELAY_CALL_CODEC_HPP
#define HYSSOPLOFT_LIBRELAY_CALL_CODEC_HPP

// Interface to the headers that callers, upstreams and this fleet exchange. A
// codec holds names and formats; it decides nothing.

#include <LibGateway/refusal.hpp>
#include <LibHttp/types.hpp>
#include <LibRouting/prompt_cache.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hyssoploft::relay {

/// What a caller says about its request.
struct call_head
{
    std::string request_id; ///< Of this attempt of the caller.
    std::string host;
    std::string target;
    std::string key;                        ///< Empty: none.
    std::optional<core::duration> deadline; ///< The caller waits so long.
    std::string last_event_id; ///< The caller resumes after it; empty: no.
    bool has_token_count = false;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t answer_tokens = 0;         ///< At most.
    std::vector<routing::prompt_part> parts; ///< In order.
};

/// What the fleet says to the upstream that gets a call.
struct call_terms
{
    std::string upstream; ///< Another upstream must not run it; empty: any.
    std::string account;  ///< Empty on an open route.
    core::duration time_left{};
    std::uint32_t urgency = 0; ///< 0 is the most urgent.
    bool is_engine = false;    ///< Urgency counts.
    std::string last_event_id; ///< Resume after it; empty: as the caller said.
};

/// What an upstream says about its answer.
struct answer_head
{
    std::string request_id; ///< Empty: the answer names none.
    bool not_run = false;   ///< The upstream states that it has not run.
    bool misplaced = false; ///< Another upstream has the address.
    bool is_stream = false; ///< The body is a series of events.
    bool encoded = false;   ///< The body is not the upstream's bytes.
    bool signed_by_upstream = false;
};

class call_codec
{
public:
    virtual ~call_codec() = default;

    virtual call_head read_call(const http::request& it) const = 0;

    /// The message for an upstream: what the caller sent, without its key and
    /// without headers that only the fleet may set.
    virtual http::request make_upstream_call(
        const http::request& from, const call_terms& terms) const = 0;

    virtual answer_head
    read_answer(const http::bhttp::response_header<>& it) const = 0;

    /// Copies the headers of an answer that the caller gets.
    virtual void copy_answer_headers(
        const http::bhttp::response_header<>& from,
        http::bhttp::response_header<>& to) const = 0;

    virtual http::response make_refusal(const gateway::refusal& it) const = 0;
};

} // namespace hyssoploft::relay

#endif
