#ifndef HYSSOPLOFT_LIBFLEET_CRASH_SUSPECTS_HPP
#define HYSSOPLOFT_LIBFLEET_CRASH_SUSPECTS_HPP

// Prompt parts under which upstreams crashed. A part that several upstreams
// crashed under, and that no answer was generated for meanwhile, is
// quarantined, so that it does not bring down one upstream after the other.
//
// Each VM has a table and sends its rows to others. Rows are sets of
// observations with their ages, so that merging them in any order, and more
// than once, gives the same table. Does no I/O and reads no clock.

#include <LibCore/time.hpp>

#include <cereal/types/vector.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hyssoploft::fleet {

struct crash_row
{
    std::uint64_t upstream = 0; ///< hash_upstream() of the one that crashed.
    std::uint32_t age_ms = 0;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(upstream, age_ms);
    }
};

struct suspect_row
{
    std::uint64_t part = 0;
    std::vector<crash_row> crashes;
    bool has_answer = false;
    std::uint32_t answer_age_ms = 0; ///< Valid with `has_answer`.

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(part, crashes, has_answer, answer_age_ms);
    }
};

/// Message with rows of the sender's table.
struct suspect_notice
{
    std::vector<suspect_row> rows;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(rows);
    }
};

/// Identifies one incarnation of an upstream, equally on every VM.
std::uint64_t hash_upstream(const std::string& id, std::uint64_t incarnation);

/// What requests with a part are allowed, as published to traffic threads.
struct suspect_state
{
    std::size_t crashes = 0;          ///< That count; at least 1.
    core::time_point last_crash_at{}; ///< Of those.
    /// Until then no request with the part is sent. Later, a single VM sends
    /// single requests as a trial. The epoch: not quarantined.
    core::time_point held_until{};

    bool is_quarantined() const
    {
        return held_until != core::time_point();
    }
};

using suspect_parts = std::map<std::uint64_t, suspect_state>;

class crash_suspects
{
public:
    /// An upstream broke off before it had generated more than one event for a
    /// request with `part`. True if the table changed.
    bool record_crash(
        std::uint64_t part, std::uint64_t upstream, core::time_point at);

    /// An upstream generated an answer to a request with `part`. True if the
    /// table changed. Called for parts that some VM suspects.
    bool record_answer(std::uint64_t part, core::time_point at);

    /// Merges a row of another VM. True if it has news.
    bool merge(const suspect_row& it, core::time_point now);

    /// Removes rows after `retention`, those of parts that are not quarantined
    /// after `suspicion_lifetime`. True if one was removed.
    bool tick(core::time_point now);

    struct changes
    {
        std::vector<suspect_row> rows; ///< At most max_rows_per_notice.
        std::uint64_t up_to = 0;       ///< Number of the newest change in it.
    };

    /// Rows that changed after change number `change`, oldest change first.
    changes changed_since(std::uint64_t change, core::time_point now) const;

    /// For receivers that missed a change: quarantined parts, then parts that
    /// were used within active_time, in turn from call to call; at most
    /// max_rows_per_notice.
    std::vector<suspect_row> next_refresh(core::time_point now);

    bool empty() const
    {
        return rows_.empty();
    }

    suspect_parts states() const;

    /// Crashes at different upstreams that quarantine a part: requests of
    /// callers that happened to run beside one are rarely hit three times
    /// without any answer.
    static constexpr std::size_t quarantine_crashes = 3;
    /// Crashes closer together than this count as one. A loss of power or of a
    /// network breaks many upstreams at the same moment.
    static constexpr core::duration same_event_window =
        std::chrono::milliseconds(100);
    /// A part that was answered is not blamed for a crash within this time.
    static constexpr core::duration answer_lifetime = std::chrono::seconds(30);
    /// Quarantine after the third crash; it doubles with each further one.
    static constexpr core::duration initial_hold = std::chrono::seconds(10);
    static constexpr core::duration max_hold = std::chrono::minutes(10);
    static constexpr core::duration retention = std::chrono::minutes(30);
    static constexpr core::duration suspicion_lifetime =
        std::chrono::minutes(10);
    static constexpr core::duration active_time = std::chrono::seconds(30);
    static constexpr std::size_t max_parts = 1024;
    static constexpr std::size_t max_crashes_per_part = 8;
    static constexpr std::size_t max_rows_per_notice = 128;

private:
    struct entry
    {
        /// Earliest known time of each crash, by upstream; at most
        /// max_crashes_per_part, the newest.
        std::map<std::uint64_t, core::time_point> crashes;
        std::optional<core::time_point> answered_at; // The newest.
        std::uint64_t change_number = 0;
    };

    static suspect_state state_of(const entry& it);
    static suspect_row
    row_of(std::uint64_t part, const entry& it, core::time_point now);
    static core::time_point last_used_at(const entry& it);
    void remove_least_suspect();

    std::map<std::uint64_t, entry> rows_;
    std::uint64_t change_counter_ = 0;
    std::uint64_t refresh_position_ =
        0; // Part after which the next one begins.
};

} // namespace hyssoploft::fleet

#endif
