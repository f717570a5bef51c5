// File operations by system calls; each error names the call and the path.

#include <LibStorage/posix_file_system.hpp>

#include <LibCore/text.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <filesystem>
#include <system_error>

namespace hyssoploft::storage {

namespace {

absl::Status
error_status(std::string_view call, const std::string& path, int code)
{
    const std::string text = core::concat(
        call, " ", path, ": ", std::generic_category().message(code));
    switch (code)
    {
    case ENOENT:
        return absl::NotFoundError(text);
    case ENOSPC:
    case EDQUOT:
        return absl::ResourceExhaustedError(text);
    default:
        return absl::UnavailableError(text);
    }
}

/// Owns a file descriptor.
class descriptor
{
public:
    explicit descriptor(int fd) : fd_(fd) {}
    descriptor(const descriptor&) = delete;
    descriptor& operator=(const descriptor&) = delete;
    ~descriptor()
    {
        if (fd_ >= 0)
        {
            ::close(fd_);
        }
    }

    int get() const
    {
        return fd_;
    }

private:
    int fd_;
};

class posix_file final : public file
{
public:
    posix_file(std::string path, int fd) : path_(std::move(path)), fd_(fd) {}

    absl::Status append(std::string_view bytes) override
    {
        while (!bytes.empty())
        {
            const ssize_t n = ::write(fd_.get(), bytes.data(), bytes.size());
            if (n < 0 && errno == EINTR)
            {
                continue;
            }
            if (n < 0)
            {
                return error_status("write", path_, errno);
            }
            bytes.remove_prefix(static_cast<std::size_t>(n));
        }
        return absl::OkStatus();
    }

    absl::Status sync() override
    {
        return ::fdatasync(fd_.get()) == 0
                   ? absl::OkStatus()
                   : error_status("fdatasync", path_, errno);
    }

private:
    std::string path_;
    descriptor fd_;
};

} // namespace

absl::StatusOr<std::unique_ptr<file>>
posix_file_system::open(const std::string& path)
{
    constexpr int owner_only = 0600;
    const int fd = ::open(
        path.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, owner_only);
    if (fd < 0)
    {
        return error_status("open", path, errno);
    }
    return std::make_unique<posix_file>(path, fd);
}

absl::StatusOr<std::string> posix_file_system::read(const std::string& path)
{
    const descriptor fd(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
    if (fd.get() < 0)
    {
        return error_status("open", path, errno);
    }
    constexpr std::size_t chunk = std::size_t{1} << 20;
    std::string content;
    while (true)
    {
        const std::size_t size = content.size();
        content.resize(size + chunk);
        const ssize_t n = ::read(fd.get(), content.data() + size, chunk);
        content.resize(
            size + static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
        if (n < 0 && errno != EINTR)
        {
            return error_status("read", path, errno);
        }
        if (n == 0)
        {
            return content;
        }
    }
}

absl::StatusOr<std::string> posix_file_system::read_part(
    const std::string& path, std::uint64_t offset, std::size_t size)
{
    const descriptor fd(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
    if (fd.get() < 0)
    {
        return error_status("open", path, errno);
    }
    std::string content(size, '\0');
    std::size_t used = 0;
    while (used < size)
    {
        const ssize_t n = ::pread(
            fd.get(), content.data() + used, size - used,
            static_cast<off_t>(offset + used));
        if (n < 0 && errno == EINTR)
        {
            continue;
        }
        if (n < 0)
        {
            return error_status("pread", path, errno);
        }
        if (n == 0)
        {
            break;
        }
        used += static_cast<std::size_t>(n);
    }
    content.resize(used);
    return content;
}

absl::Status
posix_file_system::rename(const std::string& from, const std::string& to)
{
    return std::rename(from.c_str(), to.c_str()) == 0
               ? absl::OkStatus()
               : error_status("rename", from, errno);
}

absl::Status
posix_file_system::truncate(const std::string& path, std::uint64_t size)
{
    return ::truncate(path.c_str(), static_cast<off_t>(size)) == 0
               ? absl::OkStatus()
               : error_status("truncate", path, errno);
}

absl::Status posix_file_system::overwrite(
    const std::string& path, std::uint64_t offset, std::string_view bytes)
{
    // Without O_APPEND, with which pwrite() ignores the offset.
    const descriptor fd(::open(path.c_str(), O_WRONLY | O_CLOEXEC));
    if (fd.get() < 0)
    {
        return error_status("open", path, errno);
    }
    while (!bytes.empty())
    {
        const ssize_t n = ::pwrite(
            fd.get(), bytes.data(), bytes.size(), static_cast<off_t>(offset));
        if (n < 0 && errno == EINTR)
        {
            continue;
        }
        if (n < 0)
        {
            return error_status("pwrite", path, errno);
        }
        bytes.remove_prefix(static_cast<std::size_t>(n));
        offset += static_cast<std::uint64_t>(n);
    }
    return ::fdatasync(fd.get()) == 0
               ? absl::OkStatus()
               : unrecoverable(error_status("fdatasync", path, errno));
}

absl::Status posix_file_system::remove(const std::string& path)
{
    return ::unlink(path.c_str()) == 0 ? absl::OkStatus()
                                       : error_status("unlink", path, errno);
}

absl::StatusOr<std::vector<std::string>>
posix_file_system::list(const std::string& directory)
{
    std::error_code ec;
    std::vector<std::string> names;
    std::filesystem::directory_iterator it(directory, ec);
    const std::filesystem::directory_iterator end;
    while (!ec && it != end)
    {
        names.push_back(it->path().filename().string());
        it.increment(ec);
    }
    if (ec)
    {
        return error_status("list", directory, ec.value());
    }
    std::sort(names.begin(), names.end());
    return names;
}

absl::Status posix_file_system::create_directory(const std::string& directory)
{
    std::error_code ec;
    std::filesystem::create_directories(directory, ec);
    return ec ? error_status("mkdir", directory, ec.value()) : absl::OkStatus();
}

absl::Status posix_file_system::sync_directory(const std::string& directory)
{
    const descriptor fd(
        ::open(directory.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (fd.get() < 0 || ::fsync(fd.get()) != 0)
    {
        return error_status("fsync", directory, errno);
    }
    return absl::OkStatus();
}

} // namespace hyssoploft::storage
