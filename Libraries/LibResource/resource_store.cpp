// Applies batches atomically.

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

/// Removes items beyond the bound, so that kept results stay small.
template <typename T>
void truncate_items(std::vector<T>& items, std::uint32_t& omitted)
{
    if (items.size() > max_reported_items)
    {
        omitted +=
            static_cast<std::uint32_t>(items.size() - max_reported_items);
        items.resize(max_reported_items);
    }
}

void truncate_text(std::string& text)
{
    text.resize(std::min(text.size(), max_message_bytes));
}

void truncate_result(apply_result& it)
{
    truncate_items(it.conflicts, it.omitted);
    for (auto& found : it.conflicts)
    {
        truncate_text(found.id.name);
    }
    truncate_items(it.problems, it.omitted);
    for (auto& found : it.problems)
    {
        truncate_text(found.id.name);
        truncate_text(found.field);
        truncate_text(found.message);
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
    std::vector<std::string> actions;
    for (const auto& it : batch.changes)
    {
        actions.push_back(
            core::concat(it.value ? "set " : "delete ", to_string(it.id)));
    }
    for (const auto& digest : batch.withdrawn_digests)
    {
        // 12 digits are enough for a reader to identify a key.
        actions.push_back(core::concat("withdraw ", digest.substr(0, 12)));
    }
    std::uint32_t omitted = 0;
    truncate_items(actions, omitted);
    for (auto& it : actions)
    {
        truncate_text(it);
    }
    if (omitted > 0)
    {
        actions.push_back(core::concat("and ", omitted, " more"));
    }
    return actions;
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
        // Deleting a key also withdraws it: a VM that has not installed the
        // deletion yet receives the withdrawal by gossip within seconds.
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
    // Marks the key resources as withdrawn too, including those that this
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
        truncate_result(it.result);
        return it;
    }
    it.result.problems = find_problems(view(), batch);
    if (!it.result.problems.empty())
    {
        it.result.outcome = apply_outcome::refused;
        truncate_result(it.result);
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
    apply_result rejection;
    rejection.version = version();
    if (!decoded.ok() || decoded->request_id.empty() ||
        decoded->request_id.size() > max_id_bytes ||
        decoded->author.size() > max_id_bytes)
    {
        rejection.outcome = apply_outcome::malformed;
        return encode_result(rejection);
    }
    const auto content = core::sha256(
        core::encode(decoded->changes, decoded->withdrawn_digests));
    if (const auto at = request_index_.find(decoded->request_id);
        at != request_index_.end())
    {
        const auto& kept = requests_[at->second - first_ordinal_];
        const bool is_query =
            decoded->changes.empty() && decoded->withdrawn_digests.empty();
        if (is_query || kept.content == content)
        {
            return kept.result;
        }
        rejection.outcome = apply_outcome::request_id_reuse;
        return encode_result(rejection);
    }
    const auto it = evaluate(*decoded);
    if (it.result.outcome == apply_outcome::applied)
    {
        install_event(configuration_.mutate(), it.event);
        window_.push(encode_event(it.event));
        CHECK_EQ(window_.last(), version());
    }
    auto encoded = encode_result(it.result);
    store_request({decoded->request_id, content, encoded});
    add_audit_entry(*decoded, it.result);
    return encoded;
}

void resource_store::store_request(kept_request it)
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

void resource_store::add_audit_entry(
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
            return absl::InvalidArgumentError(
                "snapshot has more changes than its version");
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
                return absl::InvalidArgumentError(
                    "content digest of a request has a wrong length");
            }
            std::copy(content.begin(), content.end(), it.content.begin());
            next.store_request(std::move(it));
        }
        std::vector<audit_entry> entries;
        ar(entries, next.audit_sequence_);
        if (!ar.at_end())
        {
            return absl::InvalidArgumentError(
                "trailing bytes after the snapshot");
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
