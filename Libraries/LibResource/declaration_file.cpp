// Parses YAML declarations by converting them to the JSON form, so that both
// formats share one set of rules. Line numbers are kept by field path for the
// findings.

#include <LibResource/declaration_file.hpp>

#include <LibCore/text.hpp>
#include <LibResource/resource_json.hpp>
#include <LibResource/validation.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace hyssoploft::resource {

namespace json = boost::json;

namespace {

// Deeper than any resource; protects the stack against malicious files.
constexpr int max_depth = 16;
// YAML aliases can expand a small file to a huge tree.
constexpr std::size_t max_nodes = 500'000;

int line_of(const YAML::Mark& it)
{
    return it.line < 0 ? 0 : it.line + 1;
}

/// A resource of the file: its JSON form and the lines of its fields.
struct declared_resource
{
    json::value json_form;
    int line = 0;
    std::map<std::string, int> field_lines; // By path below the resource.
};

class file_parser
{
public:
    file_parser(std::string file_name, core::findings& found)
        : file_(std::move(file_name)), found_(found)
    {}

    void add(int line, std::string field, std::string message)
    {
        found_.add({file_, line, std::move(field)}, std::move(message));
    }

    void leave_out(std::size_t n)
    {
        found_.leave_out(n);
    }

    /// The line of a field, or of the nearest part above it that has one.
    static int line_for(const declared_resource& from, std::string path)
    {
        while (!path.empty())
        {
            if (const auto it = from.field_lines.find(path);
                it != from.field_lines.end())
            {
                return it->second;
            }
            const auto cut = path.find_last_of(".[");
            path.resize(cut == std::string::npos ? 0 : cut);
        }
        return from.line;
    }

    std::vector<declared_resource> parse_documents(const std::string& text)
    {
        std::vector<declared_resource> all;
        for (const auto& document : YAML::LoadAll(text))
        {
            if (document.IsSequence())
            {
                for (const auto& it : document)
                {
                    all.push_back(convert_resource(it));
                }
            }
            else if (!document.IsNull())
            {
                all.push_back(convert_resource(document));
            }
        }
        return all;
    }

private:
    declared_resource convert_resource(const YAML::Node& from)
    {
        declared_resource it;
        it.line = line_of(from.Mark());
        it.json_form = convert_node(from, "", it, 0);
        return it;
    }

    json::value convert_node(
        const YAML::Node& from, const std::string& path, declared_resource& to,
        int depth)
    {
        to.field_lines.emplace(path, line_of(from.Mark()));
        if (depth > max_depth)
        {
            add(line_of(from.Mark()), path, "is nested too deeply");
            return nullptr;
        }
        if (++nodes_ > max_nodes)
        {
            throw YAML::Exception(from.Mark(), "too many values");
        }
        if (from.IsSequence())
        {
            json::array list;
            for (const auto& it : from)
            {
                const auto item = core::concat(path, "[", list.size(), "]");
                list.push_back(convert_node(it, item, to, depth + 1));
            }
            return list;
        }
        if (from.IsMap())
        {
            return convert_map(from, path, to, depth);
        }
        return from.IsScalar() ? convert_scalar(from) : json::value(nullptr);
    }

    json::object convert_map(
        const YAML::Node& from, const std::string& path, declared_resource& to,
        int depth)
    {
        json::object map;
        for (const auto& it : from)
        {
            if (!it.first.IsScalar())
            {
                add(line_of(it.first.Mark()), path,
                    "field name must be a text");
                continue;
            }
            const auto& name = it.first.Scalar();
            const auto field = path.empty() ? name : path + "." + name;
            if (map.contains(name))
            {
                add(line_of(it.first.Mark()), field, "appears twice");
                continue;
            }
            // Set before the value, because a list begins on a later line.
            to.field_lines.emplace(field, line_of(it.first.Mark()));
            map[name] = convert_node(it.second, field, to, depth + 1);
        }
        return map;
    }

