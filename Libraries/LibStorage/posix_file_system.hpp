#ifndef HYSSOPLOFT_LIBSTORAGE_POSIX_FILE_SYSTEM_HPP
#define HYSSOPLOFT_LIBSTORAGE_POSIX_FILE_SYSTEM_HPP

// The file system of the operating system.

#include <LibStorage/file_system.hpp>

namespace hyssoploft::storage {

class posix_file_system final : public file_system
{
public:
    absl::StatusOr<std::unique_ptr<file>>
    open(const std::string& path) override;
    absl::StatusOr<std::string> read(const std::string& path) override;
    absl::StatusOr<std::string> read_part(
        const std::string& path, std::uint64_t offset,
        std::size_t size) override;
    absl::Status
    rename(const std::string& from, const std::string& to) override;
    absl::Status truncate(const std::string& path, std::uint64_t size) override;
    absl::Status overwrite(
        const std::string& path, std::uint64_t offset,
        std::string_view bytes) override;
    absl::Status remove(const std::string& path) override;
    absl::StatusOr<std::vector<std::string>>
    list(const std::string& directory) override;
    absl::Status create_directory(const std::string& directory) override;
    absl::Status sync_directory(const std::string& directory) override;
};

} // namespace hyssoploft::storage

#endif
