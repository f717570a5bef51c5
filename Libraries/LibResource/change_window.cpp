// Keeps the newest encoded changes, bounded in number and in bytes.

#include <LibResource/change_window.hpp>

#include <utility>

namespace hyssoploft::resource {

void change_window::reset(std::uint64_t version)
{
    last_version_ = version;
    bytes_ = 0;
    events_.clear();
}

void change_window::push(std::string event)
{
    ++last_version_;
    bytes_ += event.size();
    events_.push_back(std::move(event));
    while (events_.size() > max_window_changes || bytes_ > max_window_bytes)
    {
        bytes_ -= events_.front().size();
        events_.pop_front();
    }
}

absl::StatusOr<std::vector<std::string>>
change_window::changes_since(std::uint64_t version, std::size_t max_bytes) const
{
    if (version > last_version_ || last_version_ - version > events_.size())
    {
        return absl::OutOfRangeError("list again");
    }
    std::vector<std::string> found;
    std::size_t bytes = 0;
    for (auto n = events_.size() - (last_version_ - version);
         n < events_.size(); ++n)
    {
        bytes += events_[n].size();
        if (!found.empty() && bytes > max_bytes)
        {
            break;
        }
        found.push_back(events_[n]);
    }
    return found;
}

} // namespace hyssoploft::resource
