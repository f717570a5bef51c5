// Writes spans to a file without blocking traffic threads.

#include <LibTelemetry/span_exporter.hpp>

#include <LibCore/text.hpp>

#include <utility>

namespace hyssoploft::telemetry {

absl::StatusOr<std::unique_ptr<span_file_exporter>> span_file_exporter::create(
    const std::string& path, std::string service, std::string vm)
{
    std::ofstream out(path, std::ios::app);
    if (!out)
    {
        return absl::PermissionDeniedError(
            core::concat(path, ": can't be opened for appending"));
    }
    return std::unique_ptr<span_file_exporter>(new span_file_exporter(
        std::move(out), std::move(service), std::move(vm)));
}

span_file_exporter::span_file_exporter(
    std::ofstream out, std::string service, std::string vm)
    : service_(std::move(service)), vm_(std::move(vm)), out_(std::move(out)),
      writer_([this] {
          run();
      })
{}

span_file_exporter::~span_file_exporter()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_one();
    writer_.join();
}

void span_file_exporter::finished(span it)
{
    {
        const std::lock_guard lock(mutex_);
        if (queue_.size() >= max_queued)
        {
            ++dropped_;
            return;
        }
        queue_.push_back(std::move(it));
    }
    changed_.notify_one();
}

std::uint64_t span_file_exporter::dropped() const
{
    const std::lock_guard lock(mutex_);
    return dropped_;
}

void span_file_exporter::run()
{
    std::unique_lock lock(mutex_);
    while (!stopping_ || !queue_.empty())
    {
        changed_.wait(lock, [this] {
            return stopping_ || !queue_.empty();
        });
        std::vector<span> batch = std::exchange(queue_, {});
        lock.unlock();
        if (!batch.empty())
        {
            out_ << to_otlp_json(batch, service_, vm_) << '\n' << std::flush;
        }
        lock.lock();
    }
}

} // namespace hyssoploft::telemetry
