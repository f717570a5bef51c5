// Sends one call and judges the head of its answer.

#include <LibRelay/upstream_attempt.hpp>

#include <LibCore/text.hpp>
#include <LibFleet/entry_directory.hpp>
#include <LibRelay/relay_ticket.hpp>

namespace hyssoploft::relay {

namespace {

/// Late answers to earlier calls on the connection that are passed over.
constexpr int max_crossed_answers = 2;
/// Bodies of refusals are short.
constexpr std::size_t max_refusal_bytes = 64 * 1024;

} // namespace

upstream_attempt::upstream_attempt(
    relay_services& services, const request_terms& terms,
    http::connection_pool& pool)
    : services_(services), terms_(terms), call_(pool)
{}

bool upstream_attempt::address_call(
    const fleet::traffic_view& view, const routing::placement& to)
{
    if (to.local)
    {
        const auto found = view.fleet->upstreams.find(to.upstream);
        address_ = found == view.fleet->upstreams.end() ? std::string()
                                                        : found->second.address;
        return !address_.empty();
    }
    const auto vms = fleet::relay_vms_of(*view.fleet, to.region);
    if (vms.empty())
    {
        return false;
    }
    const auto& vm = *vms[services_.random->below(vms.size())];
    address_ = vm.relay_address;
    via_vm_ = vm.id;
    return true;
}

http::asio::awaitable<attempt_result> upstream_attempt::start(
    const fleet::traffic_view& view, const routing::placement& where,
    const http::request& from, const std::string& last_event_id,
    std::chrono::nanoseconds limit)
{
    if (!address_call(view, where))
    {
        co_return attempt_result{
            run_knowledge::not_run, routing::call_end::unreachable, false,
            "no address"};
    }
    call_terms to;
    to.upstream = where.local ? where.upstream : std::string();
    to.account = terms_.account;
    to.time_left = terms_.deadline - services_.clock->now();
    to.urgency = terms_.urgency;
    to.is_engine = terms_.is_engine;
    to.last_event_id = last_event_id;
    auto message = services_.codec->make_upstream_call(from, to);
    message.erase(ticket_header);
    if (!where.local)
    {
        relay_ticket ticket;
        ticket.request_id = terms_.request_id;
        ticket.role = terms_.role;
        ticket.account = terms_.account;
        ticket.last_event_id = last_event_id;
        ticket.time_left = to.time_left;
        ticket.latency_target = terms_.latency_target;
        ticket.urgency = terms_.urgency;
        ticket.is_engine = terms_.is_engine;
        ticket.is_idempotent =
            terms_.repeat == manifest::repeat_kind::idempotent;
        message.set(ticket_header, encode(ticket, services_.fleet_key));
    }
    const auto status =
        co_await call_.start(address_, std::move(message), false, limit);
    if (status.ok())
    {
        co_return co_await judge_head(limit);
    }
    if (call_.stage() == http::call_stage::connecting)
    {
        co_return attempt_result{
            run_knowledge::not_run,
            absl::IsCancelled(status) ? routing::call_end::cancelled
                                      : routing::call_end::unreachable,
            false, status.ToString()};
    }
    co_return attempt_result{
        run_knowledge::may_have_run,
        absl::IsCancelled(status) ? routing::call_end::cancelled
                                  : routing::call_end::broken,
        true, status.ToString()};
}

http::asio::awaitable<absl::Status>
upstream_attempt::skip_crossed_answers(std::chrono::nanoseconds limit)
{
    for (int n = 0;; ++n)
    {
        meaning_ = services_.codec->read_answer(call_.head());
        const bool crossed = !meaning_.request_id.empty() &&
                             meaning_.request_id != terms_.request_id;
        if (!crossed)
        {
            co_return absl::OkStatus();
        }
        services_.metrics->get_counter("hyssoploft_crossed_answers_total")
            .add();
        if (n == max_crossed_answers)
        {
            co_return absl::DataLossError("answers to other calls came");
        }
        const auto status = co_await call_.next_answer(limit);
        if (!status.ok())
        {
            co_return status;
        }
    }
}

http::asio::awaitable<attempt_result>
upstream_attempt::judge_head(std::chrono::nanoseconds limit)
{
    const auto status = co_await skip_crossed_answers(limit);
    if (!status.ok())
    {
        co_return attempt_result{
            run_knowledge::may_have_run,
            absl::IsCancelled(status) ? routing::call_end::cancelled
                                      : routing::call_end::broken,
            true, status.ToString()};
    }
    const auto code = call_.head().result_int();
    // Only VMs of the fleet are believed this header.
    const auto statement =
        via_vm_.empty() ? std::string_view()
                        : http::header_value(call_.head(), not_run_header);
    const bool not_run =
        meaning_.not_run || meaning_.misplaced || statement == "true";
    if (not_run)
    {
        const auto end = meaning_.misplaced ? routing::call_end::misplaced
                                            : routing::call_end::rejected;
        // The body is read so that the connection can be used again; the
        // statement holds without it.
        const auto body = co_await call_.read_all(max_refusal_bytes, limit);
        co_return attempt_result{
            run_knowledge::not_run, end, true,
            core::concat("status ", code, body.ok() ? "" : ", cut")};
    }
    const bool success = code >= 200 && code < 300;
    const bool sound =
        !meaning_.encoded && (!success || (meaning_.signed_by_upstream &&
                                           !meaning_.request_id.empty()));
    if (statement == "unknown" || !sound)
    {
        call_.cancel();
        co_return attempt_result{
            run_knowledge::may_have_run, routing::call_end::broken, true,
            core::concat("status ", code, " of no upstream")};
    }
    co_return attempt_result{
        run_knowledge::answered, routing::call_end::completed, true, ""};
}

} // namespace hyssoploft::relay
