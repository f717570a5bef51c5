#ifndef HYSSOPLOFT_LIBCORE_JSON_DOCUMENT_HPP
#define HYSSOPLOFT_LIBCORE_JSON_DOCUMENT_HPP

// Parses JSON documents that peers send. The parsed form of a document of many
// short values takes far more memory than its text, so it has a bound of its
// own.

#include <absl/status/statusor.h>
#include <boost/json/value.hpp>

#include <cstddef>
#include <string_view>

namespace hyssoploft::core {

/// Bound on the parsed form, in bytes: 16 times the largest body that the
/// servers accept. The same on all VMs, since each must be able to read a
/// document that another one has accepted.
inline constexpr std::size_t max_json_bytes = std::size_t{64} << 20;

/// Parses a text whose top level is an object. INVALID_ARGUMENT for other
/// texts, and if the parsed form, with what the parser needs meanwhile,
/// exceeds `max_bytes`.
absl::StatusOr<boost::json::value> parse_json_object(
    std::string_view text, std::size_t max_bytes = max_json_bytes);

} // namespace hyssoploft::core

#endif
