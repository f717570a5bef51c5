#ifndef HYSSOPLOFT_LIBTELEMETRY_METRICS_HPP
#define HYSSOPLOFT_LIBTELEMETRY_METRICS_HPP

// Counters, gauges and distributions of one process, and their text in the
// Prometheus exposition format 0.0.4. Label values never come from requests:
// a caller could otherwise create any number of series.

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hyssoploft::telemetry {

using labels = std::vector<std::pair<std::string, std::string>>;

/// A number that only increases. Thread safe.
class counter
{
public:
    void add(std::uint64_t n = 1)
    {
        value_.fetch_add(n, std::memory_order_relaxed);
    }

    std::uint64_t value() const
    {
        return value_.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> value_{0};
};

/// A number that is set. Thread safe.
class gauge
{
public:
    void set(double value)
    {
        value_.store(value, std::memory_order_relaxed);
    }

    double value() const
    {
        return value_.load(std::memory_order_relaxed);
    }

private:
    std::atomic<double> value_{0};
};

/// Count, sum and estimated quantiles (0.5, 0.95, 0.99) of a value, by
/// Boost.Accumulators' extended P-square algorithm. Thread safe.
class distribution
{
public:
    distribution();
    ~distribution();
    distribution(const distribution&) = delete;
    distribution& operator=(const distribution&) = delete;

    void record(double value);

    std::uint64_t count() const;
    double sum() const;

    /// Estimate for one of the three probabilities; 0 without values.
    double quantile(double probability) const;

private:
    struct state;
    std::unique_ptr<state> state_; // Guarded by its own mutex.
};

/// Owns all metrics of a process. References stay valid as long as it lives.
class metrics
{
public:
    /// The same name and labels give the same metric.
    counter& get_counter(std::string_view name, const labels& by = {});
    gauge& get_gauge(std::string_view name, const labels& by = {});
    distribution&
    get_distribution(std::string_view name, const labels& by = {});

    /// Prometheus text, sorted by name.
    std::string to_text() const;

private:
    using series = std::pair<std::string, std::string>; // Name, label text.

    mutable std::mutex mutex_; // Guards the maps, not the metrics in them.
    std::map<series, std::unique_ptr<counter>> counters_;
    std::map<series, std::unique_ptr<gauge>> gauges_;
    std::map<series, std::unique_ptr<distribution>> distributions_;
};

} // namespace hyssoploft::telemetry

#endif
