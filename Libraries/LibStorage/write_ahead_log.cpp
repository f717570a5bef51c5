// Layout, all numbers little-endian 64 bit:
//   file header: magic, file id, number of sealed records, checksum of these
//   record: magic, sequence, length, checksum of the payload, checksum of the
//   four fields before it; then the payload
// Both checksums of a record are seeded by the file id. Sealed records were
// synced before the file got its name, so they are never a torn tail.

#include <LibStorage/write_ahead_log.hpp>

#include <LibStorage/byte_order.hpp>

#include <LibCore/text.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace hyssoploft::storage {

namespace {

constexpr std::uint64_t file_magic = 0x31304c4157534c48;   // "HLSWAL01"
constexpr std::uint64_t record_magic = 0x31304345524c5748; // "HWLREC01"
constexpr std::size_t file_header_bytes = 32;
constexpr std::size_t record_header_bytes = 40;
constexpr std::size_t header_checksum_offset = 32;
/// A log is read and copied in parts of this size, or of one record.
constexpr std::size_t part_bytes = std::size_t{256} << 10;

std::string make_file_header(std::uint64_t file_id, std::uint64_t sealed)
{
    std::string header;
    put_u64(header, file_magic);
    put_u64(header, file_id);
    put_u64(header, sealed);
    put_u64(header, checksum(header, file_magic));
    return header;
}

bool is_file_header(std::string_view content)
{
    return content.size() >= file_header_bytes &&
           make_file_header(get_u64(content, 8), get_u64(content, 16)) ==
               content.substr(0, file_header_bytes);
}

std::string make_record(
    std::string_view payload, std::uint64_t sequence, std::uint64_t file_id)
{
    std::string record;
    record.reserve(record_header_bytes + payload.size());
    put_u64(record, record_magic);
    put_u64(record, sequence);
    put_u64(record, payload.size());
    put_u64(record, checksum(payload, file_id));
    put_u64(record, checksum(record, file_id));
    record.append(payload);
    return record;
}

struct record_header
{
    std::uint64_t sequence = 0;
    std::uint64_t length = 0;
    std::uint64_t payload_checksum = 0;
};

std::optional<record_header> parse_header(
    std::string_view content, std::size_t offset, std::uint64_t file_id)
{
    if (content.size() - offset < record_header_bytes ||
        get_u64(content, offset) != record_magic ||
        get_u64(content, offset + header_checksum_offset) !=
            checksum(content.substr(offset, header_checksum_offset), file_id))
    {
        return std::nullopt;
    }
    return record_header{
        get_u64(content, offset + 8), get_u64(content, offset + 16),
        get_u64(content, offset + 24)};
}

/// Reads a file from its begin to its end without holding all of it.
class sequential_reader
{
public:
    sequential_reader(file_system& files, const std::string& path)
        : files_(files), path_(path)
    {}

    /// The next `size` bytes, fewer at the end of the file; valid until the
    /// next call. They remain the next ones until skip().
    absl::StatusOr<std::string_view> peek(std::size_t size)
    {
        if (buf_.size() - used_ < size)
        {
            buf_.erase(0, used_);
            used_ = 0;
            const auto wanted = std::max(size - buf_.size(), part_bytes);
            auto part = files_.read_part(path_, offset_ + buf_.size(), wanted);
            if (!part.ok())
            {
                return part.status();
            }
            buf_ += *part;
        }
        return std::string_view(buf_).substr(used_, size);
    }

    /// Passes over bytes that peek() has returned.
    void skip(std::size_t size)
    {
        used_ += size;
        offset_ += size;
    }

    std::uint64_t offset() const
    {
        return offset_;
    }

private:
    file_system& files_;
    const std::string& path_;
    std::string buf_;
    std::size_t used_ = 0;     // Part of buf_ that was skipped.
    std::uint64_t offset_ = 0; // In the file, of the byte at used_.
};

/// The payload of the record at the reader's position, if it is intact.
absl::StatusOr<std::optional<std::string_view>> read_record(
    sequential_reader& in, std::uint64_t file_id, std::uint64_t& sequence)
{
    auto bytes = in.peek(record_header_bytes);
    if (!bytes.ok())
    {
        return bytes.status();
    }
    const auto header = parse_header(*bytes, 0, file_id);
    if (!header || header->length > write_ahead_log::max_record_bytes)
    {
        return std::nullopt;
    }
    bytes = in.peek(record_header_bytes + header->length);
    if (!bytes.ok())
    {
        return bytes.status();
    }
    if (bytes->size() < record_header_bytes + header->length)
    {
        return std::nullopt;
    }
    const auto payload = bytes->substr(record_header_bytes);
    if (checksum(payload, file_id) != header->payload_checksum)
    {
        return std::nullopt;
    }
    sequence = header->sequence;
    return payload;
}

/// True if the header of a record stands anywhere from `offset` on: the next
/// record was begun, so the bad one before it had been synced.
bool has_record_after(
    std::string_view content, std::size_t offset, std::uint64_t file_id)
{
    std::string magic;
    put_u64(magic, record_magic);
    for (std::size_t at = content.find(magic, offset);
         at != std::string_view::npos; at = content.find(magic, at + 1))
    {
        if (parse_header(content, at, file_id))
        {
            return true;
        }
    }
    return false;
}

} // namespace

