#include "marjoramfold/node/backlogpublisher.h"

#include "marjoramfold/node/jobfeed.h"
#include "marjoramfold/observability/logline.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace Marjoramfold
{
namespace
{
/// Interval of the forecasts and of the records; a third of the age from which instances ignore a record.
constexpr std::chrono::milliseconds ForecastInterval{1000};
} // namespace

BacklogPublisher::BacklogPublisher(std::uint64_t epoch, std::function<BacklogSample()> takeSample, Publish publish)
    : epoch_(epoch)
    , takeSample_(std::move(takeSample))
    , publish_(std::move(publish))
{
}

auto BacklogPublisher::check(BootTime now) -> void
{
    if (now - checkedAt_ < ForecastInterval) {
        return;
    }
    checkedAt_ = now;
    auto rejecting = forecast_.update(takeSample_(), now);
    logChanges(rejecting);
    if (*publishing_ || (rejecting.empty() && !mustEnd_)) {
        return;
    }
    const auto ends = rejecting.empty();
    auto record = JobFeed::backlogRecord({epoch_, published_ + 1, std::move(rejecting)});
    if (storedBytes(record) > MaxRecordBytes) {
        LogLine(LogSeverity::Error, "backlog_record_too_large").with("bytes", storedBytes(record));
        return;
    }
    ++published_;
    mustEnd_ = !ends;
    *publishing_ = true;
    publish_(std::move(record), [publishing = publishing_] {
        *publishing = false;
    });
}

auto BacklogPublisher::logChanges(const std::vector<QueueForecast> &rejecting) -> void
{
    std::set<std::string> names;
    for (const auto &queue : rejecting) {
        names.insert(queue.queue_);
        if (!rejecting_.contains(queue.queue_)) {
            LogLine(LogSeverity::Warning, "queue_rejects")
                .with("queue", queue.queue_)
                .with("epoch", epoch_)
                .with("wait_cores_ms", queue.useful_.cores_.count())
                .with("wait_accelerators_ms", queue.useful_.accelerators_.count())
                .with("path_ms", queue.typicalPath_.count())
                .with("blocked_accelerators", queue.blockedTask_.accelerators_)
                .with("blocked_milli_cores", queue.blockedTask_.milliCores_);
        }
    }
    for (const auto &queue : rejecting_) {
        if (!names.contains(queue)) {
            LogLine(LogSeverity::Info, "queue_accepts").with("queue", queue).with("epoch", epoch_);
        }
    }
    rejecting_ = std::move(names);
}
} // namespace Marjoramfold
