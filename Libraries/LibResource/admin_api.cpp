// Converts requests and responses of the admin API to and from JSON.

#include <LibResource/admin_api.hpp>

#include <LibCore/findings.hpp>
#include <LibCore/text.hpp>
#include <LibResource/admin_fields.hpp>
#include <LibResource/resource_json.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <optional>
#include <set>
#include <type_traits>
#include <utility>

namespace hyssoploft::resource {

namespace json = boost::json;

namespace {

inline constexpr const auto& names_for(resource_kind /*tag*/)
{
    return resource_kind_names;
}

inline constexpr const auto& names_for(apply_outcome /*tag*/)
{
    return apply_outcome_names;
}

template <typename T>
inline constexpr bool is_scalar =
    std::is_arithmetic_v<T> || std::is_same_v<T, std::string>;

/// Writes {"set": resource}, or {"delete": identifier} without a value.
json::object
write_update(const resource_id& id, const std::optional<resource_value>& value)
{
    json::object to;
    if (value)
    {
        to["set"] = to_json(*value);
        return to;
    }
    to["delete"] = json::object{
        {"kind", std::string(core::name_of(resource_kind_names, id.kind))},
        {"name", id.name}};
    return to;
}

class field_writer
{
public:
    explicit field_writer(json::object& to) : to_(to) {}

    template <typename T>
    void operator()(const char* name, const T& it)
    {
        to_[name] = write(it);
    }

    template <typename T>
    void optional(const char* name, const T& it)
    {
        (*this)(name, it);
    }

    void optional(const char* name, const std::optional<resource_value>& it)
    {
        if (it)
        {
            to_[name] = to_json(*it);
        }
    }

private:
    template <typename T>
    static json::value write(const T& it)
    {
        if constexpr (std::is_enum_v<T>)
        {
            return json::value(std::string(core::name_of(names_for(it), it)));
        }
        else if constexpr (is_scalar<T>)
        {
            return json::value(it);
        }
        else
        {
            json::object object;
            T copy = it; // visit_fields() takes a mutable reference.
            visit_fields(field_writer(object), copy);
            return object;
        }
    }

    static json::value write(const change& it)
    {
        auto object = write_update(it.id, it.value);
        if (it.expected_version)
        {
            object["expected_version"] = *it.expected_version;
        }
        return object;
    }

    static json::value write(const resource_update& it)
    {
        return write_update(it.id, it.value);
    }

    static json::value write(const listed_resource& it)
    {
        auto object = to_json(it.value);
        object["version"] = it.version;
        return object;
    }

    template <typename T>
    static json::value write(const std::vector<T>& it)
    {
        json::array list;
        for (const auto& item : it)
        {
            list.push_back(write(item));
        }
        return list;
    }

    json::object& to_;
};

class field_reader
{
public:
    field_reader(
        const json::object& from, std::string path, core::findings& found)
        : from_(from), path_(std::move(path)), found_(found)
    {}

    template <typename T>
    void operator()(const char* name, T& to)
    {
        if (!optional(name, to))
        {
            add(path_ + name, "is missing");
        }
    }

    /// False if the field is left out.
    template <typename T>
    bool optional(const char* name, T& to)
    {
        known_fields_.insert(name);
        const auto* it = from_.if_contains(name);
        if (it != nullptr)
        {
            read(*it, path_ + name, to);
        }
        return it != nullptr;
    }

    void report_unknown()
    {
        for (const auto& it : from_)
        {
            if (!known_fields_.contains(std::string(it.key())))
            {
                add(path_ + std::string(it.key()), "is unknown");
            }
        }
    }

private:
    void add(const std::string& path, std::string message)
    {
        found_.add({"", 0, path}, std::move(message));
    }

    template <typename T>
    void read(const json::value& from, const std::string& path, T& to)
    {
        if constexpr (std::is_same_v<T, bool>)
        {
            assign_or_report(from.if_bool(), path, to, "must be true or false");
        }
        else if constexpr (std::is_same_v<T, std::string>)
        {
            assign_or_report(from.if_string(), path, to, "must be a text");
        }
        else if constexpr (std::is_arithmetic_v<T>)
        {
            boost::system::error_code ec;
            const auto n = from.to_number<T>(ec);
            assign_or_report(
                ec ? nullptr : &n, path, to, "must be a number in range");
        }
        else if constexpr (std::is_enum_v<T>)
        {
            const auto* text = from.if_string();
            const auto it =
                text == nullptr
                    ? std::nullopt
                    : core::value_of(
                          names_for(to),
                          std::string_view(text->data(), text->size()));
            assign_or_report(it ? &*it : nullptr, path, to, "is unknown");
        }
        else if (const auto* object = as_object(from, path))
        {
            field_reader in(*object, path + ".", found_);
            visit_fields(in, to);
            in.report_unknown();
        }
    }

    template <typename From, typename T>
    void assign_or_report(
        const From* from, const std::string& path, T& to, const char* rule)
    {
        if (from == nullptr)
        {
            add(path, rule);
            return;
        }
        to = T(*from);
    }

    const json::object*
    as_object(const json::value& from, const std::string& path)
    {
        const auto* it = from.if_object();
        if (it == nullptr)
        {
            add(path, "must be an object");
        }
        return it;
    }

