// Table of refusals and their HTTP responses.

#include <LibGateway/refusal.hpp>

#include <LibCore/text.hpp>

#include <boost/json.hpp>
#include <glog/logging.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace hyssoploft::gateway {

namespace {

namespace json = boost::json;

using reason = refusal_reason;

constexpr std::array rules{
    refusal_rule{
        reason::malformed_request, "malformed_request", 400, not_run::yes},
    refusal_rule{reason::missing_key, "missing_key", 401, not_run::yes},
    refusal_rule{reason::unknown_key, "unknown_key", 401, not_run::yes},
    // A running stream also ends with this reason; not_run is then `no`.
    refusal_rule{reason::withdrawn_key, "withdrawn_key", 401, not_run::yes},
    refusal_rule{
        reason::too_many_bad_keys, "too_many_bad_keys", 429, not_run::yes},
    refusal_rule{reason::unknown_model, "unknown_model", 404, not_run::yes},
    refusal_rule{reason::unknown_route, "unknown_route", 404, not_run::yes},
    refusal_rule{reason::vm_isolated, "vm_isolated", 503, not_run::yes},
    refusal_rule{
        reason::residency_forbids, "residency_forbids", 403, not_run::yes},
    refusal_rule{reason::rate_exceeded, "rate_exceeded", 429, not_run::yes},
    refusal_rule{
        reason::request_exceeds_burst, "request_exceeds_burst", 413,
        not_run::yes},
    refusal_rule{reason::queue_full, "queue_full", 503, not_run::yes},
    refusal_rule{
        reason::deadline_too_near, "deadline_too_near", 503, not_run::yes},
    refusal_rule{reason::shutting_down, "shutting_down", 503, not_run::yes},
    refusal_rule{reason::no_upstream, "no_upstream", 503, not_run::yes},
    refusal_rule{
        reason::prompt_quarantined, "prompt_quarantined", 503, not_run::yes},
    refusal_rule{reason::upstreams_busy, "upstreams_busy", 503, not_run::yes},
    refusal_rule{
        reason::link_budget_exhausted, "link_budget_exhausted", 503,
        not_run::yes},
    refusal_rule{
        reason::upstream_failed, "upstream_failed", 502, not_run::unknown},
    refusal_rule{
        reason::upstream_timeout, "upstream_timeout", 504, not_run::unknown},
    refusal_rule{
        reason::answer_too_large, "answer_too_large", 502, not_run::no},
    refusal_rule{reason::stream_broken, "stream_broken", 502, not_run::no},
    refusal_rule{
        reason::idempotency_key_missing, "idempotency_key_missing", 400,
        not_run::yes},
    refusal_rule{
        reason::idempotency_key_reuse, "idempotency_key_reuse", 422,
        not_run::yes},
    refusal_rule{
        reason::order_in_progress, "order_in_progress", 409, not_run::unknown},
    refusal_rule{
        reason::result_unknown, "result_unknown", 504, not_run::unknown},
    refusal_rule{
        reason::answer_not_stored, "answer_not_stored", 409, not_run::no},
    refusal_rule{reason::no_quorum, "no_quorum", 503, not_run::yes},
    refusal_rule{reason::ledger_full, "ledger_full", 503, not_run::yes},
    refusal_rule{
        reason::envelope_invalid, "envelope_invalid", 403, not_run::yes},
    refusal_rule{reason::loop_detected, "loop_detected", 508, not_run::yes},
};

std::string_view openai_type(unsigned status)
{
    if (status == 401)
    {
        return "authentication_error";
    }
    if (status == 403)
    {
        return "permission_error";
    }
    if (status == 429)
    {
        return "rate_limit_error";
    }
    return status < 500 ? "invalid_request_error" : "server_error";
}

// Seconds rounded up: Retry-After (RFC 9110) takes whole seconds.
long retry_after_seconds(const refusal& it)
{
    return std::lround(std::ceil(core::to_seconds(it.retry_after)));
}

} // namespace

const refusal_rule& rule_of(refusal_reason wanted)
{
    const auto* it = std::find_if(
        rules.begin(), rules.end(), [wanted](const refusal_rule& row) {
            return row.reason == wanted;
        });
    CHECK(it != rules.end()) << "refusal reason without a row";
    return *it;
}

refusal make_refusal(refusal_reason wanted, std::string message)
{
    refusal it;
    it.reason = wanted;
    it.message = std::move(message);
    it.ran = rule_of(wanted).default_not_run;
    return it;
}

refusal make_refusal(refusal_reason wanted, std::string message, not_run ran)
{
    refusal it = make_refusal(wanted, std::move(message));
    it.ran = ran;
    return it;
}

std::string to_json(const refusal& it)
{
    const auto& rule = rule_of(it.reason);
    json::object error{
        {"message", it.message},
        {"type", json::string(openai_type(rule.status))},
        {"code", json::string(rule.name)},
        {"reason", json::string(rule.name)}};
    if (it.ran == not_run::unknown)
    {
        error["not_run"] = "unknown";
    }
    else
    {
        error["not_run"] = it.ran == not_run::yes;
    }
    if (it.retry_after.count() > 0)
    {
        error["retry_after"] = core::to_seconds(it.retry_after);
    }
    if (!it.other_vms.empty())
    {
        json::array vms;
        for (const auto& vm : it.other_vms)
        {
            vms.emplace_back(vm);
        }
        error["other_vms"] = std::move(vms);
    }
    return json::serialize(json::object{{"error", std::move(error)}});
}

http::response to_response(const refusal& it)
{
    const auto& rule = rule_of(it.reason);
    http::response answer(http::bhttp::int_to_status(rule.status), 11);
    answer.set(http::bhttp::field::content_type, "application/json");
    answer.set("x-hyssoploft-reason", rule.name.data());
    answer.set(
        "x-hyssoploft-not-run", core::name_of(not_run_names, it.ran).data());
    if (it.retry_after.count() > 0)
    {
        answer.set(
            http::bhttp::field::retry_after,
            std::to_string(retry_after_seconds(it)));
    }
    answer.body() = to_json(it);
    return answer;
}

} // namespace hyssoploft::gateway
