// Sends one call and classifies the answer by its head.

#include <LibRelay/upstream_attempt.hpp>

#include <LibCore/log_line.hpp>
#include <LibCore/text.hpp>
#include <LibFleet/entry_directory.hpp>
#include <LibRelay/relay_ticket.hpp>
#include <LibRelay/repeat_rules.hpp>

#include <glog/logging.h>

namespace hyssoploft::relay {

namespace {

/// Limit on skipped late answers to earlier calls on the same connection.
constexpr int max_stale_answers = 2;
/// VMs of another region through which one VM sends its calls. More than one,
/// as one may be lost before this VM learns of it.
constexpr std::size_t max_relay_vms = 3;
/// Bodies of refusals are short.
constexpr std::size_t max_refusal_bytes = 64 * 1024;

/// Statuses that promise callers that a request has not run.
constexpr bool promises_not_run(unsigned status)
{
    constexpr unsigned request_timeout = 408;
    constexpr unsigned misdirected = 421;
    constexpr unsigned too_many_requests = 429;
    constexpr unsigned unavailable = 503;
    return status == request_timeout || status == misdirected ||
           status == too_many_requests || status == unavailable;
}

} // namespace

upstream_attempt::upstream_attempt(
    relay_services& services, const request_terms& terms,
    http::connection_pool& pool)
    : services_(services), terms_(terms), call_(pool)
{
    call_.set_silence_timeout(silence_timeout_for(
        http::connection::default_silence_timeout,
        terms_.deadline - services_.clock->now()));
    call_.set_identifier(terms_.request_id);
}

bool upstream_attempt::choose_address(
    const fleet::traffic_view& view, const routing::placement& chosen)
{
    if (chosen.local)
    {
        const auto found = view.fleet->upstreams.find(chosen.upstream);
        address_ = found == view.fleet->upstreams.end() ? std::string()
                                                        : found->second.address;
        return !address_.empty();
    }
    const auto vms =
        fleet::preferred_relay_vms(*view.fleet, chosen.region, max_relay_vms);
    if (vms.empty())
    {
        return false;
    }
    const auto& vm = *vms[services_.random->below(vms.size())];
    address_ = vm.relay_address;
    via_vm_ = vm.id;
    return true;
}

absl::Status upstream_attempt::check_target(
    const routing::placement& target, core::time_point now)
{
    const auto view = services_.source->view();
    if (terms_.deadline - now < min_time_left)
    {
        return absl::UnavailableError("no time left at the time of sending");
    }
    // Another manifest may have withdrawn the key or moved the route.
    if (!terms_.relayed && view->routes &&
        view->routes->version() != terms_.manifest_version)
    {
        return absl::UnavailableError("admitted under an older manifest");
    }
    const bool is_quarantined =
        terms_.is_engine && !terms_.ignores_quarantine &&
        services_.guard.check(*view, terms_.head.parts, now).verdict !=
            prompt_verdict::allowed;
    if (is_quarantined)
    {
        return absl::UnavailableError("a part of the prompt is quarantined");
    }
    if (!target.local)
    {
        return absl::OkStatus();
    }
    const auto found = view->fleet->upstreams.find(target.upstream);
    const bool is_usable =
        found != view->fleet->upstreams.end() &&
        found->second.state == membership::upstream_state::serving &&
        found->second.address == address_ &&
        !services_.router->leaving().contains(
            target.upstream, found->second.incarnation) &&
        services_.router->pauses().ends_at(
            target.upstream, found->second.incarnation, now) <= now &&
        !view->evacuated.contains(found->second.data_center);
    if (!is_usable)
    {
        return absl::UnavailableError("the upstream may not be used any more");
    }
    upstream_ = target.upstream;
    incarnation_ = found->second.incarnation;
    return absl::OkStatus();
}

void upstream_attempt::obey_answer()
{
    // A VM that forwarded the call obeys its upstream itself. Another upstream
    // that uses the address now is not the one that was called.
    if (upstream_.empty() || parsed_answer_.is_address_reused)
    {
        return;
    }
    const auto now = services_.clock->now();
    const auto pause = parsed_answer_.pause;
    if (pause &&
        services_.router->pauses().add(upstream_, incarnation_, *pause, now))
    {
        LOG(INFO) << core::log_line("upstream_pauses")
                         .with("upstream", upstream_)
                         .with("incarnation", incarnation_)
                         .with("asked_s", core::to_seconds(*pause));
    }
    const bool leaves_now =
        parsed_answer_.upstream_leaves &&
        services_.router->leaving().add(upstream_, incarnation_, now);
    if (leaves_now)
    {
        LOG(INFO) << core::log_line("upstream_leaves_by_answer")
                         .with("upstream", upstream_)
                         .with("incarnation", incarnation_)
                         .with("status", call_.head().result_int());
        services_.leaves->report_leaving(upstream_, incarnation_, now);
    }
}

http::request upstream_attempt::make_message(
    const routing::placement& target, const http::request& from,
    const std::string& last_event_id, core::time_point now) const
{
    call_terms upstream_terms;
    upstream_terms.upstream = target.local ? target.upstream : std::string();
    upstream_terms.account = terms_.account;
    upstream_terms.time_left = terms_.deadline - now;
    upstream_terms.urgency = terms_.urgency;
    upstream_terms.is_engine = terms_.is_engine;
    upstream_terms.last_event_id = last_event_id;
    auto message = services_.codec->make_upstream_call(from, upstream_terms);
    message.erase(ticket_header);
    if (!target.local)
    {
        relay_ticket ticket;
        ticket.request_id = terms_.request_id;
        ticket.role = terms_.role;
        ticket.account = terms_.account;
        ticket.last_event_id = last_event_id;
        ticket.time_left = upstream_terms.time_left;
        ticket.latency_target = terms_.latency_target;
        ticket.urgency = terms_.urgency;
        ticket.is_engine = terms_.is_engine;
        ticket.ignores_quarantine = terms_.ignores_quarantine;
        ticket.is_idempotent =
            terms_.repeat == manifest::repeat_kind::idempotent;
        message.set(ticket_header, encode(ticket, services_.fleet_key));
    }
    return message;
}

http::asio::awaitable<attempt_result> upstream_attempt::start(
    const fleet::traffic_view& view, const routing::placement& target,
    const http::request& from, const std::string& last_event_id,
    std::chrono::nanoseconds limit)
{
    if (!choose_address(view, target))
    {
        co_return attempt_result{
            execution_state::not_run, routing::placement_outcome::unreachable,
            false, absl::UnavailableError("no address for the call")};
    }
    bool is_expired = false;
    // Made when the connection is there: the process may have been paused, or
    // connecting may have taken long.
    const auto message_at_sending = [&]() -> absl::StatusOr<http::request> {
        auto message =
            make_message(target, from, last_event_id, services_.clock->now());
        // Read again: the process may have been paused since.
        const auto status = check_target(target, services_.clock->now());
        is_expired = !status.ok();
        if (is_expired)
        {
            return status;
        }
        return message;
    };
    const auto status =
        co_await call_.start(address_, message_at_sending, false, limit);
    if (status.ok())
    {
        co_return co_await classify_answer(limit);
    }
    if (call_.stage() == http::call_stage::connecting)
    {
        // The upstream is not to blame.
        const bool is_cancelled = is_expired || absl::IsCancelled(status) ||
                                  absl::IsInvalidArgument(status);
        co_return attempt_result{
            execution_state::not_run,
            is_cancelled ? routing::placement_outcome::cancelled
                         : routing::placement_outcome::unreachable,
            false, status};
    }
    co_return attempt_result{
        execution_state::may_have_run,
        absl::IsCancelled(status) ? routing::placement_outcome::cancelled
                                  : routing::placement_outcome::broken,
        true, status};
}

http::asio::awaitable<absl::Status>
upstream_attempt::skip_stale_answers(std::chrono::nanoseconds limit)
{
    for (int n = 0;; ++n)
    {
        parsed_answer_ = services_.codec->read_answer(call_.head());
        obey_answer();
        if (parsed_answer_.request_id == terms_.request_id)
        {
            co_return absl::OkStatus();
        }
        if (parsed_answer_.request_id.empty())
        {
            // VMs of the fleet answer once. An upstream's answer that names no
            // call belongs to this one only if there was no other.
            if (!via_vm_.empty() || !call_.reused_connection())
            {
                co_return absl::OkStatus();
            }
            services_.metrics
                ->get_counter("hyssoploft_unidentified_answers_total")
                .add();
            co_return absl::DataLossError(
                "the answer names no call, and the connection carried others");
        }
        services_.metrics->get_counter("hyssoploft_crossed_answers_total")
            .add();
        if (n == max_stale_answers)
        {
            co_return absl::DataLossError(
                "received only answers to other calls");
        }
        const auto status = co_await call_.next_answer(limit);
        if (!status.ok())
        {
            co_return status;
        }
    }
}

http::asio::awaitable<attempt_result>
upstream_attempt::classify_answer(std::chrono::nanoseconds limit)
{
    const auto status = co_await skip_stale_answers(limit);
    if (!status.ok())
    {
        call_.cancel();
        co_return attempt_result{
            execution_state::may_have_run,
            absl::IsCancelled(status) ? routing::placement_outcome::cancelled
                                      : routing::placement_outcome::broken,
            true, status};
    }
    const auto code = call_.head().result_int();
    // not_run_header is trusted from VMs of the fleet only.
    const auto not_run_value =
        via_vm_.empty() ? std::string_view()
                        : http::header_value(call_.head(), not_run_header);
    const bool not_run = parsed_answer_.not_run ||
                         parsed_answer_.is_address_reused ||
                         not_run_value == "true";
    if (not_run)
    {
        const auto end = parsed_answer_.is_address_reused
                             ? routing::placement_outcome::misplaced
                             : routing::placement_outcome::rejected;
        // Reads the body only to make the connection reusable; the headers
        // already state that the call did not run.
        const auto body = co_await call_.read_all(max_refusal_bytes, limit);
        co_return attempt_result{
            execution_state::not_run, end, true,
            absl::UnavailableError(
                core::concat("status ", code, body.ok() ? "" : ", cut"))};
    }
    if (promises_not_run(code) && not_run_value.empty())
    {
        // Nobody states that the call has not run, so callers must not hear a
        // status that promises it.
        call_.cancel();
        co_return attempt_result{
            execution_state::may_have_run, routing::placement_outcome::errored,
            true,
            absl::DataLossError(
                core::concat("status ", code, " without a statement"))};
    }
    const bool is_success = code >= 200 && code < 300;
    const bool is_valid = !parsed_answer_.has_content_encoding &&
                          (!is_success || (parsed_answer_.signed_by_upstream &&
                                           !parsed_answer_.request_id.empty()));
    if (not_run_value == "unknown" || !is_valid)
    {
        call_.cancel();
        co_return attempt_result{
            execution_state::may_have_run, routing::placement_outcome::broken,
            true,
            absl::DataLossError(core::concat(
                "status ", code, ", not a valid upstream answer"))};
    }
    co_return attempt_result{
        execution_state::answered, routing::placement_outcome::completed, true,
        absl::OkStatus()};
}

} // namespace hyssoploft::relay
