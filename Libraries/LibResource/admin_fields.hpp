#ifndef HYSSOPLOFT_LIBRESOURCE_ADMIN_FIELDS_HPP
#define HYSSOPLOFT_LIBRESOURCE_ADMIN_FIELDS_HPP

// The fields of each type of the admin API, listed once for reading and
// writing. Internal to admin_api.cpp.

#include <LibResource/admin_api.hpp>

namespace hyssoploft::resource {

template <typename Visitor>
void visit_fields(Visitor&& f, apply_request& it)
{
    f("request_id", it.request_id);
    f.optional("dry_run", it.dry_run);
    f("changes", it.changes);
}

template <typename Visitor>
void visit_fields(Visitor&& f, problem& it)
{
    f("kind", it.id.kind);
    f("name", it.id.name);
    f("field", it.field);
    f("message", it.message);
}

template <typename Visitor>
void visit_fields(Visitor&& f, conflict& it)
{
    f("kind", it.id.kind);
    f("name", it.id.name);
    f("expected_version", it.expected_version);
    f("current_version", it.current_version);
    f.optional("current", it.current);
}

template <typename Visitor>
void visit_fields(Visitor&& f, apply_result& it)
{
    f("outcome", it.outcome);
    f("version", it.version);
    f("conflicts", it.conflicts);
    f("problems", it.problems);
    f("omitted", it.omitted);
}

template <typename Visitor>
void visit_fields(Visitor&& f, withdraw_request& it)
{
    f("request_id", it.request_id);
    f.optional("digests", it.digests);
    f.optional("names", it.names);
}

template <typename Visitor>
void visit_fields(Visitor&& f, withdraw_response& it)
{
    f("accepted", it.accepted);
    f("committed", it.committed);
}

template <typename Visitor>
void visit_fields(Visitor&& f, resource_list& it)
{
    f("version", it.version);
    f("items", it.items);
}

template <typename Visitor>
void visit_fields(Visitor&& f, watch_response& it)
{
    f("version", it.version);
    f("list_again", it.list_again);
    f("events", it.events);
}

template <typename Visitor>
void visit_fields(Visitor&& f, change_event& it)
{
    f("version", it.version);
    f("updates", it.updates);
    f("withdrawn_digests", it.withdrawn_digests);
}

template <typename Visitor>
void visit_fields(Visitor&& f, vm_status& it)
{
    f("id", it.id);
    f("region", it.region);
    f("state", it.state);
    f("version", it.version);
    f("control", it.control);
}

template <typename Visitor>
void visit_fields(Visitor&& f, status_response& it)
{
    f("vm", it.vm);
    f("leader", it.leader);
    f("term", it.term);
    f("commit_index", it.commit_index);
    f("version", it.version);
    f("everywhere", it.everywhere);
    f("uncommitted_withdrawals", it.uncommitted_withdrawals);
    f("ledger_records", it.ledger_records);
    f("vms", it.vms);
    f("lacking", it.lacking);
}

template <typename Visitor>
void visit_fields(Visitor&& f, drain_response& it)
{
    f("vm", it.vm);
    f("running", it.running);
}

template <typename Visitor>
void visit_fields(Visitor&& f, entry_vm& it)
{
    f("id", it.id);
    f("address", it.address);
    f("region", it.region);
    f("data_center", it.data_center);
}

template <typename Visitor>
void visit_fields(Visitor&& f, entry_vm_list& it)
{
    f("lifetime_seconds", it.lifetime_seconds);
    f("vms", it.vms);
}

template <typename Visitor>
void visit_fields(Visitor&& f, admin_error& it)
{
    f("message", it.message);
    f.optional("details", it.details);
}

} // namespace hyssoploft::resource

#endif
