#ifndef HYSSOPLOFT_LIBADMISSION_FAIR_ADMISSION_HPP
#define HYSSOPLOFT_LIBADMISSION_FAIR_ADMISSION_HPP

// Admission control by fair queueing in tokens. Interactive work has priority;
// while batch work waits, it gets at least batch_share of the tokens.

#include <LibAdmission/admission.hpp>
#include <LibAdmission/fair_queue.hpp>

#include <set>
#include <unordered_map>

namespace hyssoploft::admission {

struct admission_settings
{
    std::size_t max_waiting_per_account = 256;
    std::size_t max_waiting = 4096;
    double batch_share = 0.15; ///< Of the tokens of started requests; 0 to 0.9.
    /// Refuses a request at once if it is expected to miss its deadline,
    /// instead of only when it is too late to start it.
    bool refuse_early = true;
};

/// Tokens per second of one running call, averaged over calls that ended with
/// exponentially decaying weights.
class service_rate
{
public:
    void add_sample(double tokens, core::duration run_time);

    /// 0 until the first call has ended.
    double tokens_per_second() const
    {
        return seconds_ > 0 ? tokens_ / seconds_ : 0.0;
    }

private:
    // Both sums decay, so that their ratio follows changes.
    double tokens_ = 0;
    double seconds_ = 0;
};

class fair_admission final : public admission_controller
{
public:
    explicit fair_admission(admission_settings settings = {});

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
        return start_deadlines_.size();
    }

    std::size_t running() const override
    {
        return running_.size();
    }

    /// Estimated wait of `request` if it were submitted now.
    core::duration expected_wait(const waiting_request& request) const;

private:
    struct running_call
    {
        waiting_request request;
        core::time_point started_at;
    };

    fair_queue& queue_of(const waiting_request& request)
    {
        return request.interactive ? interactive_ : batch_;
    }

    const fair_queue& queue_of(const waiting_request& request) const
    {
        return request.interactive ? interactive_ : batch_;
    }

    void start(const waiting_request& request, core::time_point now);
    bool is_batch_next() const;

    admission_settings settings_; // Never changes.
    fair_queue interactive_;
    fair_queue batch_;
    // Tokens of batch work that may start before interactive work; 0 while no
    // batch work waits.
    double batch_credit_ = 0;
    // Latest time to start and identifier of each waiting request.
    std::set<std::pair<core::time_point, std::uint64_t>> start_deadlines_;
    std::unordered_map<std::uint64_t, waiting_request> waiting_;
    std::unordered_map<std::uint64_t, running_call> running_;
    service_rate service_rate_;
    std::uint32_t capacity_ = 0;
    bool shutting_down_ = false;
};

} // namespace hyssoploft::admission

#endif
