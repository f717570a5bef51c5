// Installs pulled changes and snapshots if they are newer.

#include <LibResource/configuration_replica.hpp>

#include <LibCore/text.hpp>
#include <LibResource/change_batch.hpp>

#include <utility>

namespace hyssoploft::resource {

absl::Status
configuration_replica::install_changes(const std::vector<std::string>& events)
{
    for (const auto& bytes : events)
    {
        const auto event = decode_event(bytes);
        if (!event.ok())
        {
            return event.status();
        }
        if (event->version <= version())
        {
            continue;
        }
        if (event->version != version() + 1)
        {
            return absl::FailedPreconditionError(core::concat(
                "change ", event->version, " does not follow version ",
                version()));
        }
        install_event(configuration_.mutate(), *event);
        window_.push(bytes);
    }
    return absl::OkStatus();
}

absl::Status configuration_replica::install_snapshot(std::string_view bytes)
{
    auto loaded = decode_configuration(bytes);
    if (!loaded.ok())
    {
        return loaded.status();
    }
    if (loaded->version > version())
    {
        window_.reset(loaded->version);
        configuration_.replace(*std::move(loaded));
    }
    return absl::OkStatus();
}

std::string configuration_replica::snapshot() const
{
    return encode_configuration(view());
}

} // namespace hyssoploft::resource
