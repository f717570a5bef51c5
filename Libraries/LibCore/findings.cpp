// Formats collected findings.

#include <LibCore/findings.hpp>

#include <LibCore/text.hpp>

#include <absl/strings/str_join.h>

#include <algorithm>
#include <utility>

namespace hyssoploft::core {

namespace {

// Cuts a text that is too long, between two characters of UTF-8.
std::string shortened(std::string text)
{
    if (text.size() <= findings::max_text_bytes)
    {
        return text;
    }
    constexpr std::string_view mark = "...";
    auto end = findings::max_text_bytes - mark.size();
    const auto continues = [&text](std::size_t at) {
        return (static_cast<unsigned char>(text[at]) & 0xc0U) == 0x80U;
    };
    while (end > 0 && continues(end))
    {
        --end;
    }
    // A copy: resize() would keep the memory of the whole text.
    return concat(std::string_view(text).substr(0, end), mark);
}

} // namespace

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
    if (is_full())
    {
        leave_out(1);
        return;
    }
    where.field = shortened(std::move(where.field));
    items_.push_back({std::move(where), shortened(std::move(message))});
}

void findings::sort_by_line()
{
    std::stable_sort(
        items_.begin(), items_.end(), [](const finding& a, const finding& b) {
            return a.where.line < b.where.line;
        });
}

absl::Status findings::to_status() const
{
    if (empty())
    {
        return absl::OkStatus();
    }
    auto text =
        absl::StrJoin(items_, "\n", [](std::string* out, const finding& it) {
            out->append(to_string(it));
        });
    if (left_out_ > 0)
    {
        text += concat("\nand ", left_out_, " more, or entries not read");
    }
    return absl::InvalidArgumentError(text);
}

} // namespace hyssoploft::core
