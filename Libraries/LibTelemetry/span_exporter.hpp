#ifndef HYSSOPLOFT_LIBTELEMETRY_SPAN_EXPORTER_HPP
#define HYSSOPLOFT_LIBTELEMETRY_SPAN_EXPORTER_HPP

// Takes finished spans from traffic threads and writes them to a file on a
// thread of its own.

#include <LibTelemetry/span.hpp>

#include <absl/status/statusor.h>

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <fstream>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace hyssoploft::telemetry {

class span_sink
{
public:
    virtual ~span_sink() = default;
    virtual void finished(span it) = 0;
};

/// Drops every span; used when no trace file is set.
class null_span_sink final : public span_sink
{
public:
    void finished(span) override {}
};

/// Appends OTLP JSON, one request a line. When the writer can't keep up, new
/// spans are dropped and counted.
class span_file_exporter final : public span_sink
{
public:
    /// PERMISSION_DENIED if the file can't be opened for appending.
    static absl::StatusOr<std::unique_ptr<span_file_exporter>>
    create(const std::string& path, std::string service, std::string vm);

    /// Writes what is queued, then ends the thread.
    ~span_file_exporter() override;

    void finished(span it) override;

    std::uint64_t dropped() const;

private:
    span_file_exporter(std::ofstream out, std::string service, std::string vm);

    void run();

    static constexpr std::size_t max_queued = 8192;

    const std::string service_;
    const std::string vm_;
    std::ofstream out_; // Used by the writer thread only.
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<span> queue_; // At most max_queued; guarded by mutex_.
    std::uint64_t dropped_ = 0;
    bool stopping_ = false;
    std::thread writer_;
};

} // namespace hyssoploft::telemetry

#endif
