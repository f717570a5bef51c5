#ifndef HYSSOPLOFT_TESTS_SUPPORT_MONITOR_HPP
#define HYSSOPLOFT_TESTS_SUPPORT_MONITOR_HPP

// Mutex and condition variable for the state of all fakes of a test, so that
// tests wait for a condition instead of sleeping.

#include <chrono>
#include <condition_variable>
#include <mutex>

namespace hyssoploft::tests {

class monitor
{
public:
    /// Runs `change` under the lock and notifies waiting tests.
    template <typename Change>
    auto with(Change change)
    {
        const std::lock_guard lock(mutex_);
        changed_.notify_all();
        return change();
    }

    /// True once `condition` holds; false if it does not within 30 s.
    template <typename Condition>
    bool wait(Condition condition)
    {
        std::unique_lock lock(mutex_);
        return changed_.wait_for(lock, std::chrono::seconds(30), condition);
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
};

} // namespace hyssoploft::tests

#endif
