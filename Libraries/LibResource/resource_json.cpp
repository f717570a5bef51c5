// Converts resources to and from JSON.

#include <LibResource/resource_json.hpp>

#include <LibCore/text.hpp>
#include <LibResource/duration_text.hpp>
#include <LibResource/resource_fields.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <set>
#include <type_traits>
#include <utility>
#include <vector>

namespace hyssoploft::resource {

namespace json = boost::json;

namespace {

template <typename T>
json::object fields_to_json(const T& it);

json::value value_to_json(const std::string& it)
{
    return json::value(it);
}

json::value value_to_json(bool it)
{
    return it;
}

json::value value_to_json(double it)
{
    return it;
}

json::value value_to_json(std::uint32_t it)
{
    return std::uint64_t{it};
}

json::value value_to_json(core::duration it)
{
    return json::value(format_duration(it));
}

json::value value_to_json(const std::set<std::string>& it)
{
    json::array list;
    for (const auto& text : it)
    {
        list.emplace_back(text);
    }
    return list;
}

template <typename T>
json::value value_to_json(const std::vector<T>& it)
{
    json::array list;
    for (const auto& item : it)
    {
        list.emplace_back(fields_to_json(item));
    }
    return list;
}

template <typename T>
requires std::is_enum_v<T> json::value value_to_json(T it)
{
    const auto name = core::name_of(names_of(it), it);
    return json::value(std::string(name));
}

template <typename T>
void add_fields(json::object& to, const T& it)
{
    T copy = it; // visit_fields() takes a mutable reference.
    visit_fields(
        [&to](const char* name, const auto& member) {
            to[name] = value_to_json(member);
        },
        copy);
}

template <typename T>
json::object fields_to_json(const T& it)
{
    json::object to;
    add_fields(to, it);
    return to;
}

class json_reader
{
public:
    explicit json_reader(core::findings& found) : found_(found) {}

    template <typename T>
    void read_fields(const json::object& from, const std::string& path, T& to)
    {
        std::set<std::string> known_fields{"kind", "name"};
        if (!std::is_same_v<T, declared_vm> && !std::is_same_v<T, region_link>)
        {
            known_fields.insert("version"); // Included in listings.
        }
        visit_fields(
            [&](const char* name, auto& member) {
                known_fields.insert(name);
                if (const auto* value = from.if_contains(name))
                {
                    read(*value, path + name, member);
                }
            },
            to);
        for (const auto& it : from)
        {
            const std::string name(it.key());
            if (!known_fields.contains(name))
            {
                add(path + name, "is unknown");
            }
        }
    }

    void add(const std::string& path, std::string message)
    {
        found_.add({"", 0, path}, std::move(message));
    }

    /// True, with the rest of the list counted, once findings are only
    /// counted.
    bool stop_reading(const json::array& list, std::size_t at)
    {
        if (found_.is_full())
        {
            found_.leave_out(list.size() - at);
        }
        return found_.is_full();
    }

    void read(const json::value& from, const std::string& path, std::string& to)
    {
        if (const auto* it = from.if_string())
        {
            to = std::string(*it);
            return;
        }
        add(path, "must be a text");
    }

private:
    void read(const json::value& from, const std::string& path, bool& to)
    {
        if (const auto* it = from.if_bool())
        {
            to = *it;
            return;
        }
        add(path, "must be true or false");
    }

    void read(const json::value& from, const std::string& path, double& to)
    {
        if (from.is_number())
        {
            to = from.to_number<double>();
            return;
        }
        add(path, "must be a number");
    }

    void
    read(const json::value& from, const std::string& path, std::uint32_t& to)
    {
        boost::system::error_code ec;
        const auto n = from.to_number<std::uint32_t>(ec);
        if (!ec)
        {
            to = n;
            return;
        }
        add(path, "must be a whole number from 0 to 4294967295");
    }

    void
    read(const json::value& from, const std::string& path, core::duration& to)
    {
        const auto* text = from.if_string();
        const auto it = text == nullptr
                            ? std::nullopt
                            : parse_duration({text->data(), text->size()});
        if (it)
        {
            to = *it;
            return;
        }
        add(path, "must be a duration such as \"30s\"");
    }

    template <typename T>
    requires std::is_enum_v<T>
    void read(const json::value& from, const std::string& path, T& to)
    {
        std::string name;
        if (const auto* it = from.if_string())
        {
            name = std::string(*it);
        }
        if (const auto it = core::value_of(names_of(T{}), name))
        {
            to = *it;
            return;
        }
        std::string choices;
        for (const auto& it : names_of(T{}))
        {
            choices += core::concat(choices.empty() ? "" : ", ", it.name);
        }
        add(path, "must be one of " + choices);
    }

    void read(
        const json::value& from, const std::string& path,
        std::set<std::string>& to)
    {
        const auto* list = from.if_array();
        if (list == nullptr)
        {
            add(path, "must be a list");
            return;
        }
        to.clear();
        for (std::size_t n = 0; n < list->size(); ++n)
        {
            if (stop_reading(*list, n))
            {
                return;
            }
            const auto item_path = core::concat(path, "[", n, "]");
            std::string item;
            read((*list)[n], item_path, item);
            if (!to.insert(item).second)
            {
                add(item_path, "is duplicate");
            }
        }
    }

    template <typename T>
    void
    read(const json::value& from, const std::string& path, std::vector<T>& to)
    {
        const auto* list = from.if_array();
        if (list == nullptr)
        {
            add(path, "must be a list");
            return;
        }
        to.clear();
        for (std::size_t n = 0; n < list->size(); ++n)
        {
            if (stop_reading(*list, n))
            {
                return;
            }
            const auto item_path = core::concat(path, "[", n, "]");
            T item;
            if (const auto* object = (*list)[n].if_object())
            {
                read_fields(*object, item_path + ".", item);
            }
            else
            {
                add(item_path, "must be a map");
            }
            to.push_back(std::move(item));
        }
    }

    core::findings& found_;
};

} // namespace

json::object to_json(const resource_value& it)
{
    const auto id = id_of(it);
    json::object to;
    to["kind"] = std::string(core::name_of(resource_kind_names, id.kind));
    to["name"] = id.name;
    std::visit(
        [&to](const auto& v) {
            add_fields(to, v);
        },
        it);
    return to;
}

std::optional<resource_value> resource_from_json(
    const json::value& from, const std::string& path, core::findings& found)
{
    json_reader in(found);
    const auto before = found.size();
    const auto* object = from.if_object();
    if (object == nullptr)
    {
        in.add(path, "must be a map");
        return std::nullopt;
    }
    const auto prefix = path.empty() ? "" : path + ".";
    std::string kind_name;
    if (const auto* it = object->if_contains("kind"))
    {
        in.read(*it, prefix + "kind", kind_name);
    }
    const auto kind = core::value_of(resource_kind_names, kind_name);
    if (!kind)
    {
        in.add(prefix + "kind", "is missing or unknown");
        return std::nullopt;
    }
    resource_id id{*kind, ""};
    if (const auto* it = object->if_contains("name"))
    {
        in.read(*it, prefix + "name", id.name);
    }
    if (*kind == resource_kind::fleet && !id.name.empty() &&
        id.name != fleet_name)
    {
        in.add(prefix + "name", "must be \"fleet\" or left out");
    }
    auto value = make_resource(id);
    std::visit(
        [&](auto& v) {
            in.read_fields(*object, prefix, v);
        },
        value);
    if (found.size() != before)
    {
        return std::nullopt;
    }
    return value;
}

} // namespace hyssoploft::resource
