#ifndef HYSSOPLOFT_LIBRESOURCE_DECLARATION_FILE_HPP
#define HYSSOPLOFT_LIBRESOURCE_DECLARATION_FILE_HPP

// Declaration files in YAML: one or several documents, each a resource or a
// list of resources. A resource is a map with `kind`, `name` and its fields;
// a rate has the name of its account, the fleet needs no name.

#include <LibCore/findings.hpp>
#include <LibResource/change_batch.hpp>

#include <map>
#include <string>
#include <vector>

namespace hyssoploft::resource {

inline constexpr std::size_t max_declaration_bytes = std::size_t{1024} * 1024;

struct declaration_file
{
    std::vector<change> changes; ///< Empty if there is any finding.
    core::findings found;
};

/// Parses `text`. With `base`, references are checked in the configuration
/// that would result from applying the declarations to it; without, only
/// values and duplicates are checked. All findings are reported, by line.
declaration_file parse_declarations(
    const std::string& text, const std::string& file_name,
    const configuration* base);

} // namespace hyssoploft::resource

#endif
