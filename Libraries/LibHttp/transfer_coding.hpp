#ifndef HYSSOPLOFT_LIBHTTP_TRANSFER_CODING_HPP
#define HYSSOPLOFT_LIBHTTP_TRANSFER_CODING_HPP

// Whether the end of a message's body is known (RFC 9112, section 6). The
// parser takes a message with a coding that it doesn't know for one without.

#include <LibHttp/types.hpp>

#include <absl/status/status.h>

namespace hyssoploft::http {

/// OK for a head without a transfer coding, or with "chunked" alone.
/// UNIMPLEMENTED if there are other codings below "chunked",
/// INVALID_ARGUMENT if the body has no known end.
absl::Status check_transfer_coding(const bhttp::fields& head, unsigned version);

} // namespace hyssoploft::http

#endif
