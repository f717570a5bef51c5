// Account credit: the pools of the grantors and the loans that VMs take.

#include <LibControl/fleet_control.hpp>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace hyssoploft::control {

namespace {

using wire::message_type;

/// After a change of the voters, grants that were divided by the old number are
/// still in force for this time.
constexpr std::chrono::seconds voter_count_retention{10};
/// Covers a round trip within a region and a scheduling delay. After that,
/// trying the next grantor is faster.
constexpr std::chrono::milliseconds same_region_loan_timeout{150};
/// Covers a round trip between regions and a scheduling delay.
constexpr std::chrono::milliseconds cross_region_loan_timeout{350};

} // namespace

struct fleet_control::pending_loan
{
    std::string account;
    rate::loan_search search;
    loan_handler done;
    std::size_t unanswered_requests = 0; // Of this round.
};

std::uint32_t fleet_control::update_grantor_count(core::time_point now)
{
    // Every rate is divided equally between the voters. While their number
    // changes, the largest recent number is the divisor, so that the sum of
    // the shares does not exceed the rate.
    const auto& members = replica_->node().members();
    recent_voter_counts_[static_cast<std::uint32_t>(members.voters.size())] =
        now;
    std::erase_if(recent_voter_counts_, [now](const auto& counted) {
        return now - counted.second > voter_count_retention;
    });
    const auto out = members.is_voter(replica_->node().self())
                         ? recent_voter_counts_.rbegin()->first
                         : 0U;
    credit_pool_->set_grantors(out, now);
    return out;
}

void fleet_control::return_credit(
    const fleet::sync_request& it, const rate::share_grant& granted,
    core::time_point now)
{
    // A late or duplicate request got no grant; its returns are ignored.
    if (granted.sequence != it.shares.sequence)
    {
        return;
    }
    for (const auto& demand : it.shares.demands)
    {
        credit_pool_->put_back(demand.account, demand.returned, now);
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
    const auto refused = loan_refused_until_.find(account);
    if (refused != loan_refused_until_.end() && now < refused->second)
    {
        done({0, refused->second - now});
        return;
    }
    std::vector<std::string> same_region;
    std::vector<std::string> other_regions;
    for (const auto& [id, it] : fleet_->vms)
    {
        if (it.control && it.state == membership::vm_state::alive)
        {
            (it.region == options_.region ? same_region : other_regions)
                .push_back(id);
        }
    }
    silent_grantors_.remove_from(same_region, other_regions);
    // Starts at a random grantor of the region to spread the load.
    if (same_region.size() > 1)
    {
        std::rotate(
            same_region.begin(),
            same_region.begin() +
                static_cast<std::ptrdiff_t>(random_->below(same_region.size())),
            same_region.end());
    }
    send_loan_requests(std::make_shared<pending_loan>(pending_loan{
        account,
        rate::loan_search(
            tokens, std::move(same_region), std::move(other_regions)),
        std::move(done)}));
}

void fleet_control::send_loan_requests(const std::shared_ptr<pending_loan>& it)
{
    const auto grantor_requests = it->search.next_round();
    if (grantor_requests.empty())
    {
        finish_loan(*it);
        return;
    }
    it->unanswered_requests = grantor_requests.size();
    for (const auto& grantor_request : grantor_requests)
    {
        const auto found = fleet_->vms.find(grantor_request.grantor);
        const bool same_region = found != fleet_->vms.end() &&
                                 found->second.region == options_.region;
        transport_->request(
            peer_address_of(grantor_request.grantor),
            message_type::loan_request,
            wire::encode(rate::loan_request{
                it->account, static_cast<float>(grantor_request.tokens)}),
            same_region ? same_region_loan_timeout : cross_region_loan_timeout,
            [this, it, grantor = grantor_request.grantor](
                absl::StatusOr<wire::incoming_message> answer) {
                if (answer.ok())
                {
                    silent_grantors_.answered(grantor);
                }
                else
                {
                    silent_grantors_.timed_out(grantor);
                }
                const auto decoded =
                    answer.ok()
                        ? wire::decode<rate::loan_answer>(answer->payload)
                        : answer.status();
                // A missing answer counts as no loan. Credit that the grantor
                // may have lent is lost, which never exceeds the rate.
                it->search.answered(
                    decoded.ok() ? *decoded : rate::loan_answer());
                if (--it->unanswered_requests == 0)
                {
                    send_loan_requests(it);
                }
            });
    }
}

void fleet_control::finish_loan(const pending_loan& it)
{
    const auto now = clock_->now();
    if (it.search.lent() <= 0)
    {
        loan_refused_until_[it.account] =
            now + rate::refused_loan_backoff(
                      static_cast<std::uint32_t>(recent_entry_vms_.size()));
    }
    else
    {
        loan_refused_until_.erase(it.account);
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
    (void)update_grantor_count(now);
    (void)transport_->respond(
        it.reply, message_type::loan_answer,
        wire::encode(
            credit_pool_->lend(request->account, request->tokens, now)));
}

} // namespace hyssoploft::control
