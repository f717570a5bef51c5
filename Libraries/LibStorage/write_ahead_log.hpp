#ifndef HYSSOPLOFT_LIBSTORAGE_WRITE_AHEAD_LOG_HPP
#define HYSSOPLOFT_LIBSTORAGE_WRITE_AHEAD_LOG_HPP

// A file of checksummed records. A record is written only after the one
// before it is synced; therefore only the last record can be torn, and a bad
// record with a good one after it is damage.
//
// NOTE: Damage to the last synced record can't be told from a torn write, so
// it is cut. Replication covers this case as long as a quorum is intact.

#include <LibStorage/file_system.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace hyssoploft::storage {

/// What open() found in the file.
struct recovered_log
{
    std::vector<std::string> records; ///< In the order of their appends.
    std::uint64_t cut_bytes = 0;      ///< Size of the torn tail, now cut.
};

class write_ahead_log
{
public:
    /// Largest record in bytes; larger ones are INVALID_ARGUMENT.
    static constexpr std::size_t max_record_bytes = std::size_t{1} << 30;

    /// Creates an empty log `directory`/`name`, which must not exist. The
    /// file gets its name only after its header is durable. `file_id` must be
    /// a new random number: it seeds the checksums, so that bytes inside a
    /// record never look like a record of this file.
    static absl::StatusOr<std::unique_ptr<write_ahead_log>> create(
        file_system& files, const std::string& directory,
        const std::string& name, std::uint64_t file_id);

    /// Reads an existing log, cuts a torn tail and writes what is left to a
    /// new synced file, because the last record may not have been synced.
    /// NOT_FOUND without the file; DATA_LOSS if the header or a record before
    /// the tail is bad.
    static absl::StatusOr<std::unique_ptr<write_ahead_log>> open(
        file_system& files, const std::string& directory,
        const std::string& name, recovered_log& found);

    /// Writes one record and syncs it. After the first error every later call
    /// fails with FAILED_PRECONDITION.
    absl::Status append(std::string_view record);

    /// Replaces the content atomically by these records.
    absl::Status
    rewrite(const std::vector<std::string>& records, std::uint64_t file_id);

    /// Size of the file in bytes.
    std::uint64_t size() const
    {
        return size_;
    }

private:
    write_ahead_log(
        file_system& files, const std::string& directory,
        const std::string& name);

    absl::Status guarded(const absl::Status& result);
    absl::Status do_append(std::string_view record);
    absl::Status
    do_rewrite(const std::vector<std::string>& records, std::uint64_t file_id);

    file_system& files_;
    std::string directory_;
    std::string path_;
    std::unique_ptr<file> file_;
    std::uint64_t file_id_ = 0;
    std::uint64_t next_sequence_ = 1; // Of the next record.
    std::uint64_t size_ = 0;
    absl::Status failure_; // The first error; not OK poisons the log.
};

} // namespace hyssoploft::storage

#endif
