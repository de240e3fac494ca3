#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/node/admission.h"
#include "marjoramfold/node/jobfeed.h"
#include "marjoramfold/node/operatorview.h"
#include "marjoramfold/node/platformbinding.h"
#include "marjoramfold/observability/metrics.h"
#include "marjoramfold/store/orderedappender.h"
#include "marjoramfold/store/streamfollower.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Marjoramfold
{
/// Timing of the callers' API.
struct CallerApiOptions {
    /// Calls are rejected while the configuration read is older than this, since a key may have been revoked since.
    std::chrono::milliseconds maxConfigurationAge_{3000};
    /// The instance is not ready while its newest read of the store is older than this. While there is a leader, the feed is read
    /// every 600 ms and answered about 10 ms later.
    std::chrono::milliseconds maxStoreReadAge_{1000};
    /// Delay after which a rejected caller should retry.
    std::chrono::milliseconds retryAfter_{1000};
    /// Part of a caller's timeout reserved for transmitting the answer.
    std::chrono::milliseconds answerReserve_{300};
    /// A submission that was not sent to the store within this time is rejected, so that the caller can try another instance.
    std::chrono::milliseconds maxQueueTime_{400};
    /// After this long without an answer to an append, about 50 times the usual time, a read probes whether the store answers.
    std::chrono::milliseconds appendProbeDelay_{600};
    std::chrono::milliseconds appendProbeTimeout_{600};
    /// The store counts as unreachable when an append has been unanswered for this long.
    std::chrono::milliseconds appendTimeout_{1200};
    /// A query for a running job waits this long for its end: callers query when they expect it, and the end takes about
    /// 40 ms from the worker through two appends to the queried instance.
    std::chrono::milliseconds endWait_{120};
    /// Submissions that could not end in time are rejected by the leader's newest forecast.
    bool rejectHopeless_ = false;
};

/// Handles callers' requests: checks queue and key, stores submissions and cancellations, and answers queries from the feed.
class CallerApi
{
public:
    using Respond = std::function<void(CallerAnswer)>;
    using Schedule = std::function<void(std::chrono::milliseconds, std::function<void()>)>;

    CallerApi(CallerApiOptions options,
              const PlatformBinding &binding,
              const OperatorView &view,
              JobFeed &feed,
              std::shared_ptr<StreamFollower> follower,
              std::shared_ptr<OrderedAppender> appender,
              Schedule schedule,
              MetricsRegistry &metrics);

    /// Handles a request and answers it exactly once, possibly later.
    auto handle(CallerRequest call, Respond respond) -> void;

    /// Answers the queries that wait for the end of a job.
    auto onJobEnded(const JobId &id) -> void;

    /// Applies a backlog record of the leader.
    auto onBacklogPublished(const std::string &value) -> void;

    /// True while the configuration and the feed are current and the store answers appends.
    [[nodiscard]] auto isReady() const -> bool;

private:
    /// Queue, team and job of a request that passed the checks.
    struct ValidatedCall {
        std::string queue_;
        TeamId team_;
        JobId job_;
    };

    [[nodiscard]] auto validate(const CallerRequest &call) const -> Result<ValidatedCall>;
    auto submit(const CallerRequest &call, const ValidatedCall &validated, Respond respond) -> void;
    auto query(const CallerRequest &call, const ValidatedCall &validated, Respond respond) -> void;
    /// Stores a submission; a call for one that is being stored gets the same answer.
    auto storeSubmission(const Submission &submission, KeyedRecord record, std::chrono::milliseconds timeout, Respond respond) -> void;
    /// Rejects a submission that could not end in time, unless the newest state of the feed has its job.
    auto rejectOrStore(const Submission &submission, KeyedRecord record, std::chrono::milliseconds timeout, Respond respond) -> void;
    [[nodiscard]] auto rejectionOf(const Submission &submission) const -> std::optional<AdmissionRejection>;
    auto answerState(const JobId &id, const Respond &respond) -> void;
    auto cancel(const CallerRequest &call, const ValidatedCall &validated, Respond respond) -> void;
    auto store(std::vector<KeyedRecord> records, std::chrono::milliseconds timeout, CallerAnswer success, Respond respond) -> void;
    /// Calls `use` with the job's newest state, or null for an unknown job. Answers with an error when the state cannot be read.
    auto withCurrentJob(const JobId &id, std::chrono::milliseconds timeout, const Respond &respond, std::function<void(const FeedJob *)> use) -> void;
    [[nodiscard]] auto isAppendOverdue() const -> bool;
    [[nodiscard]] auto unavailable(const std::string &why) const -> Error;

    CallerApiOptions options_;
    std::function<Result<JobPlan>(const std::string &)> decodeJobPlan_;
    const OperatorView &view_;
    JobFeed &feed_;
    std::shared_ptr<StreamFollower> follower_;
    std::shared_ptr<OrderedAppender> appender_;
    Schedule schedule_;
    /// Submissions being stored, with the responders of all calls for each.
    std::unordered_map<JobId, std::vector<Respond>> pendingSubmissions_;
    /// Queries that wait for the end of a running job.
    std::unordered_multimap<JobId, std::shared_ptr<Respond>> awaitingEnd_;
    AdmissionControl admission_;
    CounterFamily &answers_;
    CounterFamily &rejected_;
    HistogramFamily &latency_;
};
} // namespace Marjoramfold
