// Counts the bytes of buffers by owner.

#include <LibCore/byte_budget.hpp>

#include <utility>

namespace hyssoploft::core {

bool byte_budget::take(const std::string& owner, std::size_t bytes)
{
    const auto found = by_owner_.find(owner);
    const auto held = found == by_owner_.end() ? 0 : found->second;
    if (bytes > limit_ - used_ || held + bytes > limit_per_owner_)
    {
        ++refused_;
        return false;
    }
    used_ += bytes;
    by_owner_[owner] += bytes;
    return true;
}

void byte_budget::give_back(const std::string& owner, std::size_t bytes)
{
    const auto found = by_owner_.find(owner);
    used_ -= bytes;
    found->second -= bytes;
    if (found->second == 0)
    {
        by_owner_.erase(found);
    }
}

byte_reservation::byte_reservation(
    std::shared_ptr<byte_budget> budget, std::string owner)
    : budget_(std::move(budget)), owner_(std::move(owner))
{}

byte_reservation::~byte_reservation()
{
    release();
}

byte_reservation::byte_reservation(byte_reservation&& other) noexcept
    : budget_(std::move(other.budget_)), owner_(std::move(other.owner_)),
      charged_(std::exchange(other.charged_, 0))
{}

byte_reservation& byte_reservation::operator=(byte_reservation&& other) noexcept
{
    if (this != &other)
    {
        release();
        budget_ = std::move(other.budget_);
        owner_ = std::move(other.owner_);
        charged_ = std::exchange(other.charged_, 0);
    }
    return *this;
}

bool byte_reservation::resize(std::size_t bytes)
{
    if (!budget_)
    {
        return true;
    }
    const auto wanted =
        bytes > byte_budget::free_bytes ? bytes - byte_budget::free_bytes : 0;
    if (wanted > charged_)
    {
        if (!budget_->take(owner_, wanted - charged_))
        {
            return false;
        }
    }
    else if (wanted < charged_)
    {
        budget_->give_back(owner_, charged_ - wanted);
    }
    charged_ = wanted;
    return true;
}

void byte_reservation::release()
{
    if (budget_ && charged_ > 0)
    {
        budget_->give_back(owner_, std::exchange(charged_, 0));
    }
}

} // namespace hyssoploft::core
