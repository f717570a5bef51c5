#ifndef HYSSOPLOFT_LIBLEDGER_LOG_CLOCK_HPP
#define HYSSOPLOFT_LIBLEDGER_LOG_CLOCK_HPP

// The leader's source of log time. It continues from the ledger's time at the
// election by the leader's monotonic clock. A wall clock set wrongly on one VM
// therefore can't make records expire early, which would let an order run
// again. Time without a leader does not count: records then live longer.

#include <LibCore/time.hpp>
#include <LibLedger/ledger_command.hpp>

namespace hyssoploft::ledger {

class log_clock
{
public:
    /// `ledger_time` is execution_ledger::time() after the leader has applied
    /// every entry of earlier terms; `now` is the time at that moment.
    log_clock(log_time ledger_time, core::time_point now)
        : base_(ledger_time), start_(now)
    {}

    log_time at(core::time_point now) const
    {
        if (now <= start_)
        {
            return base_;
        }
        return base_ +
               static_cast<log_time>(
                   std::chrono::duration_cast<std::chrono::milliseconds>(
                       now - start_)
                       .count());
    }

private:
    log_time base_;
    core::time_point start_;
};

} // namespace hyssoploft::ledger

#endif
