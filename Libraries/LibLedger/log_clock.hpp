#ifndef HYSSOPLOFT_LIBLEDGER_LOG_CLOCK_HPP
#define HYSSOPLOFT_LIBLEDGER_LOG_CLOCK_HPP

// Log time on the leader: the ledger's time at the election, advanced by the
// leader's monotonic clock. A wrong wall clock on one VM therefore can't make
// records expire early, which would let an order run again. Time without a
// leader does not count, so records then live longer.

#include <LibCore/time.hpp>
#include <LibLedger/ledger_command.hpp>

namespace hyssoploft::ledger {

class log_clock
{
public:
    /// `ledger_time` is execution_ledger::time() once the leader has applied
    /// all entries of earlier terms; `now` is the local time at that point.
    log_clock(log_time ledger_time, core::time_point now)
        : start_log_time_(ledger_time), start_(now)
    {}

    log_time at(core::time_point now) const
    {
        if (now <= start_)
        {
            return start_log_time_;
        }
        return start_log_time_ +
               static_cast<log_time>(
                   std::chrono::duration_cast<std::chrono::milliseconds>(
                       now - start_)
                       .count());
    }

private:
    log_time start_log_time_;
    core::time_point start_;
};

} // namespace hyssoploft::ledger

#endif
