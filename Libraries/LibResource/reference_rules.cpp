// Validates references between resources, in the configuration that would
// result from a batch.

#include <LibCore/text.hpp>
#include <LibResource/validation.hpp>

#include <map>
#include <set>
#include <utility>

namespace hyssoploft::resource {

namespace {

/// View of the configuration after the changes, without copying it.
class configuration_overlay
{
public:
    configuration_overlay(
        const configuration& base, const std::vector<change>& changes)
        : base_(base)
    {
        for (const auto& it : changes)
        {
            changed_[it.id] = &it;
        }
    }

    const configuration& base() const
    {
        return base_;
    }

    const change* find_change(const resource_id& id) const
    {
        const auto it = changed_.find(id);
        return it == changed_.end() ? nullptr : it->second;
    }

    bool exists(resource_kind kind, const std::string& name) const
    {
        const resource_id id{kind, name};
        if (const auto* it = find_change(id); it != nullptr)
        {
            return it->value.has_value();
        }
        return base_.versions.contains(id);
    }

    /// Calls f for every resource of type T after the changes.
    template <typename T, typename F>
    void for_each(
        resource_kind kind, const std::map<std::string, T>& from, F f) const
    {
        for (const auto& [name, value] : from)
        {
            if (find_change({kind, name}) == nullptr)
            {
                f(value);
            }
        }
        for (const auto& [id, it] : changed_)
        {
            if (it->value.has_value() && std::holds_alternative<T>(*it->value))
            {
                f(std::get<T>(*it->value));
            }
        }
    }

    const fleet& declared_fleet() const
    {
        const auto* it = find_change({resource_kind::fleet, fleet_name});
        if (it == nullptr)
        {
            return base_.declared_fleet;
        }
        static const fleet none;
        return it->value ? std::get<fleet>(*it->value) : none;
    }

    /// True if a resource is deleted or the fleet changes, which can break
    /// references of resources that are not in the batch.
    bool may_break_references() const
    {
        for (const auto& [id, it] : changed_)
        {
            if (!it->value || id.kind == resource_kind::fleet)
            {
                return true;
            }
        }
        return false;
    }

private:
    const configuration& base_;
    std::map<resource_id, const change*> changed_;
};

class reference_checker
{
public:
    explicit reference_checker(const configuration_overlay& after)
        : after_(after)
    {
        for (const auto& vm : after.declared_fleet().vms)
        {
            regions_.insert(vm.region);
        }
    }

    void check(const account& it)
    {
        if (!it.home_region.empty())
        {
            check_region(id_of(it), "home_region", it.home_region);
        }
    }

    void check(const key& it)
    {
        check_reference(
            id_of(it), "account", resource_kind::account, it.account);
    }

    void check(const rate& it)
    {
        check_reference(id_of(it), "name", resource_kind::account, it.account);
    }

    void check(const route& it)
    {
        check_reference(
            id_of(it), "upstream_role", resource_kind::upstream_role,
            it.upstream_role);
        if (!it.residency.empty())
        {
            check_reference(
                id_of(it), "residency", resource_kind::residency, it.residency);
        }
    }

    void check(const residency& it)
    {
        for (const auto& name : it.regions)
        {
            check_region(id_of(it), "regions", name);
        }
    }

    void check(const upstream_role& /*it*/) {}
    void check(const fleet& /*it*/) {}

    void check_all()
    {
        const auto& base = after_.base();
        const auto each = [this](const auto& it) {
            check(it);
        };
        after_.for_each(resource_kind::account, base.accounts, each);
        after_.for_each(resource_kind::key, base.keys, each);
        after_.for_each(resource_kind::rate, base.rates, each);
        after_.for_each(resource_kind::route, base.routes, each);
        after_.for_each(resource_kind::residency, base.residencies, each);
    }

    /// Two routes with the same model or prefix would be ambiguous.
    void check_route_matches()
    {
        std::map<std::pair<std::string, std::string>, std::string> seen;
        after_.for_each(
            resource_kind::route, after_.base().routes, [&](const route& it) {
                const auto [at, added] =
                    seen.try_emplace({it.model, it.path_prefix}, it.name);
                if (!added)
                {
                    add(id_of(it),
                        it.kind == route_kind::inference ? "model"
                                                         : "path_prefix",
                        core::concat(
                            "route '", at->second, "' matches the same calls"));
                }
            });
    }

    /// A key's digest is immutable and unique, and a withdrawal is final.
    void check_key(const key& it)
    {
        const auto id = resource_id{resource_kind::key, it.name};
        const auto& base = after_.base();
        const auto old = base.keys.find(it.name);
        if (old == base.keys.end())
        {
            if (base.withdrawn_digests.contains(it.digest))
            {
                add(id, "digest", "this key was withdrawn");
            }
        }
        else if (old->second.digest != it.digest)
        {
            add(id, "digest", "can't change; create another key");
        }
        else if (old->second.withdrawn && !it.withdrawn)
        {
            add(id, "withdrawn", "a withdrawal is final");
        }
        const auto owner = base.key_digests.find(it.digest);
        const bool is_taken =
            owner != base.key_digests.end() && owner->second != it.name;
        if (is_taken || !digests_.insert(it.digest).second)
        {
            add(id, "digest", "another key has the same digest");
        }
    }

