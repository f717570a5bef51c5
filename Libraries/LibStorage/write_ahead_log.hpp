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
#include <functional>
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

/// Receives the payload of each record; an error ends the reading.
using record_visitor = std::function<absl::Status(std::string_view)>;

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

    /// Reads an existing log, one record at a time, without writing to the
    /// disk. Nothing that was read may be acknowledged before make_durable()
    /// returned OK, because the last record may not have been synced. NOT_FOUND
    /// without the file; DATA_LOSS if the header or a record before the tail is
    /// bad; errors of the visitor.
    static absl::StatusOr<std::unique_ptr<write_ahead_log>> load(
        file_system& files, const std::string& directory,
        const std::string& name, const record_visitor& visit);

    /// Cuts a torn tail and makes all records durable: in a new file, or in
    /// place if there is no space for one. RESOURCE_EXHAUSTED if the disk
    /// refuses that too; the call may then be repeated.
    absl::Status make_durable();

    /// load() and make_durable(). `found` is complete unless load() fails.
    static absl::StatusOr<std::unique_ptr<write_ahead_log>> open(
        file_system& files, const std::string& directory,
        const std::string& name, recovered_log& found);

    /// Writes one record and syncs it. After RESOURCE_EXHAUSTED nothing of the
    /// record will be found, and the call may be repeated. After any other
    /// error every later call fails with FAILED_PRECONDITION.
    absl::Status append(std::string_view record);

    /// Replaces the content atomically by these records. After
    /// RESOURCE_EXHAUSTED the old content stands; other errors as append().
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

    absl::Status check_usable() const;
    absl::Status guarded(const absl::Status& result);
    absl::Status do_append(std::string_view record);
    /// Removes what a failed append or a crash left after the last record.
    absl::Status cut_tail();
    /// Overwrites the last record with the same bytes, so that the kernel
    /// writes its pages again.
    absl::Status refresh_last_record();
    using content_writer = std::function<absl::Status(file&)>;
    /// Copies the file up to size_, with a header that seals all records.
    absl::Status copy_records(file& out);
    /// Writes a new file that takes the name of the log.
    absl::Status replace_file(const content_writer& write);
    absl::Status
    write_temporary(const std::string& temporary, const content_writer& write);

    file_system& files_;
    std::string directory_;
    std::string path_;
    std::unique_ptr<file> file_;
    std::uint64_t file_id_ = 0;
    std::uint64_t next_sequence_ = 1; // Of the next record.
    std::uint64_t size_ = 0;     // Up to the end of the last intact record.
    bool has_torn_tail_ = false; // There may be bytes after size_.
    // Since load(), until make_durable() succeeds.
    bool is_durable_ = true;
    bool may_copy_ = true;     // A new file was not refused yet.
    std::uint64_t sealed_ = 0; // Records that the header seals.
    // The last record as load() found it, until it is durable: its pages may
    // have been in the page cache only, and be gone when it is read again.
    std::string last_record_;
    absl::Status failure_; // The first error; not OK poisons the log.
};

} // namespace hyssoploft::storage

#endif
