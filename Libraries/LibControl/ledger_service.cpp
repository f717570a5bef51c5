// Commits execution records and stores answers.

#include <LibControl/ledger_service.hpp>

#include <LibLedger/digests.hpp>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace hyssoploft::control {

namespace {

constexpr std::chrono::milliseconds begin_timeout{3000};
constexpr std::chrono::milliseconds finish_timeout{3000};
constexpr std::chrono::milliseconds copy_timeout{500};
/// Time for which a finish or abandon command is retried: longer than the
/// expected partitions, which last up to an hour.
constexpr std::chrono::hours retry_window{2};
constexpr std::chrono::milliseconds retry_attempt_timeout{5000};
constexpr std::size_t max_unsettled = 4096;

using wire::message_type;

answer_message make_answer_message(
    const ledger::record_id& id, const ledger::stored_answer& answer)
{
    answer_message out;
    out.account = id.account;
    out.route = id.route;
    out.key_digest = id.key_digest;
    out.status = answer.status;
    out.headers = answer.headers;
    out.body = answer.body;
    return out;
}

ledger::record_id record_id_of(const answer_message& it)
{
    return {it.account, it.route, it.key_digest};
}

} // namespace

struct ledger_service::pending_finish
{
    ledger::begin_request request;
    ledger::stored_answer answer;
    ledger::finish_command command;
    core::time_point retry_until{};
    done_handler done; // Empty after it was called.
};

ledger_service::ledger_service(
    boost::asio::io_context& control, wire::peer_transport& transport,
    proposal_client& proposals, fleet_source& fleet, core::clock& clock)
    : control_io_(control), transport_(transport), proposals_(proposals),
      fleet_(fleet), clock_(clock)
{}

void ledger_service::begin(
    const ledger::begin_request& request, begin_handler done)
{
    boost::asio::post(control_io_, [this, request, done = std::move(done)] {
        const auto timeout =
            std::min<core::duration>(begin_timeout, request.deadline);
        proposals_.propose(
            command_kind::ledger,
            ledger::encode_command(ledger::begin_command{request}), timeout,
            [done](absl::StatusOr<std::string> result) {
                if (!result.ok())
                {
                    done(result.status(), {});
                    return;
                }
                const auto decoded = ledger::decode_command_result(*result);
                const bool ok = decoded.ok() &&
                                decoded->status == ledger::command_status::ok;
                if (!ok)
                {
                    done(absl::UnavailableError("begin was rejected"), {});
                    return;
                }
                done(absl::OkStatus(), decoded->begin);
            });
    });
}

void ledger_service::finish(
    const ledger::begin_request& request, const ledger::stored_answer& answer,
    done_handler done)
{
    ++unsettled_;
    boost::asio::post(
        control_io_, [this, request, answer, done = std::move(done)]() mutable {
            const auto it = std::make_shared<pending_finish>();
            it->request = request;
            it->answer = answer;
            it->command.id = request.id;
            it->command.attempt = request.attempt;
            it->command.owner_vm = request.owner_vm;
            it->retry_until = clock_.now() + retry_window;
            it->done = std::move(done);
            const auto now = clock_.now();
            const auto store_status = answers_.put(
                request.id, answer, now + request.record_lifetime, now);
            if (!store_status.ok())
            {
                LOG(WARNING) << "answer_not_stored error=\""
                             << store_status.ToString() << "\"";
                commit_finish(it);
                return;
            }
            it->command.answer_digest = ledger::digest_of_answer(answer);
            it->command.holders.push_back(request.owner_vm);
            store_copy(it);
        });
}

std::optional<membership::vm_record>
ledger_service::choose_copy_holder(const std::string& region)
{
    const auto fleet = fleet_.current_fleet();
    const auto self = fleet->vms.find(fleet->self);
    // Prefers a VM in another data centre, which survives the loss of this
    // one, then a VM with a disk.
    const auto rank = [&](const membership::vm_record& it) {
        const bool other_data_center =
            self == fleet->vms.end() ||
            it.data_center != self->second.data_center;
        return std::make_pair(other_data_center, it.control);
    };
    const membership::vm_record* best = nullptr;
    for (const auto& [id, it] : fleet->vms)
    {
        const bool usable = it.region == region && id != fleet->self &&
                            it.state == membership::vm_state::alive;
        if (usable && (best == nullptr || rank(it) > rank(*best)))
        {
            best = &it;
        }
    }
    return best ? std::optional(*best) : std::nullopt;
}

void ledger_service::store_copy(const std::shared_ptr<pending_finish>& it)
{
    const auto holder = choose_copy_holder(it->request.region);
    if (!holder)
    {
        commit_finish(it);
        return;
    }
    auto message = make_answer_message(it->request.id, it->answer);
    message.region = it->request.region;
    message.answer_digest = it->command.answer_digest;
    message.lifetime_ms = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            it->request.record_lifetime)
            .count());
    transport_.request(
        holder->peer_address, message_type::answer_store, wire::encode(message),
        copy_timeout,
        [this, it,
         vm = holder->id](absl::StatusOr<wire::incoming_message> answer) {
            const auto stored =
                answer.ok() ? wire::decode<answer_message>(answer->payload)
                            : answer.status();
            if (stored.ok() && stored->status != 0)
            {
                it->command.holders.push_back(vm);
            }
            commit_finish(it);
        });
}

