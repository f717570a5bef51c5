#ifndef HYSSOPLOFT_LIBCONTROL_MANIFEST_STORE_HPP
#define HYSSOPLOFT_LIBCONTROL_MANIFEST_STORE_HPP

// The replicated manifest: the document with the highest version, and the set
// of evacuated data centres. Deterministic; changed only by log entries.

#include <LibManifest/manifest.hpp>
#include <LibWire/serialization.hpp>

#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>

#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace hyssoploft::control {

/// Installs a document if its version is higher than the current one.
struct manifest_command
{
    std::uint64_t version = 0;
    std::string packed; ///< Output of pack_document().

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(version, packed);
    }
};

struct evacuation_command
{
    std::string data_center;
    bool active = false;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(data_center, active);
    }
};

/// Starts or ends the evacuation of a data centre, unless another order for it
/// was applied since the proposer looked. A change that grows old on its way,
/// in a VM that stands still or in repeats, so never undoes a later one.
struct evacuation_change
{
    std::string data_center;
    bool active = false;
    std::uint64_t based_on = 0; ///< Order revision of the data centre.

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(data_center, active, based_on);
    }
};

/// Result of an evacuation_change.
struct evacuation_result
{
    bool applied = false;       ///< The data centre is in the ordered state.
    std::uint64_t revision = 0; ///< Order revision afterwards.

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(applied, revision);
    }
};

/// State after a command was applied.
struct manifest_status
{
    std::uint64_t version = 0;             ///< 0: no manifest.
    std::uint64_t evacuation_revision = 0; ///< Counts changes.

    bool operator==(const manifest_status&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(version, evacuation_revision);
    }
};

class manifest_store
{
public:
    /// Both return an encoded manifest_status. A malformed command changes
    /// nothing.
    std::string apply_manifest(std::string_view command);
    std::string apply_evacuation(std::string_view command);
    /// Returns an encoded evacuation_result. A change that alters nothing is
    /// applied whatever it is based on.
    std::string apply_evacuation_change(std::string_view command);

    manifest_status status() const
    {
        return {version_, evacuation_revision_};
    }

    /// The packed document in force; empty before the first one.
    const std::string& packed() const
    {
        return packed_;
    }

    const std::set<std::string>& evacuated() const
    {
        return evacuated_;
    }

    using order_revisions = std::map<std::string, std::uint64_t>;

    /// Changes that were applied, by data centre. Not part of serialize(),
    /// whose format earlier builds wrote.
    const order_revisions& evacuation_orders() const
    {
        return evacuation_orders_;
    }

    void set_evacuation_orders(order_revisions it)
    {
        evacuation_orders_ = std::move(it);
    }

    /// 0 if no change was applied.
    std::uint64_t evacuation_order_revision(const std::string& it) const;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(version_, packed_, evacuation_revision_, evacuated_);
    }

private:
    void set_evacuated(const std::string& data_center, bool active);

    std::uint64_t version_ = 0; // Never decreases.
    std::string packed_;
    std::uint64_t evacuation_revision_ = 0;
    std::set<std::string> evacuated_;
    // Counts every applied evacuation_change, also one that altered nothing: an
    // order that was acknowledged must make all earlier ones outdated. Does not
    // count evacuation_commands, which snapshots of earlier builds lack.
    order_revisions evacuation_orders_;
};

/// Largest document that pack_document() and unpack_document() accept; equals
/// the limit on request bodies.
inline constexpr std::size_t max_document_bytes = std::size_t{4} << 20;

/// Compresses a document, which must fit in one log entry and one frame.
/// RESOURCE_EXHAUSTED above max_document_bytes.
absl::StatusOr<std::string> pack_document(std::string_view document);

/// INVALID_ARGUMENT if the bytes are not a packed document.
absl::StatusOr<std::string> unpack_document(std::string_view packed);

} // namespace hyssoploft::control

#endif
