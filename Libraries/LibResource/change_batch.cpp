// Encodes batches, results, events and whole configurations.

#include <LibResource/change_batch.hpp>

#include <LibCore/text.hpp>
#include <LibResource/resource_archive.hpp>

#include <glog/logging.h>

namespace hyssoploft::resource {

namespace {

// First byte of every encoding; incremented when a type changes.
constexpr std::uint8_t format_version = 1;

template <typename T>
std::string encode_versioned(const T& it)
{
    return core::encode(format_version, it);
}

template <typename T>
absl::StatusOr<T> decode_versioned(std::string_view bytes)
{
    if (bytes.empty() || bytes[0] != format_version)
    {
        return absl::InvalidArgumentError("unknown format version");
    }
    T it;
    if (const auto status = core::decode(bytes.substr(1), it); !status.ok())
    {
        return status;
    }
    return it;
}

} // namespace

std::string to_string(const problem& it)
{
    return core::concat(
        to_string(it.id), ": ", it.field, it.field.empty() ? "" : ": ",
        it.message);
}

std::string encode_batch(const change_batch& it)
{
    return encode_versioned(it);
}

absl::StatusOr<change_batch> decode_batch(std::string_view bytes)
{
    if (bytes.size() > max_batch_bytes)
    {
        return absl::InvalidArgumentError("batch is too large");
    }
    return decode_versioned<change_batch>(bytes);
}

std::string encode_result(const apply_result& it)
{
    return encode_versioned(it);
}

absl::StatusOr<apply_result> decode_result(std::string_view bytes)
{
    return decode_versioned<apply_result>(bytes);
}

std::string encode_event(const change_event& it)
{
    return encode_versioned(it);
}

absl::StatusOr<change_event> decode_event(std::string_view bytes)
{
    return decode_versioned<change_event>(bytes);
}

std::string encode_configuration(const configuration& it)
{
    return encode_versioned(it);
}

absl::StatusOr<configuration> decode_configuration(std::string_view bytes)
{
    return decode_versioned<configuration>(bytes);
}

void install_event(configuration& to, const change_event& event)
{
    CHECK_EQ(event.version, to.version + 1) << "change out of order";
    for (const auto& it : event.updates)
    {
        if (it.value.has_value())
        {
            put_resource(to, *it.value, event.version);
        }
        else
        {
            erase_resource(to, it.id);
        }
    }
    to.withdrawn_digests.insert(
        event.withdrawn_digests.begin(), event.withdrawn_digests.end());
    to.version = event.version;
}

} // namespace hyssoploft::resource
