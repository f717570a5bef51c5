// Sums up the calls of a run.

#include <Load/report.hpp>

#include <algorithm>
#include <utility>

namespace hyssoploft::load {

namespace json = boost::json;

namespace {

json::object quantiles(const std::vector<double>& values)
{
    return {
        {"count", values.size()},
        {"p50", quantile(values, 0.5)},
        {"p95", quantile(values, 0.95)},
        {"p99", quantile(values, 0.99)}};
}

bool is_order(const arrival& it)
{
    return it.kind == call_kind::order;
}

// A call without an answer counts as this late in the accounts' figures, so
// that a refusal never improves them.
constexpr double unanswered_seconds = 20;

} // namespace

double quantile(std::vector<double> values, double q)
{
    if (values.empty())
    {
        return 0;
    }
    const auto n =
        static_cast<std::size_t>(q * (static_cast<double>(values.size()) - 1));
    std::nth_element(
        values.begin(), values.begin() + static_cast<std::ptrdiff_t>(n),
        values.end());
    return values[n];
}

void report::add(const arrival& call, call_record record)
{
    entries_.push_back({call, std::move(record)});
}

json::object
report::summary(double prefilled_tokens, double refused_by_engines) const
{
    std::vector<double> interactive, batch, orders, gaps;
    double answered = 0, remote = 0, link_bytes = 0, completed = 0;
    double unjust = 0, within = 0, prompt = 0;
    for (const auto& [call, it] : entries_)
    {
        completed += it.completed ? 1 : 0;
        within += it.within_rate ? 1 : 0;
        unjust += it.end == "rate_exceeded" && it.within_rate ? 1 : 0;
        if (it.first_token > 0)
        {
            auto& list = is_order(call)                   ? orders
                         : call.kind == call_kind::review ? batch
                                                          : interactive;
            list.push_back(it.first_token);
        }
        gaps.insert(gaps.end(), it.gaps.begin(), it.gaps.end());
        if (it.ran_in.empty())
        {
            continue;
        }
        prompt += call.prompt_tokens;
        ++answered;
        if (it.ran_in != regions[call.region])
        {
            ++remote;
            link_bytes += static_cast<double>(it.bytes);
        }
    }
    const double all =
        std::max<double>(1, static_cast<double>(entries_.size()));
    json::object by_account = accounts();
    double worst_p95 = 0, least_completed = 1;
    for (const auto& [name, it] : by_account)
    {
        if (std::string_view(name.data(), name.size()) ==
            account_names[flooding])
        {
            continue;
        }
        const auto& o = it.as_object();
        worst_p95 = std::max(worst_p95, o.at("p95").as_double());
        least_completed =
            std::min(least_completed, o.at("completed_share").as_double());
    }
    return {
        {"calls", entries_.size()},
        {"interactive_first", quantiles(interactive)},
        {"batch_first", quantiles(batch)},
        {"order", quantiles(orders)},
        {"token_gap", quantiles(gaps)},
        {"remote_share", remote / std::max(1.0, answered)},
        {"link_bytes", link_bytes},
        {"prefilled_tokens", prefilled_tokens},
        {"prefilled_share", prefilled_tokens / std::max(1.0, prompt)},
        {"refused_by_engines", refused_by_engines},
        {"not_completed_share", 1 - completed / all},
        {"refused_within_rate_share", unjust / std::max(1.0, within)},
        {"worst_account_p95", worst_p95},
        {"worst_account_completed_share", least_completed},
        {"ends", ends()},
        {"accounts", std::move(by_account)}};
}

json::object report::accounts() const
{
    json::object out;
    for (std::size_t n = 0; n < account_names.size(); ++n)
    {
        std::vector<double> waits;
        double calls = 0, completed = 0;
        for (const auto& [call, it] : entries_)
        {
            if (call.account != n)
            {
                continue;
            }
            ++calls;
            completed += it.completed ? 1 : 0;
            waits.push_back(
                it.first_token > 0 ? it.first_token : unanswered_seconds);
        }
        auto row = quantiles(waits);
        row["completed_share"] = completed / std::max(1.0, calls);
        out[json::string_view(
            account_names[n].data(), account_names[n].size())] = std::move(row);
    }
    return out;
}

json::object report::ends() const
{
    std::map<std::string, std::uint64_t> counts;
    for (const auto& [call, it] : entries_)
    {
        ++counts[it.completed ? "completed" : it.end];
    }
    json::object out;
    for (const auto& [name, count] : counts)
    {
        out[name] = count;
    }
    return out;
}

} // namespace hyssoploft::load
