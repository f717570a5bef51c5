// Credit of accounts: the grantors' pools and the loans of VMs.

#include <LibControl/fleet_control.hpp>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace hyssoploft::control {

namespace {

using wire::message_type;

/// After a change of the voters, grants of both divisions are in force.
constexpr std::chrono::seconds voter_count_memory{10};
/// A round trip within a region and a wait for the processor. A request that
/// waits longer would rather try the next grantor.
constexpr std::chrono::milliseconds near_loan_timeout{150};
/// The same between regions.
constexpr std::chrono::milliseconds far_loan_timeout{350};
/// An account for which no grantor had credit is not asked for again before
/// this time: a caller that sends many times its rate would load them all.
constexpr std::chrono::milliseconds no_loan_pause{100};

} // namespace

struct fleet_control::running_loan
{
    std::string account;
    rate::loan_search search;
    loan_handler done;
    std::size_t pending = 0; // Questions of this round without an answer.
};

std::uint32_t fleet_control::grantors_now(core::time_point now)
{
    // Each voter owns one part of every rate. While the number of voters
    // changes, the larger number of the last seconds divides the rates.
    const auto& members = replica_->node().members();
    voter_counts_[static_cast<std::uint32_t>(members.voters.size())] = now;
    std::erase_if(voter_counts_, [now](const auto& counted) {
        return now - counted.second > voter_count_memory;
    });
    const auto out = members.is_voter(replica_->node().self())
                         ? voter_counts_.rbegin()->first
                         : 0U;
    pool_->set_grantors(out, now);
    return out;
}

void fleet_control::return_credit(
    const fleet::sync_request& it, const rate::share_grant& granted,
    core::time_point now)
{
    // A request that came late or twice got no grant, and returns nothing.
    if (granted.sequence != it.shares.sequence)
    {
        return;
    }
    for (const auto& demand : it.shares.demands)
    {
        pool_->put_back(demand.account, demand.returned, now);
    }
}

void fleet_control::borrow(
    const std::string& account, double tokens, loan_handler done)
{
    boost::asio::post(
        io_, [this, account, tokens, done = std::move(done)]() mutable {
            start_loan(account, tokens, std::move(done));
        });
}

void fleet_control::start_loan(
    const std::string& account, double tokens, loan_handler done)
{
    const auto now = clock_->now();
    const auto refused = no_loan_until_.find(account);
    if (refused != no_loan_until_.end() && now < refused->second)
    {
        done({0, refused->second - now});
        return;
    }
    std::vector<std::string> near;
    std::vector<std::string> far;
    for (const auto& [id, it] : fleet_->vms)
    {
        if (it.control && it.state == membership::vm_state::alive)
        {
            (it.region == options_.region ? near : far).push_back(id);
        }
    }
    // Each VM begins with another grantor of its region, at random.
    if (near.size() > 1)
    {
        std::rotate(
            near.begin(),
            near.begin() +
                static_cast<std::ptrdiff_t>(random_->below(near.size())),
            near.end());
    }
    ask_round(std::make_shared<running_loan>(running_loan{
        account, rate::loan_search(tokens, std::move(near), std::move(far)),
        std::move(done)}));
}

void fleet_control::ask_round(const std::shared_ptr<running_loan>& it)
{
    const auto questions = it->search.next_round();
    if (questions.empty())
    {
        finish_loan(*it);
        return;
    }
    it->pending = questions.size();
    for (const auto& question : questions)
    {
        const auto found = fleet_->vms.find(question.grantor);
        const bool near = found != fleet_->vms.end() &&
                          found->second.region == options_.region;
        transport_->request(
            peer_address_of(question.grantor), message_type::loan_request,
            wire::encode(rate::loan_request{
                it->account, static_cast<float>(question.tokens)}),
            near ? near_loan_timeout : far_loan_timeout,
            [this, it](absl::StatusOr<wire::incoming_message> answer) {
                const auto decoded =
                    answer.ok()
                        ? wire::decode<rate::loan_answer>(answer->payload)
                        : answer.status();
                // Without an answer nothing was lent here; what the grantor
                // may have lent is lost, which is safe.
                it->search.answered(
                    decoded.ok() ? *decoded : rate::loan_answer());
                if (--it->pending == 0)
                {
                    ask_round(it);
                }
            });
    }
}

void fleet_control::finish_loan(const running_loan& it)
{
    const auto now = clock_->now();
    if (it.search.lent() <= 0)
    {
        no_loan_until_[it.account] = now + no_loan_pause;
    }
    else
    {
        no_loan_until_.erase(it.account);
    }
    it.done({it.search.lent(), it.search.retry_after()});
}

void fleet_control::serve_loan(const wire::incoming_message& it)
{
    const auto request = wire::decode<rate::loan_request>(it.payload);
    if (!replica_ || !request.ok())
    {
        return;
    }
    const auto now = clock_->now();
    (void)grantors_now(now);
    (void)transport_->respond(
        it.reply, message_type::loan_answer,
        wire::encode(pool_->lend(request->account, request->tokens, now)));
}

} // namespace hyssoploft::control
