#ifndef HYSSOPLOFT_LIBRESOURCE_CONFIGURATION_REPLICA_HPP
#define HYSSOPLOFT_LIBRESOURCE_CONFIGURATION_REPLICA_HPP

// The receiving side of the resource feed, for VMs without a replica of the
// log. It installs only newer changes and snapshots, and keeps a window of
// changes to forward to other VMs. Not thread safe.

#include <LibResource/change_window.hpp>
#include <LibResource/published_configuration.hpp>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace hyssoploft::resource {

class configuration_replica
{
public:
    /// Installs encoded events in order; those that are installed already are
    /// skipped. FAILED_PRECONDITION at a gap and INVALID_ARGUMENT at a
    /// damaged event; the events before it stay installed.
    absl::Status install_changes(const std::vector<std::string>& events);

    /// Installs an encoded configuration if it is newer than the installed
    /// one; an older one is skipped. INVALID_ARGUMENT if it is damaged.
    absl::Status install_snapshot(std::string_view bytes);

    /// The encoded configuration, for install_snapshot() of another VM.
    std::string snapshot() const;

    std::shared_ptr<const configuration> current() const
    {
        return configuration_.publish();
    }

    const configuration& view() const
    {
        return configuration_.view();
    }

    std::uint64_t version() const
    {
        return view().version;
    }

    absl::StatusOr<std::vector<std::string>> changes_since(
        std::uint64_t version, std::size_t max_bytes = max_pull_bytes) const
    {
        return window_.changes_since(version, max_bytes);
    }

private:
    published_configuration configuration_;
    change_window window_; // Its last() equals the configuration's version.
};

} // namespace hyssoploft::resource

#endif
