#ifndef HYSSOPLOFT_LIBCONTROL_CONFIG_FEED_HPP
#define HYSSOPLOFT_LIBCONTROL_CONFIG_FEED_HPP

// The configuration in force at this VM. A control VM takes it from the log,
// and every VM pulls it from any peer with a newer version; versions never go
// back. A control VM partitioned from the log still pulls from peers in its
// region.

#include <LibControl/control_messages.hpp>
#include <LibResource/configuration_replica.hpp>
#include <LibResource/resource_store.hpp>
#include <LibWire/peer_transport.hpp>

#include <functional>
#include <memory>
#include <string>

namespace hyssoploft::control {

class config_feed
{
public:
    /// `installed` is called after each change of the version.
    config_feed(
        wire::peer_transport& transport, std::function<void()> on_installed);

    std::shared_ptr<const resource::configuration> current() const
    {
        return replica_.current();
    }

    const resource::configuration& view() const
    {
        return replica_.view();
    }

    std::uint64_t version() const
    {
        return replica_.version();
    }

    const resource::configuration_replica& replica() const
    {
        return replica_;
    }

    /// Pulls a newer version of a peer, unless a pull is in progress.
    void on_newer_version(const std::string& address, std::uint64_t version);

    /// Installs changes that the log of this VM has applied.
    void install_from_store(const resource::resource_store& store);

    /// Answers config_pull and config_snapshot requests of peers.
    void serve(const wire::incoming_message& request);

private:
    void pull(const std::string& address);
    void pull_snapshot(const std::string& address, snapshot_pull from);
    void on_changes(const std::string& address, const config_changes& it);
    void on_snapshot_part(const std::string& address, const snapshot_part& it);
    void install(const absl::Status& status, std::uint64_t before);
    void serve_changes(const wire::incoming_message& request);
    void serve_snapshot(const wire::incoming_message& request);

    wire::peer_transport& transport_;
    std::function<void()> on_installed_;
    resource::configuration_replica replica_;
    bool pulling_ = false;             // At most one pull at a time.
    std::string received_snapshot_;    // Parts received so far.
    std::uint64_t part_version_ = 0;   // Version of all parts received.
    std::string served_snapshot_;      // Snapshot that is sent in parts.
    std::uint64_t served_version_ = 0; // Of served_; 0: none.
};

} // namespace hyssoploft::control

#endif
