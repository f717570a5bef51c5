#ifndef HYSSOPLOFT_LIBCONTROL_DEPARTURE_STORE_HPP
#define HYSSOPLOFT_LIBCONTROL_DEPARTURE_STORE_HPP

// The replicated departures of upstreams, which survive the VM that
// acknowledged them. Deterministic; changed only by log entries, whose time is
// the log's.

#include <LibFleet/departed_upstreams.hpp>
#include <LibLedger/ledger_command.hpp>
#include <LibWire/serialization.hpp>

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hyssoploft::control {

/// Shorter than the second after which upstreams ask another control VM.
inline constexpr std::chrono::milliseconds departure_timeout{900};

/// Records the departure of an incarnation of an upstream and of earlier ones.
struct departure_command
{
    fleet::departure left;
    ledger::log_time time = 0; ///< Set by the leader: stamp_departure().

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(left, time);
    }
};

/// Sets the time of an encoded departure_command. Malformed bytes are returned
/// unchanged.
std::string stamp_departure(std::string command, ledger::log_time now);

class departure_store
{
public:
    /// `now` is the log time of other commands. A malformed command changes
    /// nothing.
    void apply(std::string_view command, ledger::log_time now);

    /// Ends departures that are too old by now.
    void advance_time(ledger::log_time now);

    /// Whether no departure was ever recorded.
    bool is_new() const
    {
        return items_.last_number() == 0;
    }

    const fleet::departed_upstreams& items() const
    {
        return items_;
    }

    /// Never decreases.
    ledger::log_time time() const
    {
        return time_;
    }

    template <typename Archive>
    void save(Archive& archive) const
    {
        archive(time_, items_.last_number(), items_.rows_after(0));
    }

    template <typename Archive>
    void load(Archive& archive)
    {
        std::uint64_t last_number = 0;
        std::vector<fleet::departed_upstreams::row> rows;
        archive(time_, last_number, rows);
        items_.restore(rows, last_number);
    }

private:
    fleet::departed_upstreams items_;
    ledger::log_time time_ = 0;
};

} // namespace hyssoploft::control

#endif
