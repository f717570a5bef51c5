// Metrics and their Prometheus text.

#include <LibTelemetry/metrics.hpp>

#include <LibCore/text.hpp>

// NOTE: extended_p_square_quantile.hpp of Boost 1.81 needs <sstream> first.
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>

namespace hyssoploft::telemetry {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> probabilities{0.5, 0.95, 0.99};

using accumulator = acc::accumulator_set<
    double,
    acc::stats<
        acc::tag::count, acc::tag::sum, acc::tag::extended_p_square_quantile>>;

std::string label_text(const labels& by)
{
    std::string buf;
    for (const auto& [name, value] : by)
    {
        buf += core::concat(buf.empty() ? "" : ",", name, "=\"", value, "\"");
    }
    return buf;
}

std::string series_name(
    const std::pair<std::string, std::string>& it, std::string_view extra = "")
{
    std::string inner = it.second;
    if (!extra.empty())
    {
        inner += core::concat(inner.empty() ? "" : ",", extra);
    }
    return inner.empty() ? it.first : core::concat(it.first, "{", inner, "}");
}

template <typename Metric, typename Map>
Metric& find_or_add(
    Map& map, std::mutex& mutex, std::string_view name, const labels& by)
{
    const std::lock_guard lock(mutex);
    auto& slot = map[{std::string(name), label_text(by)}];
    if (!slot)
    {
        slot = std::make_unique<Metric>();
    }
    return *slot;
}

// Writes the type line once for each name.
class type_lines
{
public:
    void write(std::string& out, const std::string& name, std::string_view type)
    {
        if (name != last_)
        {
            out += core::concat("# TYPE ", name, " ", type, "\n");
            last_ = name;
        }
    }

private:
    std::string last_;
};

} // namespace

struct distribution::state
{
    mutable std::mutex mutex;
    accumulator values{acc::extended_p_square_probabilities = probabilities};
};

distribution::distribution() : state_(std::make_unique<state>()) {}

distribution::~distribution() = default;

void distribution::record(double value)
{
    const std::lock_guard lock(state_->mutex);
    state_->values(value);
}

std::uint64_t distribution::count() const
{
    const std::lock_guard lock(state_->mutex);
    return acc::count(state_->values);
}

double distribution::sum() const
{
    const std::lock_guard lock(state_->mutex);
    return acc::sum(state_->values);
}

double distribution::quantile(double probability) const
{
    const std::lock_guard lock(state_->mutex);
    if (acc::count(state_->values) == 0)
    {
        return 0;
    }
    return acc::quantile(
        state_->values, acc::quantile_probability = probability);
}

counter& metrics::get_counter(std::string_view name, const labels& by)
{
    return find_or_add<counter>(counters_, mutex_, name, by);
}

gauge& metrics::get_gauge(std::string_view name, const labels& by)
{
    return find_or_add<gauge>(gauges_, mutex_, name, by);
}

distribution& metrics::get_distribution(std::string_view name, const labels& by)
{
    return find_or_add<distribution>(distributions_, mutex_, name, by);
}

std::string metrics::to_text() const
{
    const std::lock_guard lock(mutex_);
    std::string out;
    type_lines types;
    for (const auto& [key, it] : counters_)
    {
        types.write(out, key.first, "counter");
        out += core::concat(series_name(key), " ", it->value(), "\n");
    }
    for (const auto& [key, it] : gauges_)
    {
        types.write(out, key.first, "gauge");
        out += core::concat(series_name(key), " ", it->value(), "\n");
    }
    for (const auto& [key, it] : distributions_)
    {
        types.write(out, key.first, "summary");
        for (const double p : probabilities)
        {
            const auto extra = core::concat("quantile=\"", p, "\"");
            out += core::concat(
                series_name(key, extra), " ", it->quantile(p), "\n");
        }
        const series sum{key.first + "_sum", key.second};
        const series count{key.first + "_count", key.second};
        out += core::concat(series_name(sum), " ", it->sum(), "\n");
        out += core::concat(series_name(count), " ", it->count(), "\n");
    }
    return out;
}

} // namespace hyssoploft::telemetry