    static json::value convert_scalar(const YAML::Node& from)
    {
        const auto& text = from.Scalar();
        // yaml-cpp tags quoted scalars with "!"; they are always texts.
        if (from.Tag() != "!")
        {
            if (text == "true" || text == "false")
            {
                return text == "true";
            }
            double number = 0;
            // from_chars() accepts "inf" and "nan", which are texts here.
            const bool numeric =
                text.find_first_not_of("0123456789+-.eE") == std::string::npos;
            const auto* end = text.data() + text.size();
            if (const auto [at, ec] = std::from_chars(text.data(), end, number);
                numeric && ec == std::errc() && at == end)
            {
                return number_value(text, number);
            }
        }
        return json::value(text);
    }

    static json::value number_value(const std::string& text, double number)
    {
        std::uint64_t whole = 0;
        const auto* end = text.data() + text.size();
        const auto [at, ec] = std::from_chars(text.data(), end, whole);
        if (ec == std::errc() && at == end)
        {
            return whole;
        }
        return number;
    }

    std::string file_;
    core::findings& found_;
    std::size_t nodes_ = 0; // Converted so far.
};

/// The identifier of the resource and the path of the field.
std::string field_path(const resource_id& id, const std::string& field)
{
    return core::concat(to_string(id), field.empty() ? "" : ".", field);
}

class declaration_reader
{
public:
    declaration_reader(const std::string& file_name, declaration_file& to)
        : parser_(file_name, to.found), to_(to)
    {}

    void read(const std::string& text, const configuration* base)
    {
        const auto all = parser_.parse_documents(text);
        for (const auto& it : all)
        {
            add(it);
        }
        std::vector<problem> problems;
        for (const auto& it : to_.changes)
        {
            const auto more = check_values(*it.value);
            problems.insert(problems.end(), more.begin(), more.end());
        }
        if (base != nullptr)
        {
            const auto more = check_references(*base, to_.changes);
            problems.insert(problems.end(), more.begin(), more.end());
        }
        report(problems);
    }

private:
    void add(const declared_resource& it)
    {
        core::findings found;
        auto value = resource_from_json(it.json_form, "", found);
        for (const auto& item : found.items())
        {
            parser_.add(
                file_parser::line_for(it, item.where.field), item.where.field,
                item.message);
        }
        parser_.leave_out(found.size() - found.items().size());
        if (!value)
        {
            return;
        }
        const auto id = id_of(*value);
        const auto [at, added] = lines_.emplace(id, &it);
        if (!added)
        {
            parser_.add(
                it.line, to_string(id),
                core::concat("is declared in line ", at->second->line));
            return;
        }
        to_.changes.push_back({id, std::move(value), {}});
    }

    void report(const std::vector<problem>& problems)
    {
        for (const auto& it : problems)
        {
            const auto at = lines_.find(it.id);
            // Changes can break references of resources that are not in the
            // file, such as to a region whose VMs the file's fleet leaves out.
            const int line = at == lines_.end()
                                 ? 0
                                 : file_parser::line_for(*at->second, it.field);
            parser_.add(line, field_path(it.id, it.field), it.message);
        }
    }

    file_parser parser_;
    declaration_file& to_;
    // Points into the list in read().
    std::map<resource_id, const declared_resource*> lines_;
};

} // namespace

declaration_file parse_declarations(
    const std::string& text, const std::string& file_name,
    const configuration* base)
{
    declaration_file it;
    if (text.size() > max_declaration_bytes)
    {
        it.found.add({file_name, 0, ""}, "is larger than 1 MiB");
        return it;
    }
    try
    {
        declaration_reader(file_name, it).read(text, base);
    }
    catch (const YAML::Exception& e)
    {
        it.found.add({file_name, line_of(e.mark), ""}, e.msg);
    }
    // Users correct a file from top to bottom.
    it.found.sort_by_line();
    if (!it.found.empty())
    {
        it.changes.clear();
    }
    return it;
}

} // namespace hyssoploft::resource
