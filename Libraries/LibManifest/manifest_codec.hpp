#ifndef HYSSOPLOFT_LIBMANIFEST_MANIFEST_CODEC_HPP
#define HYSSOPLOFT_LIBMANIFEST_MANIFEST_CODEC_HPP

// Interface to the format in which operators write a manifest. The replicated
// log stores the document as it was sent, so that it can be read unchanged.

#include <LibManifest/manifest.hpp>

#include <absl/status/statusor.h>

#include <string_view>

namespace hyssoploft::manifest {

class manifest_codec
{
public:
    virtual ~manifest_codec() = default;

    /// INVALID_ARGUMENT with every finding if the document can't be read in
    /// full. The rules of check_manifest() are not applied.
    virtual absl::StatusOr<manifest>
    decode(std::string_view document) const = 0;
};

} // namespace hyssoploft::manifest

#endif
