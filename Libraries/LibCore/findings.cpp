// Formats collected findings.

#include <LibCore/findings.hpp>

#include <LibCore/text.hpp>

#include <absl/strings/str_join.h>

#include <utility>

namespace hyssoploft::core {

std::string to_string(const finding& it)
{
    std::string buf = it.where.file;
    if (it.where.line > 0)
    {
        buf += concat(":", it.where.line);
    }
    if (!buf.empty())
    {
        buf += ": ";
    }
    if (!it.where.field.empty())
    {
        buf += it.where.field + ": ";
    }
    return buf + it.message;
}

void findings::add(place where, std::string message)
{
    items_.push_back({std::move(where), std::move(message)});
}

absl::Status findings::to_status() const
{
    if (items_.empty())
    {
        return absl::OkStatus();
    }
    return absl::InvalidArgumentError(
        absl::StrJoin(items_, "\n", [](std::string* out, const finding& it) {
            out->append(to_string(it));
        }));
}

} // namespace hyssoploft::core
