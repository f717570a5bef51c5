// References between resources, in the configuration that a batch would make.

#include <LibCore/text.hpp>
#include <LibResource/validation.hpp>

#include <map>
#include <set>
#include <utility>

namespace hyssoploft::resource {

namespace {

/// The configuration after the changes, without a copy of it.
class overlay
{
public:
    overlay(const configuration& base, const std::vector<change>& changes)
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

    const change* changed(const resource_id& id) const
    {
        const auto it = changed_.find(id);
        return it == changed_.end() ? nullptr : it->second;
    }

    bool exists(resource_kind kind, const std::string& name) const
    {
        const resource_id id{kind, name};
        if (const auto* it = changed(id); it != nullptr)
        {
            return it->value.has_value();
        }
        return base_.versions.contains(id);
    }

    /// Calls f for every resource of type T after the changes.
    template <typename T, typename F>
    void
    each(resource_kind kind, const std::map<std::string, T>& from, F f) const
    {
        for (const auto& [name, value] : from)
        {
            if (changed({kind, name}) == nullptr)
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
        const auto* it = changed({resource_kind::fleet, fleet_name});
        if (it == nullptr)
        {
            return base_.declared_fleet;
        }
        static const fleet none;
        return it->value ? std::get<fleet>(*it->value) : none;
    }

    /// True if a resource was deleted or the fleet changed, so that resources
    /// which are not in the batch can have lost what they refer to.
    bool takes_away() const
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
    explicit reference_checker(const overlay& after) : after_(after)
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
            region(id_of(it), "home_region", it.home_region);
        }
    }

    void check(const key& it)
    {
        refer(id_of(it), "account", resource_kind::account, it.account);
    }

    void check(const rate& it)
    {
        refer(id_of(it), "name", resource_kind::account, it.account);
    }

    void check(const route& it)
    {
        refer(
            id_of(it), "upstream_role", resource_kind::upstream_role,
            it.upstream_role);
        if (!it.residency.empty())
        {
            refer(
                id_of(it), "residency", resource_kind::residency, it.residency);
        }
    }

    void check(const residency& it)
    {
        for (const auto& name : it.regions)
        {
            region(id_of(it), "regions", name);
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
        after_.each(resource_kind::account, base.accounts, each);
        after_.each(resource_kind::key, base.keys, each);
        after_.each(resource_kind::rate, base.rates, each);
        after_.each(resource_kind::route, base.routes, each);
        after_.each(resource_kind::residency, base.residencies, each);
    }

    /// Two routes with one model or prefix would make the choice ambiguous.
    void check_route_matches()
    {
        std::map<std::pair<std::string, std::string>, std::string> seen;
        after_.each(
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

    /// A key's digest never changes, is of one key only, and a withdrawal is
    /// final.
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
        const bool taken =
            owner != base.key_digests.end() && owner->second != it.name;
        if (taken || !digests_.insert(it.digest).second)
        {
            add(id, "digest", "another key has the same digest");
        }
    }

    /// VMs that lag use the floors of the fleet before the change. Floors
    /// stay within the rate only if the VMs before and after it fit together
    /// into the slots before it, and no slot becomes larger.
    void check_fleet_change()
    {
        const resource_id id{resource_kind::fleet, fleet_name};
        const fleet& before = after_.base().declared_fleet;
        const fleet& now = after_.declared_fleet();
        if (before.floor_slots == 0 || now.vms.size() > now.floor_slots)
        {
            return; // The first fleet, or a finding on its value.
        }
        if (now.floor_slots < before.floor_slots)
        {
            add(id, "floor_slots",
                core::concat(
                    "can't fall below ", before.floor_slots,
                    ": VMs that lag or were removed may still use the others"));
        }
        const std::size_t added = added_vms(before, now);
        const std::size_t free = before.floor_slots - before.vms.size();
        if (added > free)
        {
            add(id, "vms",
                core::concat(
                    added, " VMs are added, but ", free,
                    " slots are free before this change; first remove VMs or "
                    "raise floor_slots in a change of its own"));
        }
        check_floors_of_added(added);
    }

    /// A VM that is added starts with the floors in force, while the others
    /// still hold leases of the part that the larger floors take away.
    void check_floors_of_added(std::size_t added)
    {
        after_.each(
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

    std::vector<problem> take()
    {
        return std::move(found_);
    }

private:
    static std::size_t added_vms(const fleet& before, const fleet& now)
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
        found_.push_back({std::move(id), std::move(field), std::move(message)});
    }

    void refer(
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

    void
    region(const resource_id& from, const char* field, const std::string& name)
    {
        if (!regions_.contains(name))
        {
            add(from, field,
                core::concat("the fleet has no VM in region '", name, "'"));
        }
    }

    const overlay& after_;
    std::set<std::string> regions_; // Of the fleet after the changes.
    std::set<std::string> digests_; // Of the keys in the batch.
    std::vector<problem> found_;
};

} // namespace

std::vector<problem>
check_references(const configuration& base, const std::vector<change>& changes)
{
    const overlay after(base, changes);
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
    if (after.takes_away())
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
    return checker.take();
}

std::vector<problem>
check_changes(const configuration& base, const std::vector<change>& changes)
{
    std::vector<problem> found;
    std::set<resource_id> seen;
    bool matching = true;
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
            matching = false;
            continue;
        }
        auto more = check_values(*it.value);
        found.insert(found.end(), more.begin(), more.end());
    }
    // References between duplicate or wrongly named resources say nothing.
    if (matching && seen.size() == changes.size())
    {
        auto more = check_references(base, changes);
        found.insert(found.end(), more.begin(), more.end());
    }
    return found;
}

} // namespace hyssoploft::resource
