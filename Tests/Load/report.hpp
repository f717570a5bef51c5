#ifndef HYSSOPLOFT_TESTS_LOAD_REPORT_HPP
#define HYSSOPLOFT_TESTS_LOAD_REPORT_HPP

// Collects what became of each call and sums it up as JSON.

#include <Load/workload.hpp>

#include <boost/json/object.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hyssoploft::load {

struct call_record
{
    bool completed = false;
    /// Reason of the last refusal, "connection", "timeout" or "cut_stream";
    /// empty when completed.
    std::string end;
    bool within_rate = true;  ///< The account had credit when it was sent.
    double first_token = 0;   ///< Seconds from the arrival; 0: none came.
    std::vector<double> gaps; ///< Seconds between tokens.
    std::string ran_in;       ///< Region of the engine; empty: unknown.
    std::uint64_t bytes = 0;  ///< Of the request and the answer.
    std::uint32_t tries = 0;
};

class report
{
public:
    void add(const arrival& call, call_record record);

    /// All measures; `prefilled_tokens` is the engines' sum.
    boost::json::object
    summary(double prefilled_tokens, double refused_by_engines) const;

private:
    struct entry
    {
        arrival call;
        call_record record;
    };

    boost::json::object accounts() const;
    boost::json::object ends() const;

    std::vector<entry> entries_;
};

/// The value below which the part `q` of the values lies; 0 for none.
double quantile(std::vector<double> values, double q);

} // namespace hyssoploft::load

#endif
