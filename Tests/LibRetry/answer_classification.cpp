// Guards against reporting a call as not run that may have run.

#include <LibRetry/answer_classification.hpp>

#include <Support/seeded_property.hpp>

#include <doctest.h>

using namespace hyssoploft;
using namespace hyssoploft::retry;

namespace {

struct fault_case
{
    const char* name;
    call_observation observation;
    failure_kind kind;
    run_state state;
    bool upstream_at_fault;
};

constexpr auto whole = transport_end::whole;

const fault_case fault_cases[] = {
    {"connection refused",
     {transport_end::refused, 0},
     failure_kind::connect_failed,
     run_state::not_run,
     true},
    {"reset before any byte was sent",
     {transport_end::reset, 0},
     failure_kind::reset_before_answer,
     run_state::not_run,
     true},
    {"reset after bytes were sent",
     {transport_end::reset, 1},
     failure_kind::reset_before_answer,
     run_state::may_have_run,
     true},
    {"reset in the stream",
     {transport_end::reset, 900, 200, true, true, true, false},
     failure_kind::reset_in_stream,
     run_state::may_have_run,
     true},
    {"timeout while connecting",
     {transport_end::timeout, 0},
     failure_kind::timeout,
     run_state::not_run,
     true},
    {"timeout after bytes were sent",
     {transport_end::timeout, 900},
     failure_kind::timeout,
     run_state::may_have_run,
     true},
    {"429 without a statement",
     {whole, 900, 429},
     failure_kind::upstream_overloaded,
     run_state::may_have_run,
     false},
    {"429 that says not run",
     {whole, 900, 429, true, true, true, true, run_statement::not_run},
     failure_kind::upstream_overloaded,
     run_state::not_run,
     false},
    {"503 without a statement",
     {whole, 900, 503},
     failure_kind::upstream_overloaded,
     run_state::may_have_run,
     false},
    {"503 that says not run",
     {whole, 900, 503, true, true, true, true, run_statement::not_run},
     failure_kind::upstream_overloaded,
     run_state::not_run,
     false},
    {"503 that says unknown",
     {whole, 900, 503, true, true, true, true, run_statement::unknown},
     failure_kind::upstream_overloaded,
     run_state::may_have_run,
     false},
    {"500",
     {whole, 900, 500},
     failure_kind::upstream_error,
     run_state::may_have_run,
     true},
    {"500 that says not run",
     {whole, 900, 500, true, true, true, true, run_statement::not_run},
     failure_kind::upstream_error,
     run_state::may_have_run,
     true},
    {"504",
     {whole, 900, 504},
     failure_kind::upstream_error,
     run_state::may_have_run,
     true},
    {"malformed answer",
     {whole, 900, 200, false},
     failure_kind::bad_answer,
     run_state::may_have_run,
     true},
    {"malformed 503 that says not run",
     {whole, 900, 503, false, true, true, true, run_statement::not_run},
     failure_kind::bad_answer,
     run_state::may_have_run,
     true},
    {"another call's answer",
     {whole, 900, 200, true, false},
     failure_kind::bad_answer,
     run_state::may_have_run,
     true},
    {"another call's refusal",
     {whole, 900, 429, true, false, true, true, run_statement::not_run},
     failure_kind::bad_answer,
     run_state::may_have_run,
     true},
    {"stream without its end marker",
     {whole, 900, 200, true, true, true, false},
     failure_kind::bad_answer,
     run_state::may_have_run,
     true},
};

} // namespace

TEST_CASE("each failure is classified by kind and by whether it may have run")
{
    for (const fault_case& it : fault_cases)
    {
        CAPTURE(it.name);
        const auto failure = classify(it.observation);
        REQUIRE(failure.has_value());
        CHECK_EQ(failure->kind, it.kind);
        CHECK_EQ(failure->state, it.state);
        CHECK_EQ(failure->upstream_fault, it.upstream_at_fault);
    }
}

TEST_CASE("complete answers are not failures")
{
    for (const int status : {200, 201, 400, 404, 409, 422})
    {
        CAPTURE(status);
        CHECK_FALSE(classify({whole, 900, status}).has_value());
    }
}

TEST_CASE("not run needs no bytes sent or the upstream's own statement")
{
    CHECK(tests::holds(11, 2000, [] {
        call_observation it;
        it.end = *rc::gen::element(
            transport_end::whole, transport_end::refused, transport_end::reset,
            transport_end::timeout);
        it.bytes_sent = *rc::gen::element<std::uint64_t>(0, 1, 700);
        it.status = *rc::gen::element(0, 200, 404, 429, 500, 502, 503, 504);
        it.parsed = *rc::gen::arbitrary<bool>();
        it.identified = *rc::gen::arbitrary<bool>();
        it.body_started = *rc::gen::arbitrary<bool>();
        it.end_marker = *rc::gen::arbitrary<bool>();
        it.statement = *rc::gen::element(
            run_statement::absent, run_statement::not_run, run_statement::ran,
            run_statement::unknown);
        const auto failure = classify(it);
        if (failure && failure->state == run_state::not_run)
        {
            const bool nothing_sent =
                it.end != transport_end::whole && it.bytes_sent == 0;
            const bool stated = it.end == transport_end::whole && it.parsed &&
                                it.identified &&
                                it.statement == run_statement::not_run;
            RC_ASSERT(nothing_sent || stated);
        }
    }));
}
