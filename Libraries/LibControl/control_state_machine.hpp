#ifndef HYSSOPLOFT_LIBCONTROL_CONTROL_STATE_MACHINE_HPP
#define HYSSOPLOFT_LIBCONTROL_CONTROL_STATE_MACHINE_HPP

// The replicated state: resources, execution records, the manifest, departures
// of upstreams, and the VM that each replica runs on.

#include <LibConsensus/log_entry.hpp>
#include <LibConsensus/replicated_state_machine.hpp>
#include <LibControl/departure_store.hpp>
#include <LibControl/manifest_store.hpp>
#include <LibLedger/execution_ledger.hpp>
#include <LibResource/resource_store.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace hyssoploft::control {

class control_state_machine final : public consensus::replicated_state_machine
{
public:
    std::string apply(std::uint64_t index, std::string_view command) override;
    std::string take_snapshot() override;
    absl::Status install_snapshot(std::string_view bytes) override;

    const resource::resource_store& resources() const
    {
        return resources_;
    }

    const ledger::execution_ledger& records() const
    {
        return ledger_;
    }

    const manifest_store& manifests() const
    {
        return manifests_;
    }

    const departure_store& departures() const
    {
        return departures_;
    }

    /// Newest log time of any command.
    ledger::log_time time() const
    {
        return std::max(ledger_.time(), departures_.time());
    }

    /// Whether something ends by log time, which then has to advance.
    bool has_expiries() const
    {
        return ledger_.size() > 0 || departures_.items().size() > 0;
    }

    /// VM of each recorded replica. When there are too many, the oldest ones
    /// with a successor on the same VM are removed.
    const std::map<consensus::replica_id, std::string>& replicas() const
    {
        return replicas_;
    }

private:
    std::string apply_replica(std::string_view body);
    void remove_oldest_replaced_replica();

    resource::resource_store resources_;
    ledger::execution_ledger ledger_;
    manifest_store manifests_;
    departure_store departures_;
    std::map<consensus::replica_id, std::string> replicas_;
    std::vector<consensus::replica_id> replica_order_; // Oldest first.
};

} // namespace hyssoploft::control

#endif