write_ahead_log::write_ahead_log(
    file_system& files, const std::string& directory, const std::string& name)
    : files_(files), directory_(directory), path_(directory + "/" + name)
{}

absl::StatusOr<std::unique_ptr<write_ahead_log>> write_ahead_log::create(
    file_system& files, const std::string& directory, const std::string& name,
    std::uint64_t file_id)
{
    std::unique_ptr<write_ahead_log> log(
        new write_ahead_log(files, directory, name));
    if (files.read(log->path_).status().code() != absl::StatusCode::kNotFound)
    {
        return absl::AlreadyExistsError(
            core::concat(log->path_, ": exists or can't be read"));
    }
    if (auto status = log->rewrite({}, file_id); !status.ok())
    {
        return status;
    }
    return log;
}

absl::StatusOr<std::unique_ptr<write_ahead_log>> write_ahead_log::load(
    file_system& files, const std::string& directory, const std::string& name,
    const record_visitor& visit)
{
    std::unique_ptr<write_ahead_log> log(
        new write_ahead_log(files, directory, name));
    sequential_reader in(files, log->path_);
    const auto header = in.peek(file_header_bytes);
    if (!header.ok())
    {
        return header.status();
    }
    if (!is_file_header(*header))
    {
        return absl::DataLossError(
            core::concat(log->path_, ": the file header is damaged"));
    }
    log->file_id_ = get_u64(*header, 8);
    log->sealed_ = get_u64(*header, 16);
    in.skip(file_header_bytes);
    for (;;)
    {
        const auto rest = in.peek(1);
        if (!rest.ok())
        {
            return rest.status();
        }
        if (rest->empty())
        {
            break;
        }
        const auto offset = in.offset();
        std::uint64_t sequence = 0;
        const auto payload = read_record(in, log->file_id_, sequence);
        if (!payload.ok())
        {
            return payload.status();
        }
        if (!*payload)
        {
            // At most one record, unless the file is damaged.
            const auto content = files.read(log->path_);
            if (!content.ok())
            {
                return content.status();
            }
            if (has_record_after(*content, offset + 1, log->file_id_))
            {
                return absl::DataLossError(core::concat(
                    log->path_, ": the record at byte ", offset,
                    " is damaged and records follow it"));
            }
            log->has_torn_tail_ = true;
            break;
        }
        if (sequence != log->next_sequence_)
        {
            return absl::DataLossError(core::concat(
                log->path_, ": record ", sequence, " at byte ", offset,
                " stands in place of record ", log->next_sequence_));
        }
        if (auto status = visit(**payload); !status.ok())
        {
            return status;
        }
        log->last_record_ = make_record(**payload, sequence, log->file_id_);
        in.skip(record_header_bytes + (*payload)->size());
        ++log->next_sequence_;
    }
    const std::uint64_t records = log->next_sequence_ - 1;
    if (records < log->sealed_)
    {
        return absl::DataLossError(core::concat(
            log->path_, ": ", records, " records are intact of ", log->sealed_,
            " that were synced"));
    }
    log->size_ = in.offset();
    log->is_durable_ = false;
    return log;
}

absl::StatusOr<std::unique_ptr<write_ahead_log>> write_ahead_log::open(
    file_system& files, const std::string& directory, const std::string& name,
    recovered_log& found)
{
    auto log = load(files, directory, name, [&](std::string_view record) {
        found.records.emplace_back(record);
        return absl::OkStatus();
    });
    if (!log.ok())
    {
        return log.status();
    }
    const auto content = files.read((*log)->path_);
    if (!content.ok())
    {
        return content.status();
    }
    found.cut_bytes = content->size() - (*log)->size_;
    if (auto status = (*log)->make_durable(); !status.ok())
    {
        return status;
    }
    return log;
}

absl::Status write_ahead_log::make_durable()
{
    if (auto status = check_usable(); !status.ok())
    {
        return status;
    }
    if (is_durable_)
    {
        return absl::OkStatus();
    }
    // The last record may be in the page cache only, and after a failed sync
    // the kernel may count its pages as clean, so that another sync would not
    // write them. New pages are certain to be written.
    if (std::exchange(may_copy_, false))
    {
        const auto status = replace_file([this](file& out) {
            return copy_records(out);
        });
        if (status.ok())
        {
            sealed_ = next_sequence_ - 1;
            has_torn_tail_ = false;
            is_durable_ = true;
            last_record_.clear();
        }
        if (!absl::IsResourceExhausted(status))
        {
            return guarded(status);
        }
    }
    return guarded(refresh_last_record());
}

