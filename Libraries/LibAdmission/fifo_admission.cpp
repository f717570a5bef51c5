// Admission in order of arrival.

#include <LibAdmission/fifo_admission.hpp>

#include <algorithm>

namespace hyssoploft::admission {

namespace {

constexpr core::duration retry_delay = std::chrono::seconds(1);

} // namespace

admission_answer
fifo_admission::submit(const waiting_request& request, core::time_point now)
{
    const auto refuse = [](refusal_reason reason) {
        return admission_answer{admission_verdict::refuse, reason, retry_delay};
    };
    if (shutting_down_)
    {
        return refuse(refusal_reason::shutting_down);
    }
    if (now + request.expected_run > request.deadline)
    {
        return refuse(refusal_reason::deadline_too_near);
    }
    if (queue_.empty() && running_.size() < capacity_)
    {
        running_.insert(request.id);
        return {};
    }
    if (queue_.size() >= max_waiting_)
    {
        return refuse(refusal_reason::queue_full);
    }
    queue_.push_back(request);
    return {admission_verdict::wait, {}, {}};
}

void fifo_admission::finished(std::uint64_t id, double, bool, core::time_point)
{
    running_.erase(id);
}

void fifo_admission::cancel(std::uint64_t id)
{
    std::erase_if(queue_, [&](const auto& it) {
        return it.id == id;
    });
}

admission_update fifo_admission::poll(core::time_point now)
{
    admission_update update;
    std::erase_if(queue_, [&](const waiting_request& it) {
        const bool is_late = now + it.expected_run > it.deadline;
        if (is_late)
        {
            update.refused.push_back(it.id);
        }
        return is_late;
    });
    while (!queue_.empty() && running_.size() < capacity_)
    {
        running_.insert(queue_.front().id);
        update.run.push_back(queue_.front().id);
        queue_.pop_front();
    }
    return update;
}

void fifo_admission::set_capacity(std::uint32_t calls, core::time_point)
{
    capacity_ = calls;
}

void fifo_admission::shut_down()
{
    shutting_down_ = true;
}

} // namespace hyssoploft::admission
