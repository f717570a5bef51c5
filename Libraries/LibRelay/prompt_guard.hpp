#ifndef HYSSOPLOFT_LIBRELAY_PROMPT_GUARD_HPP
#define HYSSOPLOFT_LIBRELAY_PROMPT_GUARD_HPP

// Decides whether a prompt may be sent to an engine, by the parts under which
// engines crashed, and observes which parts are answered.
//
// Only shared parts count: the last part of a prompt belongs to its request, so
// that it can't bring down more than the engines of one request.
//
// Not thread safe: one traffic thread owns it. Does no I/O and reads no clock.

#include <LibCore/enum_table.hpp>
#include <LibCore/time.hpp>
#include <LibFleet/traffic_view.hpp>
#include <LibGateway/refusal.hpp>
#include <LibRouting/prompt_cache.hpp>

#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hyssoploft::relay {

enum class prompt_verdict : std::uint8_t
{
    allowed,
    trial, ///< Allowed if it is announced by start_trial().
    quarantined
};

inline constexpr core::enum_table<prompt_verdict, 3> prompt_verdict_names{
    {{prompt_verdict::allowed, "allowed"},
     {prompt_verdict::trial, "trial"},
     {prompt_verdict::quarantined, "quarantined"}}};

struct prompt_decision
{
    prompt_verdict verdict = prompt_verdict::allowed;
    std::uint64_t part = 0;       ///< Unless allowed: a quarantined part.
    core::duration retry_after{}; ///< If quarantined.
};

/// The refusal of a prompt that is quarantined.
gateway::refusal refuse_prompt(const prompt_decision& it);

class prompt_guard
{
public:
    prompt_decision check(
        const fleet::traffic_view& view,
        const std::vector<routing::prompt_part>& parts,
        core::time_point now) const;

    /// A request with quarantined parts is sent. The next trial of these parts
    /// by this VM comes after trial_interval.
    void start_trial(
        const fleet::traffic_view& view,
        const std::vector<routing::prompt_part>& parts, core::time_point now);

    /// Whether an engine crashed under one of the parts lately. Such a request
    /// is not sent to a second engine by the fleet.
    bool is_suspect(
        const fleet::traffic_view& view,
        const std::vector<routing::prompt_part>& parts,
        core::time_point now) const;

    /// An engine generated more than one event, or a whole answer.
    void record_answer(
        const fleet::traffic_view& view,
        const std::vector<routing::prompt_part>& parts, core::time_point now,
        fleet::suspect_sink& sink);

    /// An engine broke off before that.
    void record_crash(
        const std::string& upstream, std::uint64_t incarnation,
        const std::vector<routing::prompt_part>& parts, core::time_point now,
        fleet::suspect_sink& sink) const;

    /// Reports what this VM knows of parts that others suspect. Call several
    /// times a second.
    void report_answers(
        const fleet::traffic_view& view, core::time_point now,
        fleet::suspect_sink& sink);

    /// Time between two trials of a part. Longer than an engine takes to be
    /// back after a crash. The number of VMs that may make trials doubles after
    /// each, as the first ones may have no caller with the part.
    static constexpr core::duration trial_interval = std::chrono::seconds(10);
    /// Age up to which a crash keeps a request from being repeated.
    static constexpr core::duration suspect_time = std::chrono::seconds(60);
    /// Parts that are remembered as answered; more than one VM sees within
    /// crash_suspects::answer_lifetime.
    static constexpr std::size_t max_answered_parts = 4096;

private:
    struct answered_part
    {
        std::uint64_t id = 0;
        core::time_point at{};
    };

    void remember(std::uint64_t part, core::time_point now);
    bool was_answered(std::uint64_t part, core::time_point now) const;

    std::list<answered_part> lru_; // Newest first.
    std::unordered_map<std::uint64_t, std::list<answered_part>::iterator>
        answered_;
    std::unordered_map<std::uint64_t, core::time_point> last_trials_;
    /// The snapshot that report_answers() has compared.
    std::shared_ptr<const fleet::suspect_parts> reported_;
};

} // namespace hyssoploft::relay

#endif
