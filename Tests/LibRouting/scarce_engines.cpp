// Simulated regions with too little room: which calls are served, and whether
// the engines share the work. The shares that are required are those that
// callers need.

#include "engine_fleet_model.hpp"

#include <doctest.h>

#include <array>

using namespace hyssoploft;
using test::model_options;
using test::model_result;
using namespace std::chrono_literals;

namespace {

using call = model_result::call;

constexpr std::size_t questions = 0;
constexpr std::size_t drafts = 1;

/// Short urgent questions and long drafts that may wait three times as long.
std::vector<test::model_workload> questions_and_drafts(double draft_share)
{
    test::model_workload question;
    question.share = 1 - draft_share;
    question.shared_tokens = 568;
    question.shared_prefixes = 4000;
    question.own_tokens = 1800;
    question.own_sigma = 1.0;
    question.max_own_tokens = 6870;
    question.events = 2;
    question.latency_target = 500ms;
    question.deadline = 3s;
    test::model_workload draft;
    draft.share = draft_share;
    draft.shared_tokens = 5382;
    draft.shared_prefixes = 1000;
    draft.own_tokens = 6610;
    draft.own_sigma = 1.0;
    draft.max_own_tokens = 54'600;
    draft.events = 38;
    draft.latency_target = 1500ms;
    draft.deadline = 12s;
    draft.urgency = 2;
    return {question, draft};
}

model_options
one_region(double calls_per_second, double draft_share, std::uint64_t seed)
{
    model_options out;
    out.regions = {{"only", 30, 30, calls_per_second}};
    out.workloads = questions_and_drafts(draft_share);
    out.length = 5s;
    out.seed = seed;
    return out;
}

} // namespace

// Guards against VMs that all take the engine with the least reported load, so
// that its queue grows to a second before any of them sees it.
TEST_CASE("VMs that see each other's calls late spread them over the engines")
{
    for (const std::uint64_t seed : {21U, 22U, 23U})
    {
        CAPTURE(seed);
        // About two thirds of what the engines can read.
        const auto result = test::run_engine_fleet(one_region(850, 0, seed));
        const auto on_time = result.share(questions, &call::on_time);
        MESSAGE("on time ", on_time, ", shared parts missed ", result.missed());
        CHECK(on_time >= 0.9);
    }
}

// Guards against less urgent calls that fill the queues of engines up to a
// length at which urgent calls are refused.
TEST_CASE("urgent calls are served first where there is room for half")
{
    constexpr std::array<std::uint64_t, 3> seeds{31, 32, 33};
    double urgent = 0;
    double on_time = 0;
    double other = 0;
    double largest = 0; // Tenth of the less urgent ones.
    for (const auto seed : seeds)
    {
        const auto result =
            test::run_engine_fleet(one_region(1400, 0.15, seed));
        urgent += result.share(questions, &call::served) / seeds.size();
        on_time += result.share(questions, &call::on_time) / seeds.size();
        other += result.share(drafts, &call::served) / seeds.size();
        largest +=
            result.share_of_largest_tenth(drafts, &call::served) / seeds.size();
    }
    MESSAGE(
        "urgent ", urgent, ", on time ", on_time, ", less urgent ", other,
        ", largest tenth of these ", largest);
    CHECK(urgent >= other);
    CHECK(on_time >= 0.5);
    // Nobody starves.
    CHECK(other >= 0.25 * urgent);
    CHECK(largest >= 0.5 * other);
}
