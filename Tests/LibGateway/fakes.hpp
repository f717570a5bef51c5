#ifndef HYSSOPLOFT_TESTS_LIBGATEWAY_FAKES_HPP
#define HYSSOPLOFT_TESTS_LIBGATEWAY_FAKES_HPP

// Fakes of the interfaces that the gateway uses. They record every call, so
// that tests can check that each start is followed by exactly one end.

#include <LibAdmission/fifo_admission.hpp>
#include <LibGateway/control_view.hpp>
#include <LibLedger/ledger_client.hpp>
#include <LibRate/rate_limiter.hpp>
#include <LibRouting/round_robin_router.hpp>
#include <Support/monitor.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hyssoploft::tests {

class fake_control final : public gateway::control_view
{
public:
    explicit fake_control(monitor& state) : state_(state) {}

    std::shared_ptr<const resource::configuration>
    configuration() const override
    {
        return state_.with([this] {
            return configuration_;
        });
    }

    std::shared_ptr<const membership::fleet_view> fleet() const override
    {
        return state_.with([this] {
            return fleet_;
        });
    }

    bool is_withdrawn(const std::string& key_digest) const override
    {
        return state_.with([&] {
            return withdrawn.count(key_digest) > 0;
        });
    }

    void announce(membership::upstream_record record) override
    {
        state_.with([&] {
            announced.push_back(std::move(record));
        });
    }

    void report_load(
        const std::string& upstream, membership::load_report report) override
    {
        state_.with([&] {
            loads.emplace_back(upstream, report);
        });
    }

    void leave(
        const std::string& upstream, std::uint64_t, leave_handler done) override
    {
        done(state_.with([&] {
            left.push_back(upstream);
            return leave_result;
        }));
    }

    void set_overloaded(bool) override {}

    /// Publishes a copy of the configuration after `change` was applied.
    template <typename Change>
    void configure(Change change)
    {
        state_.with([&] {
            auto next =
                std::make_shared<resource::configuration>(*configuration_);
            ++next->version;
            change(*next);
            configuration_ = std::move(next);
        });
    }

    /// Publishes a copy of the fleet view after `change` was applied.
    template <typename Change>
    void change_fleet(Change change)
    {
        state_.with([&] {
            auto next = std::make_shared<membership::fleet_view>(*fleet_);
            change(*next);
            fleet_ = std::move(next);
        });
    }

    std::set<std::string> withdrawn;
    std::vector<membership::upstream_record> announced;
    std::vector<std::pair<std::string, membership::load_report>> loads;
    std::vector<std::string> left;
    absl::Status leave_result;

private:
    monitor& state_;
    std::shared_ptr<const resource::configuration> configuration_ =
        std::make_shared<resource::configuration>();
    std::shared_ptr<const membership::fleet_view> fleet_ =
        std::make_shared<membership::fleet_view>();
};

/// Returns scripted outcomes from begin() and records every call.
class fake_ledger final : public ledger::ledger_client
{
public:
    explicit fake_ledger(monitor& state) : state_(state) {}

    void
    begin(const ledger::begin_request& request, begin_handler done) override
    {
        auto [status, result] = state_.with([&] {
            begun.push_back(request);
            auto out = std::pair(begin_status, ledger::begin_result());
            out.second.outcome = outcome;
            if (next_outcome)
            {
                outcome = *next_outcome;
            }
            return out;
        });
        done(status, result);
    }

    void finish(
        const ledger::begin_request&, const ledger::stored_answer& answer,
        done_handler done) override
    {
        done(state_.with([&] {
            finished.push_back(answer);
            return finish_status;
        }));
    }

    void abandon(const ledger::begin_request& request) override
    {
        state_.with([&] {
            abandoned.push_back(request.attempt);
        });
    }

    void fetch_answer(
        const ledger::record_id&, const ledger::begin_result&,
        answer_handler done) override
    {
        const auto found = state_.with([this] {
            return stored;
        });
        done(
            found ? absl::OkStatus() : absl::NotFoundError("no holder"),
            found.value_or(ledger::stored_answer()));
    }

    ledger::begin_outcome outcome = ledger::begin_outcome::created;
    std::optional<ledger::begin_outcome> next_outcome; // For later calls.
    absl::Status begin_status;
    absl::Status finish_status;
    std::optional<ledger::stored_answer> stored;
    std::vector<ledger::begin_request> begun;
    std::vector<ledger::stored_answer> finished;
    std::vector<std::string> abandoned;

private:
    monitor& state_;
};

/// Calls that the router received, and its scripted refusal.
struct router_record
{
    struct end
    {
        std::string upstream;
        routing::call_result result;
    };

