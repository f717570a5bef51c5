#ifndef HYSSOPLOFT_LIBRESOURCE_CHANGE_WINDOW_HPP
#define HYSSOPLOFT_LIBRESOURCE_CHANGE_WINDOW_HPP

// A bounded window of the newest changes in order, for watches and for VMs
// that pull changes.

#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace hyssoploft::resource {

inline constexpr std::size_t max_window_changes = 1024;
/// Protects a VM's memory from a sequence of very large batches.
inline constexpr std::size_t max_window_bytes = std::size_t{8} * 1024 * 1024;

/// Largest reply to one pull; a frame between VMs has at most 1 MiB.
inline constexpr std::size_t max_pull_bytes = std::size_t{512} * 1024;

class change_window
{
public:
    /// Clears the window; the next change is version `version` + 1.
    void reset(std::uint64_t version);

    /// Adds the encoded event of version last() + 1.
    void push(std::string event);

    /// The version of the newest change.
    std::uint64_t last() const
    {
        return last_version_;
    }

    /// The encoded events after `version`, oldest first and without gaps; as
    /// many as fit into `max_bytes`, but at least one if there is any.
    /// OUT_OF_RANGE ("list again") if the window no longer reaches back to
    /// `version`, or `version` lies in the future.
    absl::StatusOr<std::vector<std::string>>
    changes_since(std::uint64_t version, std::size_t max_bytes) const;

    const std::deque<std::string>& events() const
    {
        return events_;
    }

private:
    std::uint64_t last_version_ = 0; // Version of events_.back().
    std::size_t bytes_ = 0;          // Sum of the sizes of events_.
    std::deque<std::string> events_; // Consecutive versions.
};

} // namespace hyssoploft::resource

#endif
