#ifndef HYSSOPLOFT_LIBCORE_FINDINGS_HPP
#define HYSSOPLOFT_LIBCORE_FINDINGS_HPP

// Collects the problems of an input with their places, so that a user sees them
// at once instead of one after the other. What is kept is bounded, since one
// input can have a problem in every few bytes.

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
    /// Findings that are kept; further ones are counted.
    static constexpr std::size_t max_items = 64;
    /// Longer fields and messages are cut.
    static constexpr std::size_t max_text_bytes = 200;

    void add(place where, std::string message);

    /// Counts findings, or entries of the input that were not read, without
    /// keeping them.
    void leave_out(std::size_t n)
    {
        left_out_ += n;
    }

    bool empty() const
    {
        return size() == 0;
    }

    /// With those that were left out.
    std::size_t size() const
    {
        return items_.size() + left_out_;
    }

    /// Whether further findings are only counted. Readers of long lists stop
    /// then.
    bool is_full() const
    {
        return items_.size() >= max_items;
    }

    /// Those that were kept.
    const std::vector<finding>& items() const
    {
        return items_;
    }

    /// Keeps the order of findings of the same line.
    void sort_by_line();

    /// OK without findings, else INVALID_ARGUMENT with one line for each, and
    /// one with the number of those left out.
    absl::Status to_status() const;

private:
    std::vector<finding> items_; // Up to max_items.
    std::size_t left_out_ = 0;
};

} // namespace hyssoploft::core

#endif