    void read(
        const json::value& from, const std::string& path,
        std::optional<resource_value>& to)
    {
        to = resource_from_json(from, path, found_);
    }

    void read_update(
        field_reader& in, const std::string& path, resource_id& id,
        std::optional<resource_value>& value)
    {
        const bool sets = in.optional("set", value);
        const bool deletes = in.optional("delete", id);
        if (sets == deletes)
        {
            add(path, "must have either set or delete");
        }
        if (sets && value)
        {
            id = id_of(*value);
        }
    }

    void read(const json::value& from, const std::string& path, change& to)
    {
        if (const auto* object = as_object(from, path))
        {
            field_reader in(*object, path + ".", found_);
            read_update(in, path, to.id, to.value);
            std::uint64_t expected = 0;
            if (in.optional("expected_version", expected))
            {
                to.expected_version = expected;
            }
            in.report_unknown();
        }
    }

    void
    read(const json::value& from, const std::string& path, resource_update& to)
    {
        if (const auto* object = as_object(from, path))
        {
            field_reader in(*object, path + ".", found_);
            read_update(in, path, to.id, to.value);
            in.report_unknown();
        }
    }

    void read(const json::value& from, const std::string& path, resource_id& to)
    {
        if (const auto* object = as_object(from, path))
        {
            field_reader in(*object, path + ".", found_);
            in("kind", to.kind);
            in("name", to.name);
            in.report_unknown();
        }
    }

    void
    read(const json::value& from, const std::string& path, listed_resource& to)
    {
        if (auto value = resource_from_json(from, path, found_))
        {
            to.value = *std::move(value);
            field_reader in(from.as_object(), path + ".", found_);
            in("version", to.version);
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
        for (std::size_t n = 0; n < list->size(); ++n)
        {
            if (found_.is_full())
            {
                found_.leave_out(list->size() - n);
                return;
            }
            T item{};
            read((*list)[n], core::concat(path, "[", n, "]"), item);
            to.push_back(std::move(item));
        }
    }

    const json::object& from_;
    std::string path_; // Prefix of the fields' paths.
    core::findings& found_;
    std::set<std::string> known_fields_;
};

template <typename T>
std::string serialize_fields(const T& it)
{
    json::object object;
    T copy = it;
    visit_fields(field_writer(object), copy);
    return json::serialize(object);
}

} // namespace

unsigned http_status(apply_outcome it)
{
    switch (it)
    {
    case apply_outcome::applied:
    case apply_outcome::unchanged:
        return 200;
    case apply_outcome::conflict:
    case apply_outcome::request_id_reuse:
        return 409;
    case apply_outcome::refused:
        return 422;
    case apply_outcome::malformed:
        break;
    }
    return 400;
}

std::string to_json_text(const apply_request& it)
{
    return serialize_fields(it);
}

std::string to_json_text(const apply_result& it)
{
    return serialize_fields(it);
}

std::string to_json_text(const withdraw_request& it)
{
    return serialize_fields(it);
}

std::string to_json_text(const withdraw_response& it)
{
    return serialize_fields(it);
}

std::string to_json_text(const resource_list& it)
{
    return serialize_fields(it);
}

std::string to_json_text(const watch_response& it)
{
    return serialize_fields(it);
}

std::string to_json_text(const status_response& it)
{
    return serialize_fields(it);
}

std::string to_json_text(const drain_response& it)
{
    return serialize_fields(it);
}

std::string to_json_text(const entry_vm_list& it)
{
    return serialize_fields(it);
}

std::string to_json_text(const admin_error& it)
{
    return serialize_fields(it);
}

template <typename T>
absl::StatusOr<T> from_json_text(std::string_view text)
{
    boost::system::error_code ec;
    const auto value = json::parse({text.data(), text.size()}, ec);
    if (ec)
    {
        return absl::InvalidArgumentError(
            core::concat("not JSON: ", ec.message()));
    }
    const auto* object = value.if_object();
    if (object == nullptr)
    {
        return absl::InvalidArgumentError("must be an object");
    }
    core::findings found;
    T it;
    field_reader in(*object, "", found);
    visit_fields(in, it);
    in.report_unknown();
    if (!found.empty())
    {
        return found.to_status();
    }
    return it;
}

template absl::StatusOr<apply_request>
    from_json_text<apply_request>(std::string_view);
template absl::StatusOr<apply_result>
    from_json_text<apply_result>(std::string_view);
template absl::StatusOr<withdraw_request>
    from_json_text<withdraw_request>(std::string_view);
template absl::StatusOr<withdraw_response>
    from_json_text<withdraw_response>(std::string_view);
template absl::StatusOr<resource_list>
    from_json_text<resource_list>(std::string_view);
template absl::StatusOr<watch_response>
    from_json_text<watch_response>(std::string_view);
template absl::StatusOr<status_response>
    from_json_text<status_response>(std::string_view);
template absl::StatusOr<drain_response>
    from_json_text<drain_response>(std::string_view);
template absl::StatusOr<entry_vm_list>
    from_json_text<entry_vm_list>(std::string_view);
template absl::StatusOr<admin_error>
    from_json_text<admin_error>(std::string_view);

} // namespace hyssoploft::resource
