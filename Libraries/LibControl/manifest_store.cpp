// Applies manifests and evacuations, and packs documents with zlib.

#include <LibControl/manifest_store.hpp>

#include <glog/logging.h>
#include <zlib.h>

#include <utility>

namespace hyssoploft::control {

namespace {

struct packed_document
{
    std::uint64_t bytes = 0; // Before compression.
    std::string deflated;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(bytes, deflated);
    }
};

} // namespace

std::string manifest_store::apply_manifest(std::string_view command)
{
    auto decoded = wire::decode<manifest_command>(command);
    if (!decoded.ok())
    {
        LOG(ERROR) << "manifest_command_malformed error=\""
                   << decoded.status().ToString() << "\"";
    }
    else if (decoded->version > version_)
    {
        version_ = decoded->version;
        packed_ = std::move(decoded->packed);
    }
    return wire::encode(status());
}

std::string manifest_store::apply_evacuation(std::string_view command)
{
    const auto decoded = wire::decode<evacuation_command>(command);
    if (!decoded.ok())
    {
        LOG(ERROR) << "evacuation_command_malformed error=\""
                   << decoded.status().ToString() << "\"";
        return wire::encode(status());
    }
    set_evacuated(decoded->data_center, decoded->active);
    return wire::encode(status());
}

std::string manifest_store::apply_evacuation_change(std::string_view command)
{
    const auto decoded = wire::decode<evacuation_change>(command);
    if (!decoded.ok())
    {
        LOG(ERROR) << "evacuation_change_malformed error=\""
                   << decoded.status().ToString() << "\"";
        return wire::encode(evacuation_result{});
    }
    const auto& data_center = decoded->data_center;
    const bool is_current =
        decoded->based_on == evacuation_order_revision(data_center);
    const bool alters = evacuated_.contains(data_center) != decoded->active;
    const bool applied = is_current || !alters;
    if (applied)
    {
        set_evacuated(data_center, decoded->active);
        ++evacuation_orders_[data_center];
    }
    return wire::encode(
        evacuation_result{applied, evacuation_order_revision(data_center)});
}

std::uint64_t
manifest_store::evacuation_order_revision(const std::string& it) const
{
    const auto found = evacuation_orders_.find(it);
    return found == evacuation_orders_.end() ? 0 : found->second;
}

void manifest_store::set_evacuated(const std::string& data_center, bool active)
{
    const bool changed = active ? evacuated_.insert(data_center).second
                                : evacuated_.erase(data_center) > 0;
    evacuation_revision_ += changed ? 1 : 0;
}

absl::StatusOr<std::string> pack_document(std::string_view document)
{
    if (document.size() > max_document_bytes)
    {
        return absl::ResourceExhaustedError("the document is too large");
    }
    packed_document out;
    out.bytes = document.size();
    auto size = ::compressBound(document.size());
    out.deflated.resize(size);
    const int result = ::compress2(
        reinterpret_cast<Bytef*>(out.deflated.data()), &size,
        reinterpret_cast<const Bytef*>(document.data()), document.size(),
        Z_BEST_SPEED);
    if (result != Z_OK)
    {
        return absl::InternalError("the document can't be compressed");
    }
    out.deflated.resize(size);
    return wire::encode(out);
}

absl::StatusOr<std::string> unpack_document(std::string_view packed)
{
    const auto decoded = wire::decode<packed_document>(packed);
    if (!decoded.ok())
    {
        return decoded.status();
    }
    if (decoded->bytes > max_document_bytes)
    {
        return absl::InvalidArgumentError("the document is too large");
    }
    std::string out(decoded->bytes, '\0');
    auto size = static_cast<uLongf>(out.size());
    const int result = ::uncompress(
        reinterpret_cast<Bytef*>(out.data()), &size,
        reinterpret_cast<const Bytef*>(decoded->deflated.data()),
        decoded->deflated.size());
    if (result != Z_OK || size != out.size())
    {
        return absl::InvalidArgumentError("the packed document is damaged");
    }
    return out;
}

} // namespace hyssoploft::control
