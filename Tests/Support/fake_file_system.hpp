#ifndef HYSSOPLOFT_TESTS_SUPPORT_FAKE_FILE_SYSTEM_HPP
#define HYSSOPLOFT_TESTS_SUPPORT_FAKE_FILE_SYSTEM_HPP

// A file system in memory with the faults of a real one: a crash loses any
// part of the unsynced bytes and names, a failed sync drops what it should
// have written, the disk is full, and the machine stops at a chosen operation.
// A full disk refuses writes, and on some file systems also new names and
// truncation.

#include <LibCore/random_source.hpp>
#include <LibStorage/file_system.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hyssoploft::tests {

/// What a full disk refuses; each value includes those before it.
enum class full_disk_refuses
{
    writes, ///< Appended and overwritten bytes.
    names,  ///< Created and renamed files.
    truncation
};

class fake_file_system final : public storage::file_system
{
public:
    explicit fake_file_system(std::uint64_t seed) : random_(seed) {}

    // Faults. Operations that change something are counted from 1.
    std::uint64_t operations = 0;
    std::uint64_t crash_at = 0;     ///< 0: never. Restarted by restart().
    std::uint64_t fail_sync_at = 0; ///< Counted in syncs of files from 1.
    std::uint64_t syncs = 0;
    std::size_t capacity = SIZE_MAX; ///< Bytes in all files together.
    std::size_t largest_read = 0;    ///< Bytes of one read of any kind.
    std::size_t largest_write = 0;   ///< Bytes of one append.
    std::uint64_t full_at = 0;       ///< Operation that finds the disk full.
    bool is_full = false;            ///< Set at `full_at`; reset by the test.
    full_disk_refuses refuses = full_disk_refuses::writes;

    bool is_stopped() const
    {
        return stopped_;
    }

    /// Loses what a power failure may lose; open files become unusable.
    void restart();

    /// Flips the bits of one durable byte.
    void damage(const std::string& path, std::size_t offset);

    std::string content(const std::string& path) const
    {
        return current_.at(path)->bytes;
    }

    absl::StatusOr<std::unique_ptr<storage::file>>
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

private:
    struct inode
    {
        std::string bytes;
        std::string durable;
        bool drops_writes = false; // A sync has failed.
    };
    using names = std::map<std::string, std::shared_ptr<inode>>;

    class open_file;

    /// Counts an operation; false if the machine has stopped before it.
    bool begin(bool& stops_within);
    absl::Status stopped() const
    {
        return absl::UnavailableError("the machine has stopped");
    }
    bool is_refused(full_disk_refuses kind) const
    {
        return is_full && refuses >= kind;
    }
    absl::Status write(inode& it, std::string_view bytes);
    absl::Status sync(inode& it);
    /// Changes the names now, and on the disk at the next directory sync.
    absl::Status change_names(names next, bool needs_space);

    core::seeded_random random_;
    names current_;
    // The durable names, then each state that a crash may leave behind.
    std::vector<names> states_{{}};
    std::uint64_t generation_ = 0; // Counts restarts.
    bool stopped_ = false;
};

} // namespace hyssoploft::tests

#endif
