#ifndef HYSSOPLOFT_LIBCONSENSUS_FILE_LOG_STORAGE_HPP
#define HYSSOPLOFT_LIBCONSENSUS_FILE_LOG_STORAGE_HPP

// Stores a replica in one directory: a write-ahead log with the identifier, the
// term, the vote and the entries, and one snapshot file.

#include <LibConsensus/log_storage.hpp>

#include <LibCore/random_source.hpp>
#include <LibStorage/snapshot_store.hpp>
#include <LibStorage/write_ahead_log.hpp>

namespace hyssoploft::consensus {

class file_log_storage final : public log_storage
{
public:
    /// Reads the directory into `stored`. For an empty directory it generates a
    /// replica identifier and makes it durable. DATA_LOSS if the directory is
    /// damaged or incomplete: the replica must not start, and its directory
    /// must be emptied so that it joins under a new identifier.
    static absl::StatusOr<std::unique_ptr<file_log_storage>> open(
        storage::file_system& files, const std::string& directory,
        core::random_source& random, persisted_state& stored);

    absl::Status persist(const persist_batch& batch) override;

    /// Size of the write-ahead log, used to decide when to compact.
    std::uint64_t log_bytes() const
    {
        return log_->size();
    }

private:
    file_log_storage(
        storage::file_system& files, const std::string& directory,
        core::random_source& random)
        : random_(random), snapshots_(files, directory)
    {}

    absl::Status
    load(const std::vector<std::string>& records, persisted_state& stored);
    absl::Status rewrite_log(const persist_batch& batch);

    core::random_source& random_;
    storage::snapshot_store snapshots_;
    std::unique_ptr<storage::write_ahead_log> log_; // Null only inside open().
    replica_id self_ = 0;
    bool failed_ = false; // Set on the first error and never cleared.
};

} // namespace hyssoploft::consensus

#endif
