#include "marjoramfold/node/election.h"

#include "marjoramfold/observability/logline.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace Marjoramfold
{
namespace
{
/// Time for the read that proves the leader's silence.
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

auto Election::retire() -> void
{
    retired_ = true;
}

auto Election::abandon() -> void
{
    if (ledEpoch_ != 0) {
        abandonedEpoch_ = ledEpoch_;
        ledEpoch_ = 0;
        hooks_.lost_();
    }
}

auto Election::vacate() -> void
{
    vacatedEpoch_ = ledEpoch_;
    abandon();
    recordVacancy();
}

auto Election::recordVacancy() -> void
{
    const auto &leader = feed_.leader();
    if (leader.epoch_ != vacatedEpoch_ || leader.resigned_) {
        vacatedEpoch_ = 0;
        return;
    }
    if (recordingVacancy_) {
        return;
    }
    // The store may refuse or be silent for a while yet; check() tries again until another leader or the record shows.
    recordingVacancy_ = true;
    appender_->write({JobFeed::leadershipRecord({LeadershipAct::Resign, vacatedEpoch_, options_.instance_, options_.process_, 0})},
                     [this, alive = std::weak_ptr(alive_)](const WriteResult &result) {
                         if (alive.expired()) {
                             return;
                         }
                         recordingVacancy_ = false;
                         if (!std::holds_alternative<WriteStored>(result)) {
                             LogLine(LogSeverity::Warning, "vacancy_not_recorded").with("epoch", vacatedEpoch_);
                         }
                     });
}

auto Election::isVacant() const -> bool
{
    const auto &leader = feed_.leader();
    const auto isFormerProcess = leader.instance_ == options_.instance_ && leader.process_ != options_.process_;
    // An epoch that was given up here was given up to a higher one; its renewals must have the time to arrive.
    return leader.epoch_ == 0 || leader.resigned_ || isFormerProcess || isSilent(follower_->currentAsOf());
}

auto Election::isSilent(BootTime asOf) const -> bool
{
    return asOf - feed_.leader().seenAt_ > options_.silence_ + options_.slowAnswers_ * answerTime_;
}

auto Election::courtesy() const -> std::chrono::milliseconds
{
    return options_.courtesy_ * std::max<std::int64_t>(1, answerTime_ / options_.usualAnswer_);
}

auto Election::check() -> void
{
    if (!follower_->isLoaded()) {
        return;
    }
    const auto &leader = feed_.leader();
    const auto leads = leader.epoch_ > abandonedEpoch_ && leader.process_ == options_.process_ && !leader.resigned_;
    if (ledEpoch_ != 0 && (!leads || leader.epoch_ != ledEpoch_)) {
        LogLine(LogSeverity::Warning, "leadership_lost").with("epoch", ledEpoch_).with("leader", leader.instance_).with("leader_epoch", leader.epoch_);
        abandon();
    }
    if (leads && ledEpoch_ == 0 && !retired_) {
        ledEpoch_ = leader.epoch_;
        LogLine(LogSeverity::Info, "leadership_gained").with("epoch", ledEpoch_);
        hooks_.gained_(ledEpoch_);
    }
    if (vacatedEpoch_ != 0) {
        recordVacancy();
    }
    if (ledEpoch_ != 0 || retired_ || claiming_) {
        return;
    }
    const auto now = BootClock::now();
    if (isVacant()) {
        if (vacantSince_ == BootTime{}) {
            vacantSince_ = now;
        }
        if (now - vacantSince_ >= courtesy()) {
            claim();
        }
        return;
    }
    vacantSince_ = {};
    if (isSilent(now) && !probing_) {
        probe();
    }
}

auto Election::probe() -> void
{
    // A fresh read shows whether the leader is silent or this instance has heard nothing, and how fast the store is.
    probing_ = true;
    follower_->whenCurrent(ProbeTimeout, [this, alive = std::weak_ptr(alive_), begin = BootClock::now()](bool current) {
        if (!alive.expired()) {
            probing_ = false;
            // A probe that failed, or that waited for a new connection, tells nothing of a slow store.
            const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(BootClock::now() - begin);
            answerTime_ = current && took <= options_.slowestAnswer_ ? took : std::chrono::milliseconds(0);
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
        .with("silent_ms", std::chrono::duration_cast<std::chrono::milliseconds>(BootClock::now() - leader.seenAt_).count())
        .with("store_answer_ms", answerTime_.count());
    appender_->write({JobFeed::leadershipRecord({LeadershipAct::Claim, leader.epoch_, options_.instance_, options_.process_, ++claims_})},
                     [this, alive = std::weak_ptr(alive_)](const WriteResult &result) {
                         if (alive.expired()) {
                             return;
                         }
                         claiming_ = false;
                         vacantSince_ = {};
                         if (std::holds_alternative<WriteStored>(result)) {
                             follower_->hurry();
                         }
                     });
}
} // namespace Marjoramfold
