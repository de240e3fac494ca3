#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/node/jobfeed.h"
#include "marjoramfold/node/operatorview.h"
#include "marjoramfold/node/platformbinding.h"
#include "marjoramfold/observability/metrics.h"
#include "marjoramfold/store/orderedappender.h"
#include "marjoramfold/store/streamfollower.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace Marjoramfold
{
/// Times of the callers' interface.
struct CallerApiOptions {
    /// A view of the operators' configuration older than this decides nothing: a key may have been taken away since.
    std::chrono::milliseconds maxConfigurationAge_{3000};
    /// An instance that has heard nothing newer from the store sends new callers elsewhere. With a leader at work the feed is read
    /// every 600 ms and answered some 10 ms later.
    std::chrono::milliseconds maxStoreReadAge_{1000};
    /// When a caller that was refused should come back.
    std::chrono::milliseconds retryAfter_{1000};
    /// Kept from a caller's patience for the way of the answer.
    std::chrono::milliseconds answerReserve_{300};
    /// A submission that could not be sent to the store by then is refused, so that the caller can go elsewhere.
    std::chrono::milliseconds maxQueueTime_{400};
    /// An append without an answer for this long, some 50 times what it takes, is in doubt: a read shows whether the store answers.
    std::chrono::milliseconds appendProbeDelay_{600};
    std::chrono::milliseconds appendProbeTimeout_{600};
    /// An append without an answer for this long means that the store cannot be reached.
    std::chrono::milliseconds appendTimeout_{1200};
    /// A question about a running job waits this long for its end: callers ask when they expect it, and the end takes some
    /// 40 ms from the worker through two appends to the instance that is asked.
    std::chrono::milliseconds endWait_{120};
};

/// Answers callers: checks queue and key, stores submissions and cancellations, and tells states from the feed.
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

    /// Answers a call, now or later, exactly once.
    auto handle(CallerRequest call, Respond respond) -> void;

    /// Answers those who wait for the end of a job.
    auto onJobEnded(const JobId &id) -> void;

    /// True while calls can be decided and stored.
    [[nodiscard]] auto isReady() const -> bool;

private:
    /// A checked call.
    struct ValidatedCall {
        std::string queue_;
        TeamId team_;
        JobId job_;
    };

    [[nodiscard]] auto validate(const CallerRequest &call) const -> Result<ValidatedCall>;
    auto submit(const CallerRequest &call, const ValidatedCall &validated, Respond respond) -> void;
    auto query(const CallerRequest &call, const ValidatedCall &validated, Respond respond) -> void;
    auto answerState(const JobId &id, const Respond &respond) -> void;
    auto cancel(const CallerRequest &call, const ValidatedCall &validated, Respond respond) -> void;
    auto store(std::vector<KeyedRecord> records, std::chrono::milliseconds timeout, CallerAnswer success, Respond respond) -> void;
    /// Runs a function with the job's newest state, or answers that the state cannot be known now.
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
    /// Submissions on their way to the store, with everyone who waits for one.
    std::unordered_map<JobId, std::vector<Respond>> pendingSubmissions_;
    /// Questions that wait for the end of a running job.
    std::unordered_multimap<JobId, std::shared_ptr<Respond>> awaitingEnd_;
    CounterFamily &answers_;
    HistogramFamily &latency_;
};
} // namespace Marjoramfold
