#ifndef HYSSOPLOFT_LIBHTTP_HEADER_POLICY_HPP
#define HYSSOPLOFT_LIBHTTP_HEADER_POLICY_HPP

// Which headers pass between callers and upstreams. Both directions use a
// list of allowed names: a new way to send a key is then removed by default.

#include <LibHttp/types.hpp>

#include <string>
#include <string_view>

namespace hyssoploft::http {

/// Copies the headers that an upstream may see. Keys, cookies, connection
/// headers and forwarding headers are not among them, nor is any header whose
/// value contains the caller's key.
void copy_request_headers(const request& from, request& to);

/// Copies the headers of an upstream's answer that a caller may see.
void copy_response_headers(
    const bhttp::response_header<>& from, bhttp::response_header<>& to);

/// The target without query parameters that can carry a key. Parameter names
/// are compared after percent-decoding and without regard to case.
std::string strip_credentials(std::string_view target);

/// True if `target`, percent-decoded any number of times, contains `key`.
/// False for an empty key.
bool contains_key(std::string_view target, std::string_view key);

/// The caller's key: of `Authorization: Bearer`, or of `x-api-key`. Empty
/// when there is none or when both are present and differ.
std::string_view caller_key(const request& it);

} // namespace hyssoploft::http

#endif
