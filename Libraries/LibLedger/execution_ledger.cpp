// Applies begin, finish, abandon and tick commands, and expires records.

#include <LibLedger/execution_ledger.hpp>

#include <LibCore/bounded_archive.hpp>
#include <LibCore/keyed_hash.hpp>
#include <LibCore/text.hpp>

#include <cereal/types/array.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>

#include <algorithm>

namespace hyssoploft::ledger {

namespace {

constexpr std::uint8_t snapshot_format = 1;
constexpr std::size_t digest_hex_digits = 64;
// Prevents overflow when times are added; routes allow at most 30 days.
constexpr auto max_duration = std::chrono::hours(24 * 365);

bool is_valid_field(const std::string& it)
{
    return !it.empty() && it.size() <= max_field_bytes;
}

bool is_hex_digest(const std::string& it)
{
    return it.size() == digest_hex_digits && core::from_hex(it).ok();
}

bool is_valid_duration(core::duration it)
{
    return it > core::duration::zero() && it <= max_duration;
}

bool is_valid(const record_id& it)
{
    return is_valid_field(it.account) && is_valid_field(it.route) &&
           is_hex_digest(it.key_digest);
}

core::digest parse_digest(const std::string& hex)
{
    core::digest it{};
    const auto bytes = core::from_hex(hex);
    std::copy_n(bytes->begin(), it.size(), it.begin());
    return it;
}

core::digest record_key_of(const record_id& it)
{
    return core::sha256(core::concat(
        it.account.size(), ":", it.account, it.route.size(), ":", it.route,
        it.key_digest));
}

/// Rounds up, so that a record never expires early.
log_time to_log_time(core::duration it)
{
    return static_cast<log_time>(
        std::chrono::ceil<std::chrono::milliseconds>(it).count());
}

} // namespace

template <typename Archive>
void serialize(Archive& ar, execution_record& it)
{
    ar(it.call_digest, it.attempt, it.owner_vm, it.state, it.deadline,
       it.expires, it.lifetime, it.answer_digest, it.holders);
}

std::string execution_ledger::apply(std::string_view encoded)
{
    const auto decoded = decode_command(encoded);
    if (!decoded.ok())
    {
        return encode_command_result({});
    }
    advance_time(decoded->time);
    return encode_command_result(std::visit(
        [this](const auto& it) {
            return execute(it);
        },
        decoded->body));
}

command_result execution_ledger::execute(const begin_command& it)
{
    const auto& request = it.request;
    if (!is_valid(request.id) || !is_hex_digest(request.body_digest) ||
        !is_valid_field(request.attempt) || !is_valid_field(request.owner_vm) ||
        !is_valid_duration(request.deadline) ||
        !is_valid_duration(request.record_lifetime))
    {
        return {};
    }
    command_result result;
    result.status = command_status::ok;
    if (const auto* at = find(request.id); at != nullptr)
    {
        result.begin = repeat_result(*at, request);
        return result;
    }
    if (abandoned_.contains({record_key_of(request.id), request.attempt}))
    {
        // The owner VM abandoned it and reported "not run" to its caller.
        result.begin.outcome = begin_outcome::unknown;
        return result;
    }
    if (records_.size() >= max_records_)
    {
        result.begin.outcome = begin_outcome::ledger_full;
        return result;
    }
    execution_record record;
    record.call_digest = parse_digest(request.body_digest);
    record.attempt = request.attempt;
    record.owner_vm = request.owner_vm;
    record.deadline = time_ + to_log_time(request.deadline);
    record.lifetime = to_log_time(request.record_lifetime);
    record.expires = std::max(record.deadline, time_ + record.lifetime);
    add_record(record_key_of(request.id), std::move(record));
    result.begin.outcome = begin_outcome::created;
    return result;
}

begin_result execution_ledger::repeat_result(
    const execution_record& record, const begin_request& it) const
{
    begin_result result;
    if (record.call_digest != parse_digest(it.body_digest))
    {
        result.outcome = begin_outcome::body_mismatch;
        return result;
    }
    if (record.state == record_state::finished)
    {
        result.outcome = begin_outcome::finished;
        result.answer_digest = record.answer_digest;
        result.holders = record.holders;
        return result;
    }
    if (record.state == record_state::unknown || time_ >= record.deadline)
    {
        result.outcome = begin_outcome::unknown;
        return result;
    }
    const bool resent =
        record.attempt == it.attempt && record.owner_vm == it.owner_vm;
    result.outcome =
        resent ? begin_outcome::created : begin_outcome::in_progress;
    return result;
}

command_result execution_ledger::execute(const finish_command& it)
{
    if (!is_valid(it.id) || !is_valid_field(it.attempt) ||
        !is_valid_field(it.owner_vm) ||
        (!it.answer_digest.empty() && !is_hex_digest(it.answer_digest)) ||
        it.holders.size() > max_holders ||
        !std::all_of(it.holders.begin(), it.holders.end(), is_valid_field))
    {
        return {};
    }
    const auto key = record_key_of(it.id);
    const auto at = records_.find(key);
    if (at == records_.end())
    {
        return {command_status::no_record, {}};
    }
    auto& record = at->second;
    if (record.attempt != it.attempt || record.owner_vm != it.owner_vm)
    {
        return {command_status::not_the_owner, {}};
    }
    // A repeated finish changes nothing, but a late answer completes a record
    // whose result was unknown.
    const bool completes = it.outcome == finish_outcome::completed;
    if (record.state == record_state::finished ||
        (record.state == record_state::unknown && !completes))
    {
        return {command_status::ok, {}};
    }
    record.state = completes ? record_state::finished : record_state::unknown;
    if (completes)
    {
        record.answer_digest = it.answer_digest;
        record.holders = it.holders;
    }
    expiries_.erase({record.expires, key});
    record.expires = std::max(record.expires, time_ + record.lifetime);
    expiries_.emplace(record.expires, key);
    return {command_status::ok, {}};
}

command_result execution_ledger::execute(const abandon_command& it)
{
    if (!is_valid(it.id) || !is_valid_field(it.attempt) ||
        !is_valid_field(it.owner_vm) || !is_valid_duration(it.record_lifetime))
    {
        return {};
    }
    const auto key = record_key_of(it.id);
    const auto at = records_.find(key);
    if (at != records_.end() && at->second.attempt == it.attempt)
    {
        if (at->second.owner_vm != it.owner_vm)
        {
            return {command_status::not_the_owner, {}};
        }
        if (at->second.state != record_state::begun)
        {
            return {command_status::already_sent, {}};
        }
        remove_record(key);
    }
    add_abandoned({key, it.attempt}, time_ + to_log_time(it.record_lifetime));
    return {command_status::ok, {}};
}

command_result execution_ledger::execute(const tick_command& /*it*/)
{
    return {command_status::ok, {}};
}

void execution_ledger::advance_time(log_time now)
{
    time_ = std::max(time_, now);
    while (!expiries_.empty() && expiries_.begin()->first <= time_)
    {
        records_.erase(expiries_.begin()->second);
        expiries_.erase(expiries_.begin());
    }
    while (!abandoned_expiries_.empty() &&
           abandoned_expiries_.begin()->first <= time_)
    {
        abandoned_.erase(abandoned_expiries_.begin()->second);
        abandoned_expiries_.erase(abandoned_expiries_.begin());
    }
}

void execution_ledger::add_record(const record_key& key, execution_record it)
{
    expiries_.emplace(it.expires, key);
    records_.emplace(key, std::move(it));
}

void execution_ledger::remove_record(const record_key& key)
{
    const auto at = records_.find(key);
    expiries_.erase({at->second.expires, key});
    records_.erase(at);
}

void execution_ledger::add_abandoned(attempt_id id, log_time expires)
{
    if (!abandoned_.insert(id).second)
    {
        return;
    }
    abandoned_expiries_.emplace(expires, std::move(id));
    if (abandoned_.size() > max_records_)
    {
        abandoned_.erase(abandoned_expiries_.begin()->second);
        abandoned_expiries_.erase(abandoned_expiries_.begin());
    }
}

const execution_record* execution_ledger::find(const record_id& id) const
{
    const auto at = records_.find(record_key_of(id));
    return at == records_.end() ? nullptr : &at->second;
}

std::string execution_ledger::snapshot() const
{
    std::string buf;
    core::bounded_writer ar(buf);
    ar(snapshot_format, time_, records_);
    std::vector<std::pair<log_time, attempt_id>> abandoned(
        abandoned_expiries_.begin(), abandoned_expiries_.end());
    ar(abandoned);
    return buf;
}

absl::Status execution_ledger::restore(std::string_view bytes)
{
    execution_ledger next(max_records_);
    std::uint8_t format = 0;
    std::vector<std::pair<log_time, attempt_id>> abandoned;
    if (const auto status =
            core::decode(bytes, format, next.time_, next.records_, abandoned);
        !status.ok())
    {
        return status;
    }
    if (format != snapshot_format)
    {
        return absl::InvalidArgumentError("unknown snapshot format");
    }
    for (const auto& [id, record] : next.records_)
    {
        next.expiries_.emplace(record.expires, id);
    }
    for (auto& it : abandoned)
    {
        next.abandoned_.insert(it.second);
        next.abandoned_expiries_.insert(std::move(it));
    }
    *this = std::move(next);
    return absl::OkStatus();
}

} // namespace hyssoploft::ledger
