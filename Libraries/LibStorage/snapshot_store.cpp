// Layout: magic, index, length and checksum of the payload (little-endian
// 64 bit), then the payload.

#include <LibStorage/snapshot_store.hpp>

#include <LibStorage/byte_order.hpp>

#include <LibCore/text.hpp>

#include <algorithm>
#include <charconv>
#include <optional>

namespace hyssoploft::storage {

namespace {

constexpr std::uint64_t snapshot_magic = 0x3130504e53534c48; // "HLSSNP01"
constexpr std::size_t header_bytes = 32;
constexpr std::string_view prefix = "snapshot-";
constexpr std::string_view temporary_suffix = ".tmp";

/// Sixteen hexadecimal digits make the order of names that of the indexes.
std::string file_name(std::uint64_t index)
{
    return core::concat(
        prefix, absl::AlphaNum(absl::Hex(index, absl::kZeroPad16)));
}

std::optional<std::uint64_t> index_of(std::string_view name)
{
    if (name.substr(0, prefix.size()) != prefix)
    {
        return std::nullopt;
    }
    name.remove_prefix(prefix.size());
    std::uint64_t index = 0;
    constexpr int hexadecimal = 16;
    const auto [end, ec] = std::from_chars(
        name.data(), name.data() + name.size(), index, hexadecimal);
    if (ec != std::errc() || end != name.data() + name.size())
    {
        return std::nullopt;
    }
    return index;
}

std::string make_header(std::uint64_t index, std::string_view bytes)
{
    std::string header;
    put_u64(header, snapshot_magic);
    put_u64(header, index);
    put_u64(header, bytes.size());
    put_u64(header, checksum(bytes, checksum(header, snapshot_magic)));
    return header;
}

} // namespace

absl::Status snapshot_store::write(std::uint64_t index, std::string_view bytes)
{
    const std::string path = directory_ + "/" + file_name(index);
    const std::string temporary = path + std::string(temporary_suffix);
    if (auto status = write_temporary(temporary, index, bytes); !status.ok())
    {
        // The part that was written must not keep the disk full.
        (void)files_.remove(temporary);
        return status;
    }
    if (auto status = files_.rename(temporary, path); !status.ok())
    {
        (void)files_.remove(temporary);
        return status;
    }
    return unrecoverable(files_.sync_directory(directory_));
}

absl::Status snapshot_store::write_temporary(
    const std::string& temporary, std::uint64_t index, std::string_view bytes)
{
    if (auto status = files_.remove(temporary);
        !status.ok() && !absl::IsNotFound(status))
    {
        return status;
    }
    auto opened = files_.open(temporary);
    if (!opened.ok())
    {
        return opened.status();
    }
    if (auto status = (*opened)->append(make_header(index, bytes));
        !status.ok())
    {
        return status;
    }
    if (auto status = (*opened)->append(bytes); !status.ok())
    {
        return status;
    }
    return (*opened)->sync();
}

absl::StatusOr<std::string> snapshot_store::read(std::uint64_t index)
{
    const std::string path = directory_ + "/" + file_name(index);
    auto content = files_.read(path);
    if (!content.ok())
    {
        return content.status();
    }
    const std::string_view all = *content;
    if (all.size() < header_bytes ||
        make_header(index, all.substr(header_bytes)) !=
            all.substr(0, header_bytes))
    {
        return absl::DataLossError(
            core::concat(path, ": the snapshot is damaged"));
    }
    content->erase(0, header_bytes);
    return content;
}

absl::StatusOr<bool> snapshot_store::any()
{
    const auto names = files_.list(directory_);
    if (!names.ok())
    {
        return names.status();
    }
    return std::any_of(names->begin(), names->end(), [](const auto& it) {
        return index_of(it).has_value();
    });
}

absl::Status snapshot_store::remove_except(std::uint64_t index)
{
    const auto names = files_.list(directory_);
    if (!names.ok())
    {
        return names.status();
    }
    for (const auto& it : *names)
    {
        const auto found = index_of(it);
        const bool is_temporary =
            it.starts_with(prefix) && it.ends_with(temporary_suffix);
        if ((found && *found != index) || is_temporary)
        {
            if (auto status = files_.remove(directory_ + "/" + it);
                !status.ok())
            {
                return status;
            }
        }
    }
    return unrecoverable(files_.sync_directory(directory_));
}

} // namespace hyssoploft::storage
