#ifndef HYSSOPLOFT_LIBWIRE_MESSAGE_TYPE_HPP
#define HYSSOPLOFT_LIBWIRE_MESSAGE_TYPE_HPP

// Types of the messages between VMs. The numbers are part of the protocol.

#include <LibCore/enum_table.hpp>

#include <cstdint>

namespace hyssoploft::wire {

enum class message_type : std::uint8_t
{
    hello = 1, ///< Handshake of a TCP connection; the transport's own.
    ping = 2,
    ack = 3,
    ping_request = 4,
    state_sync = 5,
    config_pull = 6,
    config_changes = 7,
    config_snapshot = 8,
    consensus = 9,
    propose = 10,
    propose_result = 11,
    lease_request = 12,
    lease_grant = 13,
    answer_store = 14,
    answer_fetch = 15,
    answer_result = 16,
    in_force_report = 17,
    drain = 18,
    replica_hello = 19,
    fleet_sync = 20,
    fleet_sync_answer = 21,
    fleet_notice = 22,
    loan_request = 23,
    loan_answer = 24,
    load_notice = 25,
    suspect_notice = 26,
    leave_notice = 27
};

inline constexpr core::enum_table<message_type, 27> message_type_names{
    {{message_type::hello, "hello"},
     {message_type::ping, "ping"},
     {message_type::ack, "ack"},
     {message_type::ping_request, "ping_request"},
     {message_type::state_sync, "state_sync"},
     {message_type::config_pull, "config_pull"},
     {message_type::config_changes, "config_changes"},
     {message_type::config_snapshot, "config_snapshot"},
     {message_type::consensus, "consensus"},
     {message_type::propose, "propose"},
     {message_type::propose_result, "propose_result"},
     {message_type::lease_request, "lease_request"},
     {message_type::lease_grant, "lease_grant"},
     {message_type::answer_store, "answer_store"},
     {message_type::answer_fetch, "answer_fetch"},
     {message_type::answer_result, "answer_result"},
     {message_type::in_force_report, "in_force_report"},
     {message_type::drain, "drain"},
     {message_type::replica_hello, "replica_hello"},
     {message_type::fleet_sync, "fleet_sync"},
     {message_type::fleet_sync_answer, "fleet_sync_answer"},
     {message_type::fleet_notice, "fleet_notice"},
     {message_type::loan_request, "loan_request"},
     {message_type::loan_answer, "loan_answer"},
     {message_type::load_notice, "load_notice"},
     {message_type::suspect_notice, "suspect_notice"},
     {message_type::leave_notice, "leave_notice"}}};

} // namespace hyssoploft::wire

#endif
