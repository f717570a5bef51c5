#ifndef HYSSOPLOFT_LIBSTORAGE_SNAPSHOT_STORE_HPP
#define HYSSOPLOFT_LIBSTORAGE_SNAPSHOT_STORE_HPP

// Checksummed snapshot files, named by the log index that they cover. A file
// gets its final name only after its bytes are synced.

#include <LibStorage/file_system.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace hyssoploft::storage {

class snapshot_store
{
public:
    snapshot_store(file_system& files, std::string directory)
        : files_(files), directory_(std::move(directory))
    {}

    /// Returns OK once the snapshot is durable under its final name. After
    /// RESOURCE_EXHAUSTED nothing of it is left and it may be written again.
    absl::Status write(std::uint64_t index, std::string_view bytes);

    /// The snapshot of this index; NOT_FOUND without the file, DATA_LOSS if it
    /// is damaged.
    absl::StatusOr<std::string> read(std::uint64_t index);

    /// True if the directory holds the final name of any snapshot.
    absl::StatusOr<bool> any();

    /// Removes temporary files and all snapshots but the one of `index`.
    absl::Status remove_except(std::uint64_t index);

private:
    absl::Status write_temporary(
        const std::string& temporary, std::uint64_t index,
        std::string_view bytes);

    file_system& files_;
    std::string directory_;
};

} // namespace hyssoploft::storage

#endif
