#ifndef HYSSOPLOFT_LIBRESOURCE_PUBLISHED_CONFIGURATION_HPP
#define HYSSOPLOFT_LIBRESOURCE_PUBLISHED_CONFIGURATION_HPP

// A configuration with copy-on-write: one thread changes it, others read
// immutable snapshots. It is copied only if it changes after it was published,
// so that a replay of many changes copies nothing.

#include <LibResource/configuration.hpp>

#include <memory>
#include <utility>

namespace hyssoploft::resource {

class published_configuration
{
public:
    published_configuration() = default;
    // A copy would share a value that either of them may change.
    published_configuration(const published_configuration&) = delete;
    published_configuration& operator=(const published_configuration&) = delete;
    published_configuration(published_configuration&&) = default;
    published_configuration& operator=(published_configuration&&) = default;
    ~published_configuration() = default;

    const configuration& view() const
    {
        return *value_;
    }

    std::shared_ptr<const configuration> publish() const
    {
        published_ = true;
        return value_;
    }

    configuration& mutate()
    {
        if (published_)
        {
            value_ = std::make_shared<configuration>(*value_);
            published_ = false;
        }
        return *value_;
    }

    void replace(configuration it)
    {
        value_ = std::make_shared<configuration>(std::move(it));
        published_ = false;
    }

private:
    std::shared_ptr<configuration> value_ = std::make_shared<configuration>();
    // Set once another owner may hold value_, which must not change then.
    mutable bool published_ = false;
};

} // namespace hyssoploft::resource

#endif
