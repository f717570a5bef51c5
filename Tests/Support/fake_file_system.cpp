// File system in memory with faults.

#include <Support/fake_file_system.hpp>

#include <algorithm>

namespace hyssoploft::tests {

class fake_file_system::open_file final : public storage::file
{
public:
    open_file(fake_file_system& files, std::shared_ptr<inode> it)
        : files_(files), inode_(std::move(it)), generation_(files.generation_)
    {}

    absl::Status append(std::string_view bytes) override
    {
        return generation_ == files_.generation_ ? files_.write(*inode_, bytes)
                                                 : files_.stopped();
    }

    absl::Status sync() override
    {
        return generation_ == files_.generation_ ? files_.sync(*inode_)
                                                 : files_.stopped();
    }

private:
    fake_file_system& files_;
    std::shared_ptr<inode> inode_;
    std::uint64_t generation_;
};

void fake_file_system::restart()
{
    current_ = states_[random_.below(states_.size())];
    states_ = {current_};
    for (auto& [path, it] : current_)
    {
        std::string kept = it->durable;
        const bool is_extended = it->bytes.size() > kept.size() &&
                                 it->bytes.compare(0, kept.size(), kept) == 0;
        if (is_extended && !it->drops_writes)
        {
            const std::size_t unsynced = it->bytes.size() - kept.size();
            std::string tail =
                it->bytes.substr(kept.size(), random_.below(unsynced + 1));
            // The size may reach the disk before the bytes do.
            if (random_.below(3) == 0)
            {
                const std::size_t zeros = random_.below(tail.size() + 1);
                tail.replace(tail.size() - zeros, zeros, zeros, '\0');
            }
            kept += tail;
        }
        *it = {kept, kept, false};
    }
    ++generation_;
    stopped_ = false;
    crash_at = fail_sync_at = 0;
}

void fake_file_system::damage(const std::string& path, std::size_t offset)
{
    inode& it = *current_.at(path);
    it.bytes.at(offset) = static_cast<char>(~it.bytes[offset]);
    it.durable = it.bytes;
}

bool fake_file_system::begin(bool& stops_within)
{
    stops_within = false;
    if (stopped_)
    {
        return false;
    }
    stopped_ = stops_within = ++operations == crash_at;
    is_full = is_full || operations == full_at;
    return true;
}

absl::Status fake_file_system::write(inode& it, std::string_view bytes)
{
    bool stops = false;
    if (!begin(stops))
    {
        return stopped();
    }
    largest_write = std::max(largest_write, bytes.size());
    std::size_t used = 0;
    for (const auto& [path, other] : current_)
    {
        used += other->bytes.size();
    }
    std::size_t room = capacity - std::min(capacity, used);
    if (is_full)
    {
        // Any part but the whole may have found space.
        room = bytes.empty() ? 0 : random_.below(bytes.size());
    }
    const bool refused = bytes.size() > room;
    bytes = bytes.substr(0, room);
    if (stops)
    {
        bytes = bytes.substr(0, random_.below(bytes.size() + 1));
    }
    it.bytes.append(bytes);
    if (stops)
    {
        return stopped();
    }
    return refused ? absl::ResourceExhaustedError("the disk is full")
                   : absl::OkStatus();
}

absl::Status fake_file_system::sync(inode& it)
{
    bool stops = false;
    if (!begin(stops) || stops)
    {
        return stopped();
    }
    if (++syncs == fail_sync_at)
    {
        // The kernel counts the pages as clean from now on.
        it.drops_writes = true;
        return absl::UnavailableError("input/output error");
    }
    if (!it.drops_writes)
    {
        it.durable = it.bytes;
    }
    return absl::OkStatus();
}

absl::Status fake_file_system::change_names(names next, bool needs_space)
{
    bool stops = false;
    if (!begin(stops))
    {
        return stopped();
    }
    if (needs_space && is_refused(full_disk_refuses::names))
    {
        return stops ? stopped()
                     : absl::ResourceExhaustedError("the disk is full");
    }
    current_ = std::move(next);
    states_.push_back(current_);
    return stops ? stopped() : absl::OkStatus();
}

absl::StatusOr<std::unique_ptr<storage::file>>
fake_file_system::open(const std::string& path)
{
    if (!current_.contains(path))
    {
        names next = current_;
        next[path] = std::make_shared<inode>();
        if (auto status = change_names(std::move(next), true); !status.ok())
        {
            return status;
        }
    }
    return std::make_unique<open_file>(*this, current_.at(path));
}

absl::StatusOr<std::string> fake_file_system::read(const std::string& path)
{
    const auto it = current_.find(path);
    if (stopped_)
    {
        return stopped();
    }
    if (it == current_.end())
    {
        return absl::NotFoundError(path);
    }
    largest_read = std::max(largest_read, it->second->bytes.size());
    return it->second->bytes;
}

absl::StatusOr<std::string> fake_file_system::read_part(
    const std::string& path, std::uint64_t offset, std::size_t size)
{
    const auto it = current_.find(path);
    if (stopped_)
    {
        return stopped();
    }
    if (it == current_.end())
    {
        return absl::NotFoundError(path);
    }
    const std::string& bytes = it->second->bytes;
    largest_read = std::max(largest_read, size);
    return offset < bytes.size() ? bytes.substr(offset, size) : std::string();
}

absl::Status
fake_file_system::rename(const std::string& from, const std::string& to)
{
    names next = current_;
    const auto it = next.find(from);
    if (it == next.end())
    {
        return absl::NotFoundError(from);
    }
    next[to] = it->second;
    next.erase(from);
    return change_names(std::move(next), true);
}

absl::Status
fake_file_system::truncate(const std::string& path, std::uint64_t size)
{
    bool stops = false;
    if (!begin(stops))
    {
        return stopped();
    }
    if (is_refused(full_disk_refuses::truncation))
    {
        return stops ? stopped()
                     : absl::ResourceExhaustedError("the disk is full");
    }
    current_.at(path)->bytes.resize(size);
    return stops ? stopped() : absl::OkStatus();
}

absl::Status fake_file_system::overwrite(
    const std::string& path, std::uint64_t offset, std::string_view bytes)
{
    bool stops = false;
    if (!begin(stops))
    {
        return stopped();
    }
    if (is_full)
    {
        return stops ? stopped()
                     : absl::ResourceExhaustedError("the disk is full");
    }
    inode& it = *current_.at(path);
    it.bytes.replace(offset, bytes.size(), bytes);
    if (stops)
    {
        return stopped();
    }
    // Only these bytes are written; those that a failed sync dropped before
    // them stay lost.
    std::string& durable = it.durable;
    durable.resize(std::max<std::size_t>(offset, durable.size()), '\0');
    durable.replace(
        offset, std::min(bytes.size(), durable.size() - offset), bytes);
    durable.resize(it.bytes.size(), '\0');
    it.drops_writes = it.drops_writes && durable != it.bytes;
    return absl::OkStatus();
}

absl::Status fake_file_system::remove(const std::string& path)
{
    names next = current_;
    if (next.erase(path) == 0)
    {
        return absl::NotFoundError(path);
    }
    return change_names(std::move(next), false);
}

absl::StatusOr<std::vector<std::string>>
fake_file_system::list(const std::string& directory)
{
    std::vector<std::string> found;
    for (const auto& [path, it] : current_)
    {
        if (path.starts_with(directory + "/"))
        {
            found.push_back(path.substr(directory.size() + 1));
        }
    }
    return found;
}

absl::Status fake_file_system::create_directory(const std::string&)
{
    return absl::OkStatus();
}

absl::Status fake_file_system::sync_directory(const std::string&)
{
    bool stops = false;
    if (!begin(stops) || stops)
    {
        return stopped();
    }
    states_ = {current_};
    return absl::OkStatus();
}

} // namespace hyssoploft::tests