void ledger_service::commit_finish(const std::shared_ptr<pending_finish>& it)
{
    proposals_.propose(
        command_kind::ledger, ledger::encode_command(it->command),
        it->done ? core::duration(finish_timeout)
                 : core::duration(retry_attempt_timeout),
        [this, it](absl::StatusOr<std::string> result) {
            if (it->done)
            {
                std::exchange(it->done, nullptr)(result.status());
            }
            if (result.ok() || clock_.now() >= it->retry_until ||
                unsettled_ > max_unsettled)
            {
                --unsettled_;
                return;
            }
            commit_finish(it);
        });
}

void ledger_service::abandon(const ledger::begin_request& request)
{
    ledger::abandon_command command;
    command.id = request.id;
    command.attempt = request.attempt;
    command.owner_vm = request.owner_vm;
    command.record_lifetime = request.record_lifetime;
    ++unsettled_;
    boost::asio::post(
        control_io_, [this, encoded = ledger::encode_command(command)] {
            commit_abandon(encoded, clock_.now() + retry_window);
        });
}

void ledger_service::commit_abandon(
    std::string command, core::time_point retry_until)
{
    proposals_.propose(
        command_kind::ledger, command, retry_attempt_timeout,
        [this, command, retry_until](absl::StatusOr<std::string> result) {
            const bool expired = clock_.now() >= retry_until;
            if (result.ok() || expired || unsettled_ > max_unsettled)
            {
                --unsettled_;
                return;
            }
            commit_abandon(command, retry_until);
        });
}

void ledger_service::fetch_answer(
    const ledger::record_id& id, const ledger::begin_result& record,
    answer_handler done)
{
    boost::asio::post(
        control_io_, [this, id, record, done = std::move(done)]() mutable {
            fetch_from(id, record, 0, std::move(done));
        });
}

void ledger_service::fetch_from(
    const ledger::record_id& id, const ledger::begin_result& record,
    std::size_t holder, answer_handler done)
{
    if (const auto* own = answers_.find(id, record.answer_digest, clock_.now()))
    {
        done(absl::OkStatus(), *own);
        return;
    }
    if (holder >= record.holders.size())
    {
        done(absl::NotFoundError("no VM holds the answer"), {});
        return;
    }
    const auto fleet = fleet_.current_fleet();
    const auto vm = fleet->vms.find(record.holders[holder]);
    if (vm == fleet->vms.end() || vm->first == fleet->self)
    {
        fetch_from(id, record, holder + 1, std::move(done));
        return;
    }
    answer_message fetch_message = make_answer_message(id, {});
    fetch_message.answer_digest = record.answer_digest;
    transport_.request(
        vm->second.peer_address, message_type::answer_fetch,
        wire::encode(fetch_message), copy_timeout,
        [this, id, record, holder, done = std::move(done)](
            absl::StatusOr<wire::incoming_message> answer) {
            const auto found =
                answer.ok() ? wire::decode<answer_message>(answer->payload)
                            : answer.status();
            ledger::stored_answer out;
            if (found.ok() && found->status != 0)
            {
                out = {found->status, found->headers, found->body};
                if (ledger::digest_of_answer(out) == record.answer_digest)
                {
                    done(absl::OkStatus(), std::move(out));
                    return;
                }
            }
            fetch_from(id, record, holder + 1, done);
        });
}

void ledger_service::serve(const wire::incoming_message& request)
{
    if (request.type == message_type::answer_store)
    {
        serve_store(request);
        return;
    }
    serve_fetch(request);
}

void ledger_service::serve_store(const wire::incoming_message& request)
{
    const auto it = wire::decode<answer_message>(request.payload);
    if (!it.ok())
    {
        return;
    }
    const auto fleet = fleet_.current_fleet();
    const auto self = fleet->vms.find(fleet->self);
    // Residency: the answer may only be stored in the region named by the
    // request.
    const bool allowed =
        self != fleet->vms.end() && self->second.region == it->region;
    answer_message out;
    if (allowed)
    {
        const auto now = clock_.now();
        const auto status = answers_.put(
            record_id_of(*it), {it->status, it->headers, it->body},
            now + std::chrono::milliseconds(it->lifetime_ms), now);
        out.status = status.ok() ? it->status : 0;
    }
    (void)transport_.respond(
        request.reply, message_type::answer_result, wire::encode(out));
}

void ledger_service::serve_fetch(const wire::incoming_message& request)
{
    const auto it = wire::decode<answer_message>(request.payload);
    if (!it.ok())
    {
        return;
    }
    const auto* found =
        answers_.find(record_id_of(*it), it->answer_digest, clock_.now());
    (void)transport_.respond(
        request.reply, message_type::answer_result,
        wire::encode(
            found ? make_answer_message(record_id_of(*it), *found)
                  : answer_message{}));
}

void ledger_service::expire()
{
    answers_.expire(clock_.now());
}

} // namespace hyssoploft::control
