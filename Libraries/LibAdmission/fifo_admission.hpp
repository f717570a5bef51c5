#ifndef HYSSOPLOFT_LIBADMISSION_FIFO_ADMISSION_HPP
#define HYSSOPLOFT_LIBADMISSION_FIFO_ADMISSION_HPP

// Baseline for comparison: one bounded queue in order of arrival that ignores
// account, priority and expected wait.

#include <LibAdmission/admission.hpp>

#include <deque>
#include <unordered_set>

namespace hyssoploft::admission {

class fifo_admission final : public admission_controller
{
public:
    explicit fifo_admission(std::size_t max_waiting = 4096)
        : max_waiting_(max_waiting)
    {}

    admission_answer
    submit(const waiting_request& request, core::time_point now) override;
    void finished(
        std::uint64_t id, double tokens, bool overloaded,
        core::time_point now) override;
    void cancel(std::uint64_t id) override;
    admission_update poll(core::time_point now) override;
    void set_capacity(std::uint32_t calls, core::time_point now) override;
    void shut_down() override;

    std::size_t waiting() const override
    {
        return queue_.size();
    }

    std::size_t running() const override
    {
        return running_.size();
    }

private:
    std::size_t max_waiting_;           // Never changes.
    std::deque<waiting_request> queue_; // At most max_waiting_.
    std::unordered_set<std::uint64_t> running_;
    std::uint32_t capacity_ = 0;
    bool shutting_down_ = false;
};

} // namespace hyssoploft::admission

#endif