    std::optional<routing::no_route_reason> refuse; // Scripted.
    std::function<void()> on_choice;                // Called after each choice.
    std::vector<std::string> chosen;
    std::vector<std::string> first_tokens;
    std::vector<end> finished;
};

class recording_router final : public routing::router
{
public:
    recording_router(monitor& state, router_record& record)
        : state_(state), record_(record)
    {}

    void update(
        std::shared_ptr<const membership::fleet_view> fleet,
        std::shared_ptr<const resource::configuration> configuration,
        core::time_point now) override
    {
        inner_.update(std::move(fleet), std::move(configuration), now);
    }

    routing::routing_result choose(
        const routing::routing_request& request, core::time_point now) override
    {
        return state_.with([&] {
            routing::routing_result out;
            if (record_.refuse)
            {
                out.refusal = *record_.refuse;
                return out;
            }
            out = inner_.choose(request, now);
            if (out.chosen)
            {
                record_.chosen.push_back(out.decision.upstream);
            }
            if (record_.on_choice)
            {
                record_.on_choice();
            }
            return out;
        });
    }

    void record_first_token(
        const std::string& upstream, const routing::routing_request&,
        core::duration, core::time_point) override
    {
        state_.with([&] {
            record_.first_tokens.push_back(upstream);
        });
    }

    void record_result(
        const std::string& upstream, const routing::routing_request& request,
        const routing::call_result& result, core::time_point now) override
    {
        state_.with([&] {
            record_.finished.push_back({upstream, result});
            inner_.record_result(upstream, request, result, now);
        });
    }

    void apply_cache_event(
        const std::string&, std::uint64_t, const std::vector<std::uint64_t>&,
        const std::vector<std::uint64_t>&, core::time_point) override
    {}

private:
    monitor& state_;
    router_record& record_;
    routing::round_robin_router inner_;
};

/// Calls that admission received, and its scripted behaviour.
struct admission_record
{
    std::optional<admission::refusal_reason> refuse; // Scripted.
    bool hold = false;                               // All requests wait.
    std::size_t submitted = 0;
    std::size_t cancelled = 0;
    std::map<std::uint64_t, int> running; // Number of finished() calls by id.
};

class recording_admission final : public admission::admission_controller
{
public:
    recording_admission(monitor& state, admission_record& record)
        : state_(state), record_(record)
    {}

    admission::admission_answer
    submit(const admission::waiting_request& request, core::time_point) override
    {
        return state_.with([&] {
            ++record_.submitted;
            admission::admission_answer out;
            if (record_.refuse)
            {
                out.verdict = admission::admission_verdict::refuse;
                out.reason = *record_.refuse;
            }
            else if (record_.hold)
            {
                out.verdict = admission::admission_verdict::wait;
                held_.push_back(request.id);
            }
            else
            {
                record_.running[request.id] = 0;
            }
            return out;
        });
    }

    void finished(std::uint64_t id, double, bool, core::time_point) override
    {
        state_.with([&] {
            ++record_.running[id];
        });
    }

    void cancel(std::uint64_t id) override
    {
        state_.with([&] {
            ++record_.cancelled;
            std::erase(held_, id);
        });
    }

    admission::admission_update poll(core::time_point) override
    {
        return state_.with([&] {
            admission::admission_update out;
            if (!record_.hold)
            {
                out.run = std::move(held_);
                held_.clear();
                for (const auto id : out.run)
                {
                    record_.running[id] = 0;
                }
            }
            return out;
        });
    }

    void set_capacity(std::uint32_t, core::time_point) override {}

    void shut_down() override
    {
        state_.with([&] {
            record_.refuse = admission::refusal_reason::shutting_down;
        });
    }

    std::size_t waiting() const override
    {
        return held_.size();
    }

    std::size_t running() const override
    {
        return record_.running.size();
    }

private:
    monitor& state_;
    admission_record& record_;
    std::vector<std::uint64_t> held_;
};

/// Grants according to `grant` and records settled tokens.
class fake_limiter final : public rate::rate_limiter
{
public:
    explicit fake_limiter(monitor& state) : state_(state) {}

    rate::reserve_result reserve(
        const std::string& account, double tokens, core::time_point) override
    {
        return state_.with([&] {
            rate::reserve_result out;
            out.granted = grant;
            out.taken = {account, tokens, 0};
            out.retry_after = std::chrono::seconds(2);
            reserved += grant ? 1 : 0;
            return out;
        });
    }

    void settle(
        const rate::reservation&, double used_tokens, core::time_point) override
    {
        state_.with([&] {
            settled.push_back(used_tokens);
        });
    }

    bool grant = true;
    std::size_t reserved = 0;
    std::vector<double> settled;

private:
    monitor& state_;
};

} // namespace hyssoploft::tests

#endif
