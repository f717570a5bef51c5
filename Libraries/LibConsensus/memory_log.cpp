// Access to the entries of the log by index.

#include <LibConsensus/memory_log.hpp>

#include <glog/logging.h>

namespace hyssoploft::consensus {

std::optional<std::uint64_t> memory_log::term_at(std::uint64_t index) const
{
    if (index == base_.index)
    {
        return base_.term;
    }
    if (index < base_.index || index > last().index)
    {
        return std::nullopt;
    }
    return at(index).position.term;
}

const log_entry& memory_log::at(std::uint64_t index) const
{
    CHECK_GT(index, base_.index);
    CHECK_LE(index, last().index);
    return entries_[index - base_.index - 1];
}

void memory_log::append(log_entry it)
{
    CHECK_EQ(it.position.index, last().index + 1);
    CHECK_GE(it.position.term, last().term);
    entries_.push_back(std::move(it));
}

void memory_log::truncate(std::uint64_t index)
{
    CHECK_GT(index, base_.index);
    while (last().index >= index && !entries_.empty())
    {
        entries_.pop_back();
    }
}

void memory_log::compact(log_position last)
{
    CHECK(term_at(last.index) == last.term);
    while (!entries_.empty() && entries_.front().position.index <= last.index)
    {
        entries_.pop_front();
    }
    base_ = last;
}

void memory_log::reset(log_position last)
{
    entries_.clear();
    base_ = last;
}

std::vector<log_entry>
memory_log::slice(std::uint64_t index, std::size_t max_bytes) const
{
    std::vector<log_entry> found;
    std::size_t bytes = 0;
    for (; index <= last().index; ++index)
    {
        const log_entry& it = at(index);
        if (!found.empty() && bytes + it.size() > max_bytes)
        {
            break;
        }
        bytes += it.size();
        found.push_back(it);
    }
    return found;
}

std::size_t memory_log::bytes_after(std::uint64_t index) const
{
    std::size_t bytes = 0;
    for (std::uint64_t i = std::max(index, base_.index) + 1; i <= last().index;
         ++i)
    {
        bytes += at(i).size();
    }
    return bytes;
}

} // namespace hyssoploft::consensus
