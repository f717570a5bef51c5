// Applies batches whole or not at all.

#include <LibResource/resource_store.hpp>

#include <LibCore/text.hpp>
#include <LibResource/resource_archive.hpp>
#include <LibResource/validation.hpp>

#include <glog/logging.h>

#include <algorithm>
#include <set>
#include <utility>

namespace hyssoploft::resource {

template <typename Archive>
void serialize(Archive& ar, audit_entry& it)
{
    ar(it.sequence, it.request_id, it.author, it.unix_milliseconds, it.outcome,
       it.version, it.what);
}

namespace {

constexpr std::uint8_t snapshot_format = 1;
constexpr std::size_t max_id_bytes = 128;
constexpr std::size_t max_message_bytes = 256;

/// Drops items beyond the bound, so that kept results stay small.
template <typename T>
void limit(std::vector<T>& items, std::uint32_t& omitted)
{
    if (items.size() > max_reported_items)
    {
        omitted +=
            static_cast<std::uint32_t>(items.size() - max_reported_items);
        items.resize(max_reported_items);
    }
}

void shorten(std::string& text)
{
    text.resize(std::min(text.size(), max_message_bytes));
}

void limit_items(apply_result& it)
{
    limit(it.conflicts, it.omitted);
    for (auto& found : it.conflicts)
    {
        shorten(found.id.name);
    }
    limit(it.problems, it.omitted);
    for (auto& found : it.problems)
    {
        shorten(found.id.name);
        shorten(found.field);
        shorten(found.message);
    }
}

std::vector<conflict>
find_conflicts(const configuration& from, const change_batch& batch)
{
    std::vector<conflict> found;
    std::size_t bytes = 0;
    for (const auto& it : batch.changes)
    {
        const auto current = version_of(from, it.id);
        if (!it.expected_version || *it.expected_version == current)
        {
            continue;
        }
        conflict item{it.id, *it.expected_version, current, {}};
        if (bytes < max_conflict_value_bytes)
        {
            item.current = find_resource(from, it.id);
            bytes += core::encode(item.current).size();
            if (bytes > max_conflict_value_bytes)
            {
                item.current.reset();
            }
        }
        found.push_back(std::move(item));
    }
    return found;
}

std::vector<problem>
find_problems(const configuration& from, const change_batch& batch)
{
    auto found = check_changes(from, batch.changes);
    for (const auto& digest : batch.withdrawn_digests)
    {
        if (!is_valid_digest(digest))
        {
            found.push_back(
                {{resource_kind::key, ""},
                 "withdrawn_digests",
                 "must be 64 lower case hexadecimal digits"});
        }
    }
    return found;
}

} // namespace

std::vector<std::string> describe(const change_batch& batch)
{
    std::vector<std::string> what;
    for (const auto& it : batch.changes)
    {
        what.push_back(
            core::concat(it.value ? "set " : "delete ", to_string(it.id)));
    }
    for (const auto& digest : batch.withdrawn_digests)
    {
        // The beginning of a digest identifies it well enough for a reader.
        what.push_back(core::concat("withdraw ", digest.substr(0, 12)));
    }
    std::uint32_t omitted = 0;
    limit(what, omitted);
    for (auto& it : what)
    {
        shorten(it);
    }
    if (omitted > 0)
    {
        what.push_back(core::concat("and ", omitted, " more"));
    }
    return what;
}

change_event resource_store::make_event(const change_batch& batch) const
{
    const auto& base = view();
    change_event event;
    event.version = base.version + 1;
    std::map<resource_id, std::optional<resource_value>> updates;
    std::set<std::string> withdrawn(
        batch.withdrawn_digests.begin(), batch.withdrawn_digests.end());
    for (const auto& it : batch.changes)
    {
        const auto old = find_resource(base, it.id);
        if (old == it.value)
        {
            continue;
        }
        updates[it.id] = it.value;
        // A VM that has not seen the deletion yet learns of the withdrawal by
        // gossip within seconds.
        if (!it.value && it.id.kind == resource_kind::key)
        {
            withdrawn.insert(std::get<key>(*old).digest);
        }
        if (it.value && it.id.kind == resource_kind::key &&
            std::get<key>(*it.value).withdrawn)
        {
            withdrawn.insert(std::get<key>(*it.value).digest);
        }
    }
    for (const auto& digest : withdrawn)
    {
        if (!base.withdrawn_digests.contains(digest))
        {
            event.withdrawn_digests.push_back(digest);
        }
    }
    // The key resources show the withdrawal too, also those that the same
    // batch creates.
    for (const auto& digest : withdrawn)
    {
        const auto at = base.key_digests.find(digest);
        if (at == base.key_digests.end())
        {
            continue;
        }
        const resource_id id{resource_kind::key, at->second};
        if (!updates.contains(id) && !base.keys.at(at->second).withdrawn)
        {
            updates[id] = base.keys.at(at->second);
        }
    }
    for (auto& [id, value] : updates)
    {
        if (value && id.kind == resource_kind::key)
        {
            auto& it = std::get<key>(*value);
            it.withdrawn = it.withdrawn || withdrawn.contains(it.digest);
        }
        event.updates.push_back({id, std::move(value)});
    }
    return event;
}

resource_store::outcome
resource_store::evaluate(const change_batch& batch) const
{
    outcome it;
    it.result.version = version();
    it.result.conflicts = find_conflicts(view(), batch);
    if (!it.result.conflicts.empty())
    {
        it.result.outcome = apply_outcome::conflict;
        limit_items(it.result);
        return it;
    }
    it.result.problems = find_problems(view(), batch);
    if (!it.result.problems.empty())
    {
        it.result.outcome = apply_outcome::refused;
        limit_items(it.result);
        return it;
    }
    it.event = make_event(batch);
    if (it.event.updates.empty() && it.event.withdrawn_digests.empty())
    {
        it.result.outcome = apply_outcome::unchanged;
        return it;
    }
    it.result.outcome = apply_outcome::applied;
    it.result.version = it.event.version;
    return it;
}

apply_result resource_store::dry_run(const change_batch& batch) const
{
    return evaluate(batch).result;
}

std::string resource_store::apply(std::string_view batch)
{
    const auto decoded = decode_batch(batch);
    apply_result refusal;
    refusal.version = version();
    if (!decoded.ok() || decoded->request_id.empty() ||
        decoded->request_id.size() > max_id_bytes ||
        decoded->author.size() > max_id_bytes)
    {
        refusal.outcome = apply_outcome::malformed;
        return encode_result(refusal);
    }
    const auto content = core::sha256(
        core::encode(decoded->changes, decoded->withdrawn_digests));
    if (const auto at = request_index_.find(decoded->request_id);
        at != request_index_.end())
    {
        const auto& kept = requests_[at->second - first_ordinal_];
        const bool asks =
            decoded->changes.empty() && decoded->withdrawn_digests.empty();
        if (asks || kept.content == content)
        {
            return kept.result;
        }
        refusal.outcome = apply_outcome::request_id_reuse;
        return encode_result(refusal);
    }
    const auto it = evaluate(*decoded);
    if (it.result.outcome == apply_outcome::applied)
    {
        install_event(configuration_.mutate(), it.event);
        window_.push(encode_event(it.event));
        CHECK_EQ(window_.last(), version());
    }
    auto encoded = encode_result(it.result);
    remember({decoded->request_id, content, encoded});
    audit(*decoded, it.result);
    return encoded;
}

void resource_store::remember(kept_request it)
{
    request_index_[it.request_id] = first_ordinal_ + requests_.size();
    requests_.push_back(std::move(it));
    if (requests_.size() > max_kept_requests)
    {
        request_index_.erase(requests_.front().request_id);
        requests_.pop_front();
        ++first_ordinal_;
    }
}

void resource_store::audit(
    const change_batch& batch, const apply_result& result)
{
    audit_.push_back(
        {++audit_sequence_, batch.request_id, batch.author,
         batch.unix_milliseconds, result.outcome, result.version,
         describe(batch)});
    if (audit_.size() > max_kept_audit_entries)
    {
        audit_.pop_front();
    }
}

std::vector<audit_entry>
resource_store::audit_since(std::uint64_t sequence) const
{
    std::vector<audit_entry> found;
    for (const auto& it : audit_)
    {
        if (it.sequence > sequence)
        {
            found.push_back(it);
        }
    }
    return found;
}

std::string resource_store::snapshot() const
{
    std::string buf;
    core::bounded_writer ar(buf);
    ar(snapshot_format, view());
    ar(std::vector<std::string>(
        window_.events().begin(), window_.events().end()));
    ar(cereal::make_size_tag(static_cast<cereal::size_type>(requests_.size())));
    for (const auto& it : requests_)
    {
        ar(it.request_id, std::string(it.content.begin(), it.content.end()),
           it.result);
    }
    ar(std::vector<audit_entry>(audit_.begin(), audit_.end()), audit_sequence_);
    return buf;
}

absl::Status resource_store::restore(std::string_view bytes)
{
    try
    {
        core::bounded_reader ar(bytes);
        std::uint8_t format = 0;
        ar(format);
        if (format != snapshot_format)
        {
            return absl::InvalidArgumentError("unknown snapshot format");
        }
        configuration loaded;
        std::vector<std::string> events;
        ar(loaded, events);
        if (events.size() > loaded.version)
        {
            return absl::InvalidArgumentError("more changes than versions");
        }
        resource_store next;
        next.window_.reset(loaded.version - events.size());
        for (auto& it : events)
        {
            next.window_.push(std::move(it));
        }
        next.configuration_.replace(std::move(loaded));
        cereal::size_type n = 0;
        ar(cereal::make_size_tag(n));
        for (; n > 0; --n)
        {
            kept_request it;
            std::string content;
            ar(it.request_id, content, it.result);
            if (content.size() != it.content.size())
            {
                return absl::InvalidArgumentError("wrong digest length");
            }
            std::copy(content.begin(), content.end(), it.content.begin());
            next.remember(std::move(it));
        }
        std::vector<audit_entry> entries;
        ar(entries, next.audit_sequence_);
        if (!ar.at_end())
        {
            return absl::InvalidArgumentError("bytes left over");
        }
        next.audit_.assign(entries.begin(), entries.end());
        *this = std::move(next);
        return absl::OkStatus();
    }
    catch (const std::exception& e)
    {
        return absl::InvalidArgumentError(e.what());
    }
}

} // namespace hyssoploft::resource
