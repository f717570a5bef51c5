#ifndef HYSSOPLOFT_LIBCONTROL_LEDGER_SERVICE_HPP
#define HYSSOPLOFT_LIBCONTROL_LEDGER_SERVICE_HPP

// Execution records of at-most-once calls: begins, finishes and abandons
// records in the log, and stores each answer on two VMs of the region.

#include <LibControl/proposal_client.hpp>
#include <LibCore/clock.hpp>
#include <LibLedger/answer_store.hpp>
#include <LibLedger/ledger_client.hpp>
#include <LibLedger/ledger_command.hpp>
#include <LibWire/peer_transport.hpp>

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <memory>
#include <optional>
#include <string>

namespace hyssoploft::control {

class ledger_service final : public ledger::ledger_client
{
public:
    ledger_service(
        boost::asio::io_context& control, wire::peer_transport& transport,
        proposal_client& proposals, fleet_source& fleet, core::clock& clock);

    // ledger_client: callable from any thread.
    void
    begin(const ledger::begin_request& request, begin_handler done) override;
    void finish(
        const ledger::begin_request& request,
        const ledger::stored_answer& answer, done_handler done) override;
    void abandon(const ledger::begin_request& request) override;
    void fetch_answer(
        const ledger::record_id& id, const ledger::begin_result& record,
        answer_handler done) override;

    /// Serves answer_store and answer_fetch requests of peers.
    void serve(const wire::incoming_message& request);

    /// Drops answers that have expired. Call about once a second.
    void expire();

    /// Number of records that this VM still has to finish or abandon.
    std::size_t unsettled() const
    {
        return unsettled_;
    }

private:
    struct pending_finish;

    void store_copy(const std::shared_ptr<pending_finish>& it);
    void commit_finish(const std::shared_ptr<pending_finish>& it);
    void commit_abandon(std::string command, core::time_point retry_until);
    void fetch_from(
        const ledger::record_id& id, const ledger::begin_result& record,
        std::size_t holder, answer_handler done);
    std::optional<membership::vm_record>
    choose_copy_holder(const std::string& region);
    void serve_store(const wire::incoming_message& request);
    void serve_fetch(const wire::incoming_message& request);

    boost::asio::io_context& control_io_;
    wire::peer_transport& transport_;
    proposal_client& proposals_;
    fleet_source& fleet_;
    core::clock& clock_;
    ledger::answer_store answers_; // Used on the control thread only.
    std::atomic<std::size_t> unsettled_{0};
};

} // namespace hyssoploft::control

#endif
