// Promises of the gateway and the control plane.

#include <Soak/promise_checker.hpp>

#include <LibCore/text.hpp>

#include <algorithm>
#include <utility>

namespace hyssoploft::soak {

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
    requests_[id] = {kind, account};
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

void promise_checker::answered(const std::string& id, const caller_answer& it)
{
    const auto found = requests_.find(id);
    if (found == requests_.end() || it.status == 0)
    {
        return;
    }
    auto& state = found->second;
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
