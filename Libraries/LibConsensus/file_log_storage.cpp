// Each record of the write-ahead log is one batch. A batch with a snapshot
// rewrites the log as a single record after the snapshot file is durable.

#include <LibConsensus/file_log_storage.hpp>

#include <LibCore/text.hpp>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/optional.hpp>

#include <algorithm>
#include <sstream>

namespace hyssoploft::consensus {

namespace {

constexpr const char* log_file_name = "replica.log";

/// Snapshot that the log starts from; its bytes are in a separate file.
struct stored_base
{
    log_position last;
    membership members;
};

template <typename Archive>
void serialize(Archive& ar, stored_base& it)
{
    ar(it.last, it.members);
}

struct stored_batch
{
    replica_id self = 0;
    hard_state state;
    std::optional<stored_base> base;
    std::vector<log_entry> entries;
    std::uint64_t committed_index = 0;
};

template <typename Archive>
void serialize(Archive& ar, stored_batch& it)
{
    ar(it.self, it.state, it.base, it.entries);
}

std::string encode(const stored_batch& it)
{
    std::ostringstream out;
    cereal::PortableBinaryOutputArchive ar(out);
    ar(it, it.committed_index);
    return std::move(out).str();
}

absl::StatusOr<stored_batch> decode(const std::string& bytes)
{
    try
    {
        std::istringstream in(bytes);
        cereal::PortableBinaryInputArchive ar(in);
        stored_batch it;
        ar(it);
        // Records of earlier versions end here.
        if (in.peek() != std::istringstream::traits_type::eof())
        {
            ar(it.committed_index);
        }
        return it;
    }
    catch (const std::exception& error)
    {
        return absl::DataLossError(
            core::concat(log_file_name, ": unreadable record: ", error.what()));
    }
}

/// Applies the entries of one batch; DATA_LOSS if they leave a gap.
absl::Status
merge(std::vector<log_entry>& entries, std::uint64_t base, stored_batch batch)
{
    for (auto& it : batch.entries)
    {
        const std::uint64_t index = it.position.index;
        if (index <= base || index > base + entries.size() + 1)
        {
            return absl::DataLossError(core::concat(
                log_file_name, ": missing entries before entry ", index));
        }
        entries.resize(index - base - 1);
        entries.push_back(std::move(it));
    }
    return absl::OkStatus();
}

} // namespace

absl::StatusOr<std::unique_ptr<file_log_storage>> file_log_storage::load(
    storage::file_system& files, const std::string& directory,
    core::random_source& random, persisted_state& stored)
{
    const auto created = files.create_directory(directory);
    if (!created.ok() && !absl::IsResourceExhausted(created))
    {
        return created;
    }
    std::unique_ptr<file_log_storage> it(
        new file_log_storage(files, directory, random));
    auto log = storage::write_ahead_log::load(
        files, directory, log_file_name, [&](std::string_view record) {
            return it->replay(record, stored);
        });
    if (log.ok())
    {
        it->log_ = std::move(*log);
    }
    else if (!absl::IsNotFound(log.status()))
    {
        return log.status();
    }
    else if (auto status = created.ok() ? it->check_empty() : absl::OkStatus();
             !status.ok())
    {
        return status;
    }
    if (it->base_index_ > 0)
    {
        auto bytes = it->snapshots_.read(it->base_index_);
        if (!bytes.ok())
        {
            return absl::DataLossError(bytes.status().message());
        }
        stored.base->bytes =
            std::make_shared<const std::string>(std::move(*bytes));
    }
    it->has_identity_ = stored.self != 0;
    while (stored.self == 0)
    {
        stored.self = random.next();
    }
    it->self_ = stored.self;
    return it;
}

absl::StatusOr<std::unique_ptr<file_log_storage>> file_log_storage::open(
    storage::file_system& files, const std::string& directory,
    core::random_source& random, persisted_state& stored)
{
    auto it = load(files, directory, random, stored);
    if (!it.ok())
    {
        return it.status();
    }
    if (auto status = (*it)->make_durable(); !status.ok())
    {
        return status;
    }
    return it;
}

absl::Status file_log_storage::check_empty() const
{
    const auto any = storage::snapshot_store(files_, directory_).any();
    if (!any.ok())
    {
        return any.status();
    }
    return *any ? absl::DataLossError(core::concat(
                      directory_, ": found snapshots but no ", log_file_name))
                : absl::OkStatus();
}

absl::Status
file_log_storage::replay(std::string_view record, persisted_state& stored)
{
    auto batch = decode(std::string(record));
    if (!batch.ok())
    {
        return batch.status();
    }
    stored.self = batch->self;
    stored.state = batch->state;
    stored.committed_index =
        std::max(stored.committed_index, batch->committed_index);
    if (batch->base)
    {
        base_index_ = batch->base->last.index;
        stored.entries.clear();
        stored.base = snapshot{
            batch->base->last, batch->base->members,
            std::make_shared<const std::string>()};
    }
    return merge(stored.entries, base_index_, std::move(*batch));
}

absl::Status file_log_storage::make_durable()
{
    if (!log_)
    {
        if (auto status = files_.create_directory(directory_); !status.ok())
        {
            return status;
        }
        auto log = storage::write_ahead_log::create(
            files_, directory_, log_file_name, random_.next());
        if (!log.ok())
        {
            return log.status();
        }
        log_ = std::move(*log);
    }
    if (auto status = log_->make_durable(); !status.ok())
    {
        return status;
    }
    // After a crash there may be a snapshot that the log does not refer to.
    if (auto status = snapshots_.remove_except(base_index_); !status.ok())
    {
        return status;
    }
    // The identifier is used only after its record is durable, so a log
    // without records is new and can get one.
    if (!has_identity_)
    {
        if (auto status = log_->append(encode({self_, {}, {}, {}, 0}));
            !status.ok())
        {
            return status;
        }
        has_identity_ = true;
    }
    return absl::OkStatus();
}

absl::Status file_log_storage::persist(const persist_batch& batch)
{
    if (failed_)
    {
        return absl::FailedPreconditionError(
            "the storage is closed after an earlier error");
    }
    const absl::Status status = batch.replacement
                                    ? rewrite_log(batch)
                                    : log_->append(encode(
                                          {self_,
                                           batch.state,
                                           {},
                                           batch.entries,
                                           batch.committed_index}));
    failed_ = !status.ok() && !absl::IsResourceExhausted(status);
    return status;
}

absl::Status file_log_storage::rewrite_log(const persist_batch& batch)
{
    const snapshot& base = *batch.replacement;
    if (base.last.index > 0)
    {
        if (auto status = snapshots_.write(base.last.index, *base.bytes);
            !status.ok())
        {
            return status;
        }
    }
    const stored_batch record{
        self_, batch.state, stored_base{base.last, base.members}, batch.entries,
        batch.committed_index};
    if (auto status = log_->rewrite({encode(record)}, random_.next());
        !status.ok())
    {
        return status;
    }
    base_index_ = base.last.index;
    return snapshots_.remove_except(base.last.index);
}

} // namespace hyssoploft::consensus
