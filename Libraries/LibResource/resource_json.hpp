#ifndef HYSSOPLOFT_LIBRESOURCE_RESOURCE_JSON_HPP
#define HYSSOPLOFT_LIBRESOURCE_RESOURCE_JSON_HPP

// The JSON form of resources: an object with `kind`, `name` and the fields.

#include <LibCore/findings.hpp>
#include <LibResource/resource_value.hpp>

#include <boost/json/value.hpp>

#include <optional>
#include <string>

namespace hyssoploft::resource {

boost::json::object to_json(const resource_value& it);

/// Reads one resource. Every error is added to `found` with the path of the
/// field, prefixed by `path`; the result is empty if there was any. Missing
/// fields keep their defaults; unknown fields are errors.
std::optional<resource_value> resource_from_json(
    const boost::json::value& from, const std::string& path,
    core::findings& found);

} // namespace hyssoploft::resource

#endif
