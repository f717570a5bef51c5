#ifndef HYSSOPLOFT_LIBRESOURCE_VALIDATION_HPP
#define HYSSOPLOFT_LIBRESOURCE_VALIDATION_HPP

// The rules that declared resources must meet, each alone and together.

#include <LibResource/change_batch.hpp>

#include <string_view>
#include <vector>

namespace hyssoploft::resource {

/// True for 1 to 63 letters, digits, '.', '_' and '-'.
bool is_valid_name(std::string_view it);

/// True for 64 lower case hexadecimal digits.
bool is_valid_digest(std::string_view it);

/// Ranges and shapes of one resource by itself.
std::vector<problem> check_values(const resource_value& it);

/// References, uniqueness and withdrawals in the configuration that
/// `changes` would make of `base`. Neither is changed.
std::vector<problem>
check_references(const configuration& base, const std::vector<change>& changes);

/// All problems of a batch: duplicates, values and references.
std::vector<problem>
check_changes(const configuration& base, const std::vector<change>& changes);

} // namespace hyssoploft::resource

#endif
