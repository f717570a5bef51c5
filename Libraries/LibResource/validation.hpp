#ifndef HYSSOPLOFT_LIBRESOURCE_VALIDATION_HPP
#define HYSSOPLOFT_LIBRESOURCE_VALIDATION_HPP

// Validation of declared resources, each by itself and all together.

#include <LibResource/change_batch.hpp>

#include <string_view>
#include <vector>

namespace hyssoploft::resource {

/// True for 1 to 63 letters, digits, '.', '_' and '-'.
bool is_valid_name(std::string_view it);

/// True for 64 lower case hexadecimal digits.
bool is_valid_digest(std::string_view it);

/// Checks ranges and formats of one resource, without its references.
std::vector<problem> check_values(const resource_value& it);

/// Checks references, uniqueness and withdrawals in the configuration that
/// would result from applying `changes` to `base`.
std::vector<problem>
check_references(const configuration& base, const std::vector<change>& changes);

/// All checks of a batch: duplicates, values and references.
std::vector<problem>
check_changes(const configuration& base, const std::vector<change>& changes);

} // namespace hyssoploft::resource

#endif
