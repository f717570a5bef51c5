#ifndef HYSSOPLOFT_LIBCORE_FINDINGS_HPP
#define HYSSOPLOFT_LIBCORE_FINDINGS_HPP

// Collects every problem of an input with its place, so that a user sees all
// of them at once instead of one after the other.

#include <absl/status/status.h>

#include <cstddef>
#include <string>
#include <vector>

namespace hyssoploft::core {

struct place
{
    std::string file;  ///< File name, or "flags" or "environment".
    int line = 0;      ///< Line from 1; 0 if there is none.
    std::string field; ///< Path of the field, such as "routes[2].model".
};

struct finding
{
    place where;
    std::string message;
};

/// "file:line: field: message", without the parts that are empty.
std::string to_string(const finding& it);

class findings
{
public:
    void add(place where, std::string message);

    bool empty() const
    {
        return items_.empty();
    }

    const std::vector<finding>& items() const
    {
        return items_;
    }

    /// OK without findings, else INVALID_ARGUMENT with one line for each.
    absl::Status to_status() const;

private:
    std::vector<finding> items_; // In the order in which they were found.
};

} // namespace hyssoploft::core

#endif
