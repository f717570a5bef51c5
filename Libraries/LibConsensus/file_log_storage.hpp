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
    /// Reads the directory into `stored`; writes nothing but a missing
    /// directory, and so succeeds on a full disk. For an empty directory it
    /// generates a replica identifier. Other replicas must not hear of any of
    /// it before make_durable() returned OK. DATA_LOSS if the directory is
    /// damaged or incomplete: the replica must not start, and its directory
    /// must be emptied so that it joins under a new identifier.
    static absl::StatusOr<std::unique_ptr<file_log_storage>> load(
        storage::file_system& files, const std::string& directory,
        core::random_source& random, persisted_state& stored);

    /// Makes what load() read or generated durable. RESOURCE_EXHAUSTED if the
    /// disk has no space; the call may then be repeated.
    absl::Status make_durable();

    /// load() and make_durable().
    static absl::StatusOr<std::unique_ptr<file_log_storage>> open(
        storage::file_system& files, const std::string& directory,
        core::random_source& random, persisted_state& stored);

    absl::Status persist(const persist_batch& batch) override;

    /// Size of the write-ahead log; 0 until make_durable() created it.
    std::uint64_t log_bytes() const
    {
        return log_ ? log_->size() : 0;
    }

private:
    file_log_storage(
        storage::file_system& files, const std::string& directory,
        core::random_source& random)
        : files_(files), directory_(directory), random_(random),
          snapshots_(files, directory)
    {}

    /// Adds one record of the log to `stored`.
    absl::Status replay(std::string_view record, persisted_state& stored);
    absl::Status check_empty() const;
    absl::Status rewrite_log(const persist_batch& batch);

    storage::file_system& files_;
    const std::string directory_;
    core::random_source& random_;
    storage::snapshot_store snapshots_;
    // Null until make_durable() has created the log of an empty directory.
    std::unique_ptr<storage::write_ahead_log> log_;
    replica_id self_ = 0;
    bool has_identity_ = false;    // A record with self_ is in the log.
    std::uint64_t base_index_ = 0; // Of the snapshot that the log refers to.
    // Set on the first error but lack of space, and never cleared.
    bool failed_ = false;
};

} // namespace hyssoploft::consensus

#endif