    /// VMs that have not installed the change yet use the floors of the
    /// previous fleet. The sum of all floors stays within the rate only if the
    /// old and the new VMs together fit into the old slots, and no slot's
    /// floor grows.
    void check_fleet_change()
    {
        const resource_id id{resource_kind::fleet, fleet_name};
        const fleet& before = after_.base().declared_fleet;
        const fleet& now = after_.declared_fleet();
        if (before.floor_slots == 0 || now.vms.size() > now.floor_slots)
        {
            return; // The first fleet, or reported by check_values().
        }
        if (now.floor_slots < before.floor_slots)
        {
            add(id, "floor_slots",
                core::concat(
                    "can't fall below ", before.floor_slots,
                    ": VMs that lag or were removed may still use the others"));
        }
        const std::size_t added = count_added_vms(before, now);
        const std::size_t free_slots = before.floor_slots - before.vms.size();
        if (added > free_slots)
        {
            add(id, "vms",
                core::concat(
                    added, " VMs are added, but ", free_slots,
                    " slots are free before this change; first remove VMs or "
                    "raise floor_slots in a change of its own"));
        }
        check_floors_of_added_vms(added);
    }

    /// An added VM starts with the new floors, while other VMs still hold
    /// leases on the share by which these floors grow.
    void check_floors_of_added_vms(std::size_t added)
    {
        after_.for_each(
            resource_kind::rate, after_.base().rates, [&](const rate& it) {
                const auto old = after_.base().rates.find(it.account);
                if (added > 0 && old != after_.base().rates.end() &&
                    it.floor_fraction > old->second.floor_fraction)
                {
                    add(id_of(it), "floor_fraction",
                        "can't grow in a change that adds VMs");
                }
            });
    }

    std::vector<problem> take_problems()
    {
        return std::move(problems_);
    }

private:
    static std::size_t count_added_vms(const fleet& before, const fleet& now)
    {
        std::set<std::string> ids;
        for (const auto& it : now.vms)
        {
            ids.insert(it.id);
        }
        for (const auto& it : before.vms)
        {
            ids.erase(it.id);
        }
        return ids.size();
    }

    template <typename T>
    static resource_id id_of(const T& it)
    {
        return resource::id_of(resource_value(it));
    }

    void add(resource_id id, std::string field, std::string message)
    {
        problems_.push_back(
            {std::move(id), std::move(field), std::move(message)});
    }

    void check_reference(
        const resource_id& from, const char* field, resource_kind kind,
        const std::string& name)
    {
        if (!after_.exists(kind, name))
        {
            add(from, field,
                core::concat(
                    core::name_of(resource_kind_names, kind), " '", name,
                    "' does not exist"));
        }
    }

    void check_region(
        const resource_id& from, const char* field, const std::string& name)
    {
        if (!regions_.contains(name))
        {
            add(from, field,
                core::concat("the fleet has no VM in region '", name, "'"));
        }
    }

    const configuration_overlay& after_;
    std::set<std::string> regions_; // Of the fleet after the changes.
    std::set<std::string> digests_; // Of the keys in the batch.
    std::vector<problem> problems_;
};

} // namespace

std::vector<problem>
check_references(const configuration& base, const std::vector<change>& changes)
{
    const configuration_overlay after(base, changes);
    reference_checker checker(after);
    bool routes = false;
    bool fleet_changes = false;
    for (const auto& it : changes)
    {
        fleet_changes = fleet_changes || it.id.kind == resource_kind::fleet;
        if (!it.value)
        {
            continue;
        }
        routes = routes || it.id.kind == resource_kind::route;
        if (const auto* value = std::get_if<key>(&*it.value))
        {
            checker.check_key(*value);
        }
    }
    if (after.may_break_references())
    {
        checker.check_all();
    }
    else
    {
        for (const auto& it : changes)
        {
            std::visit(
                [&](const auto& v) {
                    checker.check(v);
                },
                *it.value);
        }
    }
    if (fleet_changes)
    {
        checker.check_fleet_change();
    }
    if (routes)
    {
        checker.check_route_matches();
    }
    return checker.take_problems();
}

std::vector<problem>
check_changes(const configuration& base, const std::vector<change>& changes)
{
    std::vector<problem> found;
    std::set<resource_id> seen;
    bool names_match = true;
    for (const auto& it : changes)
    {
        if (!seen.insert(it.id).second)
        {
            found.push_back({it.id, "", "appears twice"});
        }
        if (!it.value)
        {
            continue;
        }
        if (id_of(*it.value) != it.id)
        {
            found.push_back({it.id, "name", "differs from the value's name"});
            names_match = false;
            continue;
        }
        auto more = check_values(*it.value);
        found.insert(found.end(), more.begin(), more.end());
    }
    // Reference checks are meaningless for duplicate or misnamed resources.
    if (names_match && seen.size() == changes.size())
    {
        auto more = check_references(base, changes);
        found.insert(found.end(), more.begin(), more.end());
    }
    return found;
}

} // namespace hyssoploft::resource
