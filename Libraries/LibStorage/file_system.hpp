#ifndef HYSSOPLOFT_LIBSTORAGE_FILE_SYSTEM_HPP
#define HYSSOPLOFT_LIBSTORAGE_FILE_SYSTEM_HPP

// The only way to the disk. Tests replace it by a file system that loses
// unsynced bytes, fails and stops at a chosen operation.

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace hyssoploft::storage {

/// A file that is open for appending.
class file
{
public:
    virtual ~file() = default;

    /// Writes all bytes at the end. After an error any prefix of them may be
    /// in the file. RESOURCE_EXHAUSTED if the disk has no space for them.
    virtual absl::Status append(std::string_view bytes) = 0;

    /// Returns OK once all bytes of the file are durable.
    ///
    /// NOTE: After a failed sync the kernel may drop the dirty pages and
    /// report success for the next one, so a sync must never be retried.
    virtual absl::Status sync() = 0;
};

class file_system
{
public:
    virtual ~file_system() = default;

    /// Opens a file for appending and creates it if it is missing. The name
    /// is durable only after sync_directory().
    virtual absl::StatusOr<std::unique_ptr<file>>
    open(const std::string& path) = 0;

    /// The whole content; NOT_FOUND if there is no such file.
    virtual absl::StatusOr<std::string> read(const std::string& path) = 0;

    /// Up to `size` bytes from `offset` on, fewer only at the end of the file;
    /// NOT_FOUND if there is no such file.
    virtual absl::StatusOr<std::string> read_part(
        const std::string& path, std::uint64_t offset, std::size_t size) = 0;

    /// Replaces `to` atomically.
    virtual absl::Status
    rename(const std::string& from, const std::string& to) = 0;

    /// Cuts the file to `size` bytes; durable only after file::sync().
    virtual absl::Status
    truncate(const std::string& path, std::uint64_t size) = 0;

    /// Writes these bytes over those of an existing file from `offset` on, and
    /// syncs the file. Needs no space if the file is long enough.
    virtual absl::Status overwrite(
        const std::string& path, std::uint64_t offset,
        std::string_view bytes) = 0;

    virtual absl::Status remove(const std::string& path) = 0;

    /// The names in the directory, sorted.
    virtual absl::StatusOr<std::vector<std::string>>
    list(const std::string& directory) = 0;

    /// Creates the directory and its parents unless they exist.
    virtual absl::Status create_directory(const std::string& directory) = 0;

    /// Makes created, renamed and removed names of the directory durable.
    virtual absl::Status sync_directory(const std::string& directory) = 0;
};

/// An error after which the state of the disk is unknown. Lack of space that
/// is reported as RESOURCE_EXHAUSTED may be waited out; this may not.
inline absl::Status unrecoverable(const absl::Status& error)
{
    return absl::IsResourceExhausted(error)
               ? absl::UnavailableError(error.message())
               : error;
}

} // namespace hyssoploft::storage

#endif
