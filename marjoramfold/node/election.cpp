#include "marjoramfold/node/election.h"

#include "marjoramfold/observability/logline.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace Marjoramfold
{
namespace
{
/// Timeout of the read that confirms that the leader has timed out.
constexpr std::chrono::milliseconds ProbeTimeout{1500};
} // namespace

Election::Election(ElectionOptions options, JobFeed &feed, std::shared_ptr<StreamFollower> follower, std::shared_ptr<OrderedAppender> appender, Hooks hooks)
    : options_(std::move(options))
    , feed_(feed)
    , follower_(std::move(follower))
    , appender_(std::move(appender))
    , hooks_(std::move(hooks))
    , alive_(std::make_shared<bool>(true))
{
}

auto Election::ledEpoch() const -> std::uint64_t
{
    return ledEpoch_;
}

auto Election::stopClaiming() -> void
{
    claimsStopped_ = true;
}

auto Election::relinquish() -> void
{
    if (ledEpoch_ != 0) {
        relinquishedEpoch_ = ledEpoch_;
        ledEpoch_ = 0;
        hooks_.lost_();
    }
}

auto Election::resign() -> void
{
    unresignedEpoch_ = ledEpoch_;
    relinquish();
    recordResignation();
}

auto Election::recordResignation() -> void
{
    const auto &leader = feed_.leader();
    if (leader.epoch_ != unresignedEpoch_ || leader.resigned_) {
        unresignedEpoch_ = 0;
        return;
    }
    if (recordingResignation_) {
        return;
    }
    // The store may still reject or not answer appends; check() retries until the feed shows the resignation or another leader.
    recordingResignation_ = true;
    appender_->write({JobFeed::leadershipRecord({LeadershipAction::Resign, unresignedEpoch_, options_.instance_, options_.process_, 0})},
                     [this, alive = std::weak_ptr(alive_)](const WriteResult &result) {
                         if (alive.expired()) {
                             return;
                         }
                         recordingResignation_ = false;
                         if (!std::holds_alternative<WriteStored>(result)) {
                             LogLine(LogSeverity::Warning, "vacancy_not_recorded").with("epoch", unresignedEpoch_);
                         }
                     });
}

auto Election::hasNoLeader() const -> bool
{
    const auto &leader = feed_.leader();
    const auto isFormerProcess = leader.instance_ == options_.instance_ && leader.process_ != options_.process_;
    // An epoch that this process relinquished does not count here: it ended for a higher one, whose renewals need time to arrive.
    return leader.epoch_ == 0 || leader.resigned_ || isFormerProcess || hasTimedOut(follower_->currentAsOf());
}

auto Election::hasTimedOut(BootTime asOf) const -> bool
{
    return asOf - feed_.leader().lastRecordAt_ > options_.leaderTimeout_ + options_.extraStoreAnswers_ * storeAnswerTime_;
}

auto Election::claimDelay() const -> std::chrono::milliseconds
{
    return options_.deference_ + options_.claimDelay_ * std::max<std::int64_t>(1, storeAnswerTime_ / options_.typicalStoreAnswer_);
}

auto Election::check() -> void
{
    if (!follower_->isLoaded()) {
        return;
    }
    const auto &leader = feed_.leader();
    const auto leads = leader.epoch_ > relinquishedEpoch_ && leader.process_ == options_.process_ && !leader.resigned_;
    if (ledEpoch_ != 0 && (!leads || leader.epoch_ != ledEpoch_)) {
        LogLine(LogSeverity::Warning, "leadership_lost").with("epoch", ledEpoch_).with("leader", leader.instance_).with("leader_epoch", leader.epoch_);
        relinquish();
    }
    if (leads && ledEpoch_ == 0 && !claimsStopped_) {
        ledEpoch_ = leader.epoch_;
        LogLine(LogSeverity::Info, "leadership_gained").with("epoch", ledEpoch_);
        hooks_.gained_(ledEpoch_);
    }
    if (unresignedEpoch_ != 0) {
        recordResignation();
    }
    if (ledEpoch_ != 0 || claimsStopped_ || claiming_) {
        return;
    }
    const auto now = BootClock::now();
    if (hasNoLeader()) {
        if (noLeaderSince_ == BootTime{}) {
            noLeaderSince_ = now;
        }
        claimWhenDue(now);
        return;
    }
    noLeaderSince_ = {};
    if (hasTimedOut(now) && !probing_) {
        probe();
    }
}

auto Election::claimWhenDue(BootTime now) -> void
{
    const auto dueAt = noLeaderSince_ + claimDelay();
    if (now < dueAt) {
        return;
    }
    // Another instance may have claimed during the delay. Without this read, every instance whose delay ends before its next read would
    // claim too, and the number of claims would grow with the number of instances.
    if (follower_->currentAsOf() >= dueAt) {
        claim();
    } else if (!probing_) {
        probe();
    }
}

auto Election::probe() -> void
{
    // A new read shows whether the leader wrote nothing or this instance had not read it yet, and how fast the store answers.
    probing_ = true;
    follower_->whenCurrent(ProbeTimeout, [this, alive = std::weak_ptr(alive_), startedAt = BootClock::now()](bool current) {
        if (!alive.expired()) {
            probing_ = false;
            // A probe that failed or waited for a new connection does not measure the store's answer time.
            const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(BootClock::now() - startedAt);
            storeAnswerTime_ = current && elapsed <= options_.maxStoreAnswer_ ? elapsed : std::chrono::milliseconds(0);
            check();
        }
    });
}

auto Election::claim() -> void
{
    claiming_ = true;
    const auto &leader = feed_.leader();
    LogLine(LogSeverity::Info, "leadership_claimed")
        .with("after_epoch", leader.epoch_)
        .with("leader", leader.instance_)
        .with("resigned", leader.resigned_)
        .with("silent_ms", std::chrono::duration_cast<std::chrono::milliseconds>(BootClock::now() - leader.lastRecordAt_).count())
        .with("store_answer_ms", storeAnswerTime_.count());
    appender_->write({JobFeed::leadershipRecord({LeadershipAction::Claim, leader.epoch_, options_.instance_, options_.process_, ++claims_})},
                     [this, alive = std::weak_ptr(alive_)](const WriteResult &result) {
                         if (alive.expired()) {
                             return;
                         }
                         claiming_ = false;
                         noLeaderSince_ = {};
                         if (std::holds_alternative<WriteStored>(result)) {
                             follower_->expedite();
                         }
                     });
}
} // namespace Marjoramfold
