// Decides which requests get memory and which connections give way.

#include <LibCore/memory_account.hpp>

#include <utility>

namespace hyssoploft::core {

account_entry::account_entry(
    std::shared_ptr<memory_account> account, std::function<void()> give_way,
    time_point now)
    : account_(std::move(account)), give_way_(std::move(give_way)), since_(now)
{
    place_ = account_->entries_.insert(account_->entries_.end(), this);
}

account_entry::~account_entry()
{
    set_waiting(false);
    account_->used_ -= held_;
    if (!is_closed_)
    {
        account_->entries_.erase(place_);
    }
}

void account_entry::set_phase(connection_phase it, time_point now)
{
    phase_ = it;
    since_ = now;
}

void account_entry::set_waiting(bool waits)
{
    if (waits != waits_)
    {
        waits_ = waits;
        account_->waiting_ += waits ? 1 : std::size_t(-1);
    }
}

void account_entry::stop_waiting()
{
    set_waiting(false);
    ++account_->refused_;
}

reservation_result
account_entry::reserve(std::size_t bytes, bool can_wait, time_point now)
{
    auto& account = *account_;
    if (is_closed_)
    {
        return reservation_result::refused;
    }
    if (bytes <= held_)
    {
        account.used_ -= held_ - bytes;
        held_ = bytes;
        return reservation_result::granted;
    }
    const bool large = bytes > memory_account::small_bytes;
    const auto limit =
        account.limits_.bytes - (large ? account.limits_.small_part : 0);
    const auto others = [&] {
        return account.used_ - held_;
    };
    // One request alone is always granted.
    while (others() > 0 && others() + bytes > limit)
    {
        auto* oldest = account.oldest_unfinished(*this, true);
        if (!oldest && !large)
        {
            oldest = account.oldest_unfinished(*this, false);
        }
        const bool may_wait =
            large && can_wait &&
            (!oldest || now - oldest->held_since_ < memory_account::patience);
        if (may_wait &&
            (waits_ || account.waiting_ < memory_account::max_waiting))
        {
            set_waiting(true);
            return reservation_result::wait;
        }
        if (!oldest || may_wait)
        {
            set_waiting(false);
            ++account.refused_;
            return reservation_result::refused;
        }
        account.close(*oldest);
    }
    set_waiting(false);
    account.used_ += bytes - held_;
    held_ = bytes;
    held_since_ = now;
    return reservation_result::granted;
}

bool memory_account::make_room_for_connection(time_point now)
{
    while (entries_.size() >= limits_.connections)
    {
        auto* oldest = oldest_closable(now);
        if (!oldest)
        {
            ++refused_;
            return false;
        }
        close(*oldest);
    }
    return true;
}

account_entry*
memory_account::oldest_unfinished(const account_entry& wants, bool large)
{
    account_entry* out = nullptr;
    for (auto* it : entries_)
    {
        const bool may_give_way = it != &wants &&
                                  it->phase_ == connection_phase::reading &&
                                  it->held_ > (large ? small_bytes : 0);
        if (may_give_way && (!out || it->held_since_ < out->held_since_))
        {
            out = it;
        }
    }
    return out;
}

account_entry* memory_account::oldest_closable(time_point now)
{
    account_entry* out = nullptr;
    for (auto* it : entries_)
    {
        const bool may_give_way = it->phase_ == connection_phase::idle ||
                                  it->phase_ == connection_phase::reading ||
                                  (it->phase_ == connection_phase::writing &&
                                   now - it->since_ >= patience);
        if (may_give_way && (!out || it->since_ < out->since_))
        {
            out = it;
        }
    }
    return out;
}

void memory_account::close(account_entry& it)
{
    ++closed_;
    used_ -= std::exchange(it.held_, 0);
    it.set_waiting(false);
    it.is_closed_ = true;
    entries_.erase(it.place_);
    // NOTE: Last, since it may end the connection.
    const auto give_way = it.give_way_;
    give_way();
}

} // namespace hyssoploft::core