absl::Status write_ahead_log::copy_records(file& out)
{
    auto status = out.append(make_file_header(file_id_, next_sequence_ - 1));
    const auto end = size_ - last_record_.size();
    for (std::uint64_t at = file_header_bytes; status.ok() && at < end;)
    {
        const auto part = files_.read_part(
            path_, at, std::min<std::uint64_t>(part_bytes, end - at));
        if (!part.ok())
        {
            return part.status();
        }
        if (part->empty())
        {
            return absl::DataLossError(
                core::concat(path_, ": the file became shorter"));
        }
        status = out.append(*part);
        at += part->size();
    }
    return status.ok() ? out.append(last_record_) : status;
}

absl::Status write_ahead_log::refresh_last_record()
{
    // Left over from an earlier process or from replace_file().
    if (auto status = files_.remove(path_ + ".tmp");
        !status.ok() && !absl::IsNotFound(status))
    {
        return status;
    }
    if (auto status = cut_tail(); !status.ok())
    {
        return status;
    }
    // All records before the last one were synced before it was written. With
    // no record, this syncs the cut of the tail.
    const std::string bytes = last_record_.empty()
                                  ? make_file_header(file_id_, sealed_)
                                  : last_record_;
    if (auto status = files_.overwrite(path_, size_ - bytes.size(), bytes);
        !status.ok())
    {
        return status;
    }
    if (auto status = files_.sync_directory(directory_); !status.ok())
    {
        return unrecoverable(status);
    }
    auto opened = files_.open(path_);
    if (!opened.ok())
    {
        return opened.status();
    }
    file_ = std::move(*opened);
    is_durable_ = true;
    last_record_.clear();
    return absl::OkStatus();
}

absl::Status write_ahead_log::cut_tail()
{
    if (!has_torn_tail_)
    {
        return absl::OkStatus();
    }
    auto status = files_.truncate(path_, size_);
    has_torn_tail_ = !status.ok();
    return status;
}

absl::Status write_ahead_log::check_usable() const
{
    return failure_.ok() ? absl::OkStatus()
                         : absl::FailedPreconditionError(core::concat(
                               path_, ": closed by an earlier error: ",
                               core::to_std(failure_.message())));
}

absl::Status write_ahead_log::guarded(const absl::Status& result)
{
    if (!result.ok() && !absl::IsResourceExhausted(result) && failure_.ok())
    {
        failure_ = result;
    }
    return result;
}

absl::Status write_ahead_log::append(std::string_view record)
{
    if (auto status = make_durable(); !status.ok())
    {
        return status;
    }
    if (record.size() > max_record_bytes)
    {
        return absl::InvalidArgumentError("the record is too large");
    }
    return guarded(do_append(record));
}

absl::Status write_ahead_log::do_append(std::string_view record)
{
    // A record after torn bytes would be taken for damage.
    if (auto status = cut_tail(); !status.ok())
    {
        return status;
    }
    const std::string bytes = make_record(record, next_sequence_, file_id_);
    if (auto status = file_->append(bytes); !status.ok())
    {
        has_torn_tail_ = true;
        if (absl::IsResourceExhausted(status))
        {
            // A record that was refused must not be found after a restart. If
            // the disk refuses this as well, the next append repeats it.
            const auto cut = cut_tail();
            return cut.ok() || absl::IsResourceExhausted(cut) ? status : cut;
        }
        return status;
    }
    if (auto status = file_->sync(); !status.ok())
    {
        return unrecoverable(status);
    }
    ++next_sequence_;
    size_ += bytes.size();
    return absl::OkStatus();
}

absl::Status write_ahead_log::rewrite(
    const std::vector<std::string>& records, std::uint64_t file_id)
{
    if (auto status = check_usable(); !status.ok())
    {
        return status;
    }
    std::string content = make_file_header(file_id, records.size());
    std::uint64_t sequence = 1;
    for (const auto& it : records)
    {
        content += make_record(it, sequence++, file_id);
    }
    if (auto status = guarded(replace_file([&](file& out) {
            return out.append(content);
        }));
        !status.ok())
    {
        return status;
    }
    file_id_ = file_id;
    next_sequence_ = sequence;
    size_ = content.size();
    sealed_ = records.size();
    has_torn_tail_ = false;
    is_durable_ = true;
    last_record_.clear();
    return absl::OkStatus();
}

absl::Status write_ahead_log::replace_file(const content_writer& write)
{
    const std::string temporary = path_ + ".tmp";
    auto status = write_temporary(temporary, write);
    if (status.ok())
    {
        status = files_.rename(temporary, path_);
    }
    if (!status.ok())
    {
        // The part that was written must not keep the disk full.
        (void)files_.remove(temporary);
        return status;
    }
    if (status = files_.sync_directory(directory_); !status.ok())
    {
        return unrecoverable(status);
    }
    auto opened = files_.open(path_);
    if (!opened.ok())
    {
        return unrecoverable(opened.status());
    }
    file_ = std::move(*opened);
    return absl::OkStatus();
}

absl::Status write_ahead_log::write_temporary(
    const std::string& temporary, const content_writer& write)
{
    // A file left over from a crash must not become part of the new one.
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
    if (auto status = write(**opened); !status.ok())
    {
        return status;
    }
    return (*opened)->sync();
}

} // namespace hyssoploft::storage
