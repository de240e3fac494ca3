#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/node/jobfeed.h"
#include "marjoramfold/store/orderedappender.h"
#include "marjoramfold/store/streamfollower.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Marjoramfold
{
/// Identity and timing of a candidate.
struct ElectionOptions {
    std::string instance_;
    std::uint64_t process_ = 0;
    /// A leader without a record for this long has timed out: covers two renewals and one retried append.
    std::chrono::milliseconds leaderTimeout_{900};
    /// Delay before this instance claims leadership, so that preferred instances claim first.
    std::chrono::milliseconds claimDelay_{0};
    /// Added to the claim delay whatever the store's answer time; lets instances with more CPU claim first.
    std::chrono::milliseconds deference_{0};
    /// Store answer times added to the leader timeout, because a slow store delays the leader's renewals too.
    int extraStoreAnswers_ = 4;
    /// Reads usually take about 8 ms. The claim delay grows in proportion to slower ones, since claims become visible later.
    std::chrono::milliseconds typicalStoreAnswer_{10};
    /// Slower probes do not count as answer times: above the answers of a slow store, below the timeout of a call.
    std::chrono::milliseconds maxStoreAnswer_{500};
};

/// Claims leadership for this instance and detects from the records of the feed when it is gained or lost.
class Election
{
public:
    /// Called when this instance gains and loses leadership.
    struct Hooks {
        std::function<void(std::uint64_t epoch)> gained_;
        std::function<void()> lost_;
    };

    Election(ElectionOptions options, JobFeed &feed, std::shared_ptr<StreamFollower> follower, std::shared_ptr<OrderedAppender> appender, Hooks hooks);

    /// Evaluates the feed; to be called several times a second and whenever the leader changes.
    auto check() -> void;

    /// Ends the leadership of the current epoch here; a later epoch may be claimed.
    auto relinquish() -> void;

    /// Relinquishes an epoch that the store no longer confirms, and records the resignation as soon as the store accepts it.
    auto resign() -> void;

    /// Claims no further epochs, because this instance shuts down.
    auto stopClaiming() -> void;

    /// Epoch that this instance leads; 0 while it does not lead.
    [[nodiscard]] auto ledEpoch() const -> std::uint64_t;

private:
    [[nodiscard]] auto hasNoLeader() const -> bool;
    /// True when the leader's last record is older than the timeout, which allows for the store's answer time.
    [[nodiscard]] auto hasTimedOut(BootTime asOf) const -> bool;
    [[nodiscard]] auto claimDelay() const -> std::chrono::milliseconds;
    /// Claims when the claim delay has passed and a read that began after it shows no leader.
    auto claimWhenDue(BootTime now) -> void;
    auto probe() -> void;
    auto recordResignation() -> void;
    auto claim() -> void;

    ElectionOptions options_;
    JobFeed &feed_;
    std::shared_ptr<StreamFollower> follower_;
    std::shared_ptr<OrderedAppender> appender_;
    Hooks hooks_;
    std::uint64_t ledEpoch_ = 0;
    /// Newest epoch that this instance led and relinquished.
    std::uint64_t relinquishedEpoch_ = 0;
    /// Number of claims of this process.
    std::uint64_t claims_ = 0;
    /// Relinquished epoch whose resignation is not recorded yet; 0 without one.
    std::uint64_t unresignedEpoch_ = 0;
    bool recordingResignation_ = false;
    bool claiming_ = false;
    bool probing_ = false;
    /// Answer time of the last probe of the store.
    std::chrono::milliseconds storeAnswerTime_{0};
    bool claimsStopped_ = false;
    BootTime noLeaderSince_{};
    std::shared_ptr<bool> alive_;
};
} // namespace Marjoramfold
