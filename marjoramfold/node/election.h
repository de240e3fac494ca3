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
/// Times of the election.
struct ElectionOptions {
    std::string instance_;
    std::uint64_t process_ = 0;
    /// A leader that showed no sign for this long is succeeded: two renewals and one append that is sent again.
    std::chrono::milliseconds leaderTimeout_{900};
    /// How long this instance lets others go first.
    std::chrono::milliseconds claimDelay_{0};
    /// A store that takes long to answer takes as long for the leader's renewals: the silence grows by this many answers.
    int extraStoreAnswers_ = 4;
    /// A read's answer takes some 8 ms. With slower answers the courtesy grows in proportion, since claims are seen later.
    std::chrono::milliseconds typicalStoreAnswer_{10};
    /// Above the answers of a slow store, below the time of a call that is given up.
    std::chrono::milliseconds maxStoreAnswer_{500};
};

/// Decides when this instance claims leadership and notices when it gains or loses it. All from the records of the feed.
class Election
{
public:
    /// Called with the epoch when this instance leads, and when it no longer does.
    struct Hooks {
        std::function<void(std::uint64_t epoch)> gained_;
        std::function<void()> lost_;
    };

    Election(ElectionOptions options, JobFeed &feed, std::shared_ptr<StreamFollower> follower, std::shared_ptr<OrderedAppender> appender, Hooks hooks);

    /// Looks at the feed; called when the leader changed and a few times a second.
    auto check() -> void;

    /// Gives up an epoch that this instance leads; it may claim a later one.
    auto relinquish() -> void;

    /// Gives up an epoch that the store does not confirm any more, and records that the place is vacant once the store answers.
    auto resign() -> void;

    /// This instance shuts down and claims no more.
    auto stopClaiming() -> void;

    /// Epoch that this instance leads; 0 when it does not.
    [[nodiscard]] auto ledEpoch() const -> std::uint64_t;

private:
    [[nodiscard]] auto hasNoLeader() const -> bool;
    /// The leader has shown no sign for as long as the store's answers ask for.
    [[nodiscard]] auto hasTimedOut(BootTime asOf) const -> bool;
    [[nodiscard]] auto claimDelay() const -> std::chrono::milliseconds;
    auto probe() -> void;
    auto recordResignation() -> void;
    auto claim() -> void;

    ElectionOptions options_;
    JobFeed &feed_;
    std::shared_ptr<StreamFollower> follower_;
    std::shared_ptr<OrderedAppender> appender_;
    Hooks hooks_;
    std::uint64_t ledEpoch_ = 0;
    /// Epochs up to this one were led here and given up.
    std::uint64_t relinquishedEpoch_ = 0;
    /// Claims of this process so far.
    std::uint64_t claims_ = 0;
    /// Epoch that was given up here and whose vacancy is not recorded yet; 0 without one.
    std::uint64_t unresignedEpoch_ = 0;
    bool recordingResignation_ = false;
    bool claiming_ = false;
    bool probing_ = false;
    /// How long the store took to answer the last probe.
    std::chrono::milliseconds storeAnswerTime_{0};
    bool claimsStopped_ = false;
    BootTime noLeaderSince_{};
    std::shared_ptr<bool> alive_;
};
} // namespace Marjoramfold
