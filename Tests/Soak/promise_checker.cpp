// Promises of the gateway and the control plane.

#include <Soak/promise_checker.hpp>

#include <LibCore/text.hpp>

#include <algorithm>
#include <utility>

namespace hyssoploft::soak {

namespace {

/// The users' bounds for a request of which the last byte was sent, and for
/// one that outlasts its route.
constexpr std::chrono::milliseconds loss_slack{200};
constexpr std::chrono::milliseconds timeout_slack{500};
constexpr std::size_t tolerated_held_requests = 7;
constexpr std::size_t tolerated_held_share = 4; // One in four.

} // namespace

std::string plain_body(std::string_view request_id, std::string_view stamp)
{
    return core::concat("answer to ", request_id, " by ", stamp, "\n");
}

std::string event_text(std::string_view request_id, int number)
{
    return core::concat(
        "id: ", number, "\ndata: ", request_id, "-", number, "\n\n");
}

void promise_checker::sent(
    const std::string& id, request_kind kind, const std::string& account)
{
    requests_[id] = {kind, account, 0, false, period_};
}

void promise_checker::ran(
    const std::string& id, const std::string& account, bool key_passed_on)
{
    const auto found = requests_.find(id);
    if (found == requests_.end())
    {
        broken(core::concat("request ", id, " ran, but no caller sent it"));
        return;
    }
    auto& it = found->second;
    it.runs += 1;
    if (it.kind == request_kind::at_most_once && it.runs > 1)
    {
        broken(core::concat("request ", id, " ran ", it.runs, " times"));
    }
    const bool is_sound = disturbance_ == disturbance::planned_stops ||
                          disturbance_ == disturbance::silent_upstreams;
    if (it.kind == request_kind::stream && it.runs > 1 && is_sound &&
        is_calm(it))
    {
        broken(core::concat(
            "stream ", id, " was started again under ",
            core::name_of(disturbance_names, disturbance_)));
    }
    if (it.kind == request_kind::at_most_once && it.refused)
    {
        broken(core::concat("request ", id, " ran after it was refused"));
    }
    if (account != it.account)
    {
        broken(core::concat(
            "request ", id, " ran for account '", account, "', not '",
            it.account, "'"));
    }
    if (key_passed_on)
    {
        broken(core::concat("request ", id, " reached an upstream with a key"));
    }
}

void promise_checker::ran_after_departure(
    const std::string& id, const std::string& upstream)
{
    const auto found = requests_.find(id);
    if (found != requests_.end() && is_calm(found->second))
    {
        broken(core::concat(
            "request ", id, " reached ", upstream, ", which had left"));
    }
}

void promise_checker::answered(const std::string& id, const caller_answer& it)
{
    const auto found = requests_.find(id);
    if (found == requests_.end())
    {
        return;
    }
    auto& state = found->second;
    if (is_calm(state))
    {
        check_end(id, state, it);
    }
    if (it.status == 0)
    {
        return;
    }
    const bool never_ran = it.status == 408 || it.status == 421 ||
                           it.status == 429 || it.status == 503;
    if (never_ran)
    {
        state.refused = true;
        if (state.kind == request_kind::at_most_once && state.runs > 0)
        {
            broken(core::concat(
                "request ", id, " was answered ", it.status,
                " although it had run"));
        }
        return;
    }
    if (it.status == 200)
    {
        check_success(id, state, it);
    }
}

bool promise_checker::is_calm(const request_state& state) const
{
    return disturbance_ != disturbance::random_faults &&
           state.period == period_;
}

void promise_checker::check_end(
    const std::string& id, const request_state& state, const caller_answer& it)
{
    outlasted_ += it.lasted > longest_timeout ? 1 : 0;
    held_ += it.lasted >= longest_timeout + timeout_slack ? 1 : 0;
    const bool was_read = state.runs > 0 || it.lasted > loss_slack;
    if (disturbance_ != disturbance::faulty_answers && !it.complete && was_read)
    {
        broken(core::concat(
            "request ", id, " was cut off under ",
            core::name_of(disturbance_names, disturbance_), " after ",
            it.lasted.count(), " ms and ", state.runs, " runs"));
    }
}

void promise_checker::set_disturbance(disturbance it)
{
    disturbance_ = it;
    ++period_;
}

void promise_checker::finish()
{
    if (held_ > tolerated_held_requests &&
        held_ * tolerated_held_share > outlasted_)
    {
        broken(core::concat(
            held_, " of ", outlasted_,
            " requests that outlasted their route had no end by ",
            timeout_slack.count(), " ms later"));
    }
}

void promise_checker::check_success(
    const std::string& id, const request_state& state, const caller_answer& it)
{
    if (it.stamp.empty())
    {
        broken(core::concat("request ", id, ": success without a signature"));
    }
    if (state.runs == 0)
    {
        broken(core::concat("request ", id, ": success without a run"));
    }
    if (state.kind == request_kind::stream)
    {
        check_stream(id, it);
        return;
    }
    const auto wanted = plain_body(id, it.stamp);
    if (it.complete && it.body != wanted)
    {
        broken(core::concat(
            "request ", id, ": body '", it.body, "' is not its upstream's"));
        return;
    }
    successes_ += it.complete ? 1 : 0;
}

void promise_checker::check_stream(
    const std::string& id, const caller_answer& it)
{
    std::string wanted;
    for (int n = 1; n <= events_of_stream; ++n)
    {
        wanted += event_text(id, n);
    }
    // A stream that is cut is a prefix of the whole one, and not complete.
    if (wanted.compare(0, it.body.size(), it.body) != 0)
    {
        broken(core::concat(
            "stream ", id, ": events are missing, repeated or changed: '",
            it.body, "'"));
        return;
    }
    if (it.complete && it.body.size() != wanted.size())
    {
        broken(core::concat("stream ", id, " ended as complete too early"));
        return;
    }
    successes_ += it.complete ? 1 : 0;
}

void promise_checker::acknowledged(std::uint64_t version)
{
    acknowledged_ = std::max(acknowledged_, version);
}

void promise_checker::read_back(
    std::uint64_t version, std::uint64_t acknowledged_before)
{
    if (version < acknowledged_before)
    {
        broken(core::concat(
            "a read gave version ", version, " after ", acknowledged_before,
            " was acknowledged"));
    }
}

void promise_checker::broken(std::string what)
{
    violations_.push_back(std::move(what));
}

} // namespace hyssoploft::soak
