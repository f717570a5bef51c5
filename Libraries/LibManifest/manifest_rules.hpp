#ifndef HYSSOPLOFT_LIBMANIFEST_MANIFEST_RULES_HPP
#define HYSSOPLOFT_LIBMANIFEST_MANIFEST_RULES_HPP

// Validation of a manifest before it is accepted.

#include <LibManifest/manifest.hpp>

#include <absl/status/status.h>

namespace hyssoploft::manifest {

/// INVALID_ARGUMENT with every finding and the path of its field: unknown
/// roles, two routes with the same host and prefix, weights that add up to 0,
/// timeouts of 0, prefixes without slashes, keys that two accounts share.
absl::Status check_manifest(const manifest& it);

} // namespace hyssoploft::manifest

#endif
