#include "marjoramfold/node/jobfeed.h"

#include "marjoramfold/dispatch/jobstate.h"
#include "marjoramfold/node/admission.h"
#include "marjoramfold/observability/logline.h"
#include "marjoramfold/store/recordcodec.h"

#include <cereal/types/chrono.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <algorithm>
#include <string_view>
#include <utility>

namespace Marjoramfold
{
namespace
{
constexpr std::string_view JobPrefix = "j/";
constexpr std::string_view CancelPrefix = "c/";
constexpr std::string_view PhasePrefix = "p/";
constexpr std::string_view LeaderPrefix = "l/";
/// Prefix of claims. The keys of renewals and resignations have only LeaderPrefix and the instance's name.
constexpr std::string_view ClaimPrefix = "l/claim/";
/// Key of the leader's backlog records. Versions that do not know it ignore the prefix.
constexpr std::string_view BacklogKey = "b/queues";

auto decodeLeadership(const std::string &value) -> std::optional<LeadershipRecord>
{
    std::string rest;
    auto decoded = decodeRecordValue<LeadershipRecord>(value, &rest);
    if (!isOk(decoded)) {
        LogLine(LogSeverity::Error, "leadership_record_unreadable").with("reason", errorOf(decoded).message_);
        return std::nullopt;
    }
    auto record = valueOf(std::move(decoded));
    if (record.action_ > LeadershipAction::Resign) {
        LogLine(LogSeverity::Error, "leadership_record_unreadable").with("reason", "the action is unknown");
        return std::nullopt;
    }
    if (!rest.empty()) {
        auto statement = decodeRecordValue<LeaseStatement>(rest);
        if (isOk(statement)) {
            record.statement_ = std::make_shared<const LeaseStatement>(valueOf(std::move(statement)));
        } else {
            LogLine(LogSeverity::Error, "lease_statement_unreadable").with("reason", errorOf(statement).message_);
        }
    }
    return record;
}

auto decodePhase(const std::string &value) -> std::optional<JobPhase>
{
    if (value.size() != 1 || static_cast<unsigned char>(value.front()) > static_cast<unsigned char>(JobPhase::Cancelled)) {
        return std::nullopt;
    }
    return static_cast<JobPhase>(value.front());
}

/// Takes the statement of a leader's record, if it has one, into the view of that leader.
auto applyStatement(const LeadershipRecord &record, BootTime now, LeaderView &leader) -> void
{
    if (record.statement_) {
        leader.statement_ = record.statement_;
        leader.statedAt_ = now;
        leader.renewsUntil_ = std::max(leader.renewsUntil_, now + record.statement_->renewsFor_);
    }
}

auto prefixedKey(std::string_view prefix, const std::string &id) -> std::string
{
    return std::string(prefix) + id;
}
} // namespace

auto feedStream() -> StreamId
{
    return {"keyed.marjoramfold.feed", 0};
}

auto progressStream() -> StreamId
{
    return {"keyed.marjoramfold.progress", 0};
}

auto FeedJob::reportedPhase() const -> JobPhase
{
    if (cancelled_ && (!isFinalPhase(phase_) || phaseOffset_ > cancelOffset_)) {
        return JobPhase::Cancelled;
    }
    return phase_;
}

auto JobFeed::setListeners(FeedListeners listeners) -> void
{
    listeners_ = std::move(listeners);
}

auto JobFeed::beginReload() -> void
{
    reloading_ = true;
    orphans_.clear();
    reloadedJobs_.clear();
    loadedLeadership_.clear();
    claims_.clear();
    queueSettings_.beginReload();
}

auto JobFeed::endReload() -> void
{
    if (!reloading_) {
        return;
    }
    const auto before = leader_;
    applyLoadedLeadership();
    queueSettings_.endReload();
    reloading_ = false;
    notifyLeaderChange(before);
    std::vector<JobId> missing;
    for (const auto &[id, job] : jobs_) {
        if (!reloadedJobs_.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const auto &id : missing) {
        applySubmission(id, std::nullopt);
    }
    reloadedJobs_.clear();
    std::erase_if(orphans_, [](const auto &orphan) {
        return !orphan.second.cancelled_;
    });
}

auto JobFeed::apply(std::vector<StoredRecord> records) -> void
{
    std::sort(records.begin(), records.end(), [](const StoredRecord &left, const StoredRecord &right) {
        return left.offset_ < right.offset_;
    });
    const auto before = leader_;
    for (const auto &record : records) {
        applyOne(record);
    }
    notifyLeaderChange(before);
}

auto JobFeed::notifyLeaderChange(const LeaderView &before) -> void
{
    if (listeners_.leaderChanged_ && (before.epoch_ != leader_.epoch_ || before.resigned_ != leader_.resigned_)) {
        listeners_.leaderChanged_();
    }
}

auto JobFeed::applyOne(const StoredRecord &stored) -> void
{
    const auto &record = stored.record_;
    if (record.key_.size() < JobPrefix.size()) {
        return;
    }
    const auto prefix = std::string_view(record.key_).substr(0, JobPrefix.size());
    const JobId id(record.key_.substr(JobPrefix.size()));
    if (record.key_.starts_with(ClaimPrefix)) {
        if (record.value_) {
            claims_[record.key_] = stored.offset_;
        } else {
            claims_.erase(record.key_);
        }
    }
    if (prefix == JobPrefix) {
        applySubmission(id, record.value_);
    } else if (prefix == CancelPrefix) {
        applyCancel(id, stored.offset_, record.value_.has_value());
    } else if (prefix == PhasePrefix) {
        applyPhase(id, stored.offset_, record.value_);
    } else if (prefix == LastQueueSettings::KeyPrefix) {
        queueSettings_.applyRecord(record.key_, record.value_);
    } else if (prefix == LeaderPrefix && record.value_ && reloading_) {
        loadedLeadership_.push_back(stored);
    } else if (prefix == LeaderPrefix && record.value_) {
        applyLeadership(stored.offset_, *record.value_);
    } else if (record.key_ == BacklogKey && record.value_ && !reloading_ && listeners_.backlogPublished_) {
        listeners_.backlogPublished_(*record.value_);
    }
}

auto JobFeed::applySubmission(const JobId &id, const std::optional<std::string> &value) -> void
{
    if (!value) {
        if (const auto found = jobs_.find(id); found != jobs_.end()) {
            if (found->second.reportedPhase() == JobPhase::Queued) {
                --waiting_[found->second.submission_.queue_];
            }
            jobs_.erase(found);
            if (listeners_.removed_) {
                listeners_.removed_(id);
            }
        }
        return;
    }
    reloadedJobs_[id] = true;
    if (jobs_.contains(id)) {
        // A repeated submission; the first one remains in effect.
        return;
    }
    auto submission = decodeSubmission(*value);
    if (!isOk(submission)) {
        LogLine(LogSeverity::Error, "submission_unreadable").job(id.value()).with("reason", errorOf(submission).message_);
        return;
    }
    FeedJob job;
    if (const auto orphan = orphans_.find(id); orphan != orphans_.end()) {
        job = orphan->second;
        orphans_.erase(orphan);
    }
    job.submission_ = valueOf(std::move(submission));
    job.occurrences_ = std::max(1U, job.submission_.plan_.occurrences_);
    auto &added = jobs_[id] = std::move(job);
    if (added.reportedPhase() == JobPhase::Queued) {
        ++waiting_[added.submission_.queue_];
    }
    if (listeners_.submitted_) {
        listeners_.submitted_(added.submission_);
    }
    dropPayloadIfFinal(added);
}

auto JobFeed::dropPayloadIfFinal(FeedJob &job) -> void
{
    // No further task starts, so the payload is not needed. A new leader needs the steps for runs that have not ended yet.
    if (isFinalPhase(job.phase_)) {
        job.submission_.plan_.payload_.clear();
    }
}

auto JobFeed::applyCancel(const JobId &id, std::uint64_t offset, bool set) -> void
{
    const auto found = jobs_.find(id);
    if (!set) {
        orphans_.erase(id);
        return;
    }
    auto &job = found == jobs_.end() ? orphans_[id] : found->second;
    if (job.cancelled_) {
        return;
    }
    const auto wasQueued = found != jobs_.end() && job.reportedPhase() == JobPhase::Queued;
    job.cancelled_ = true;
    job.cancelOffset_ = offset;
    job.cancelledAt_ = BootClock::now();
    if (wasQueued) {
        --waiting_[job.submission_.queue_];
    }
    if (found != jobs_.end() && listeners_.cancelled_) {
        listeners_.cancelled_(id);
    }
    if (found != jobs_.end()) {
        notifyIfEnded(job);
    }
}

auto JobFeed::applyPhase(const JobId &id, std::uint64_t offset, const std::optional<std::string> &value) -> void
{
    const auto found = jobs_.find(id);
    if (!value) {
        return;
    }
    const auto phase = decodePhase(*value);
    if (!phase) {
        LogLine(LogSeverity::Error, "phase_record_unreadable").job(id.value()).with("bytes", value->size());
        return;
    }
    auto &job = found == jobs_.end() ? orphans_[id] : found->second;
    if (isFinalPhase(job.phase_)) {
        return;
    }
    const auto wasQueued = found != jobs_.end() && job.reportedPhase() == JobPhase::Queued;
    job.phase_ = *phase;
    job.phaseOffset_ = offset;
    if (wasQueued && job.reportedPhase() != JobPhase::Queued) {
        --waiting_[job.submission_.queue_];
    }
    dropPayloadIfFinal(job);
    if (found != jobs_.end()) {
        notifyIfEnded(job);
    }
}

auto JobFeed::notifyIfEnded(const FeedJob &job) const -> void
{
    if (listeners_.ended_ && isFinalPhase(job.reportedPhase())) {
        listeners_.ended_(job.submission_.id_);
    }
}

auto JobFeed::applyLeadership(std::uint64_t offset, const std::string &value) -> void
{
    const auto record = decodeLeadership(value);
    if (!record) {
        return;
    }
    const auto now = BootClock::now();
    if (record->action_ != LeadershipAction::Claim) {
        // A renewal or resignation implies that the leader's claim was valid.
        if (record->epoch_ > leader_.epoch_) {
            // A load does not tell which leader came before.
            predecessor_ = {};
        } else if (record->epoch_ == predecessor_.epoch_) {
            // The store still confirmed the former leader after the claim that succeeded it.
            predecessor_.lastRecordAt_ = now;
            applyStatement(*record, now, predecessor_);
        }
        if (record->epoch_ >= leader_.epoch_) {
            const auto resigned = record->action_ == LeadershipAction::Resign;
            auto firstRenewalAt = record->epoch_ == leader_.epoch_ ? leader_.firstRenewalAt_ : std::nullopt;
            if (!firstRenewalAt && !resigned) {
                firstRenewalAt = now;
            }
            const auto isSame = record->epoch_ == leader_.epoch_;
            auto statement = isSame ? leader_.statement_ : nullptr;
            leader_ = {record->epoch_,
                       record->instance_,
                       record->process_,
                       resigned,
                       isSame && leader_.isFirst_,
                       now,
                       firstRenewalAt,
                       std::move(statement),
                       leader_.statedAt_,
                       // Statements that were not applied here may have allowed the longest time.
                       isSame ? leader_.renewsUntil_ : now + LeaseStatement::MaxRenewsFor};
            applyStatement(*record, now, leader_);
        }
        return;
    }
    if (record->epoch_ == leader_.epoch_ && offset >= leader_.epoch_) {
        predecessor_ = leader_;
        const auto renewsUntil = reloading_ ? now + LeaseStatement::MaxRenewsFor : now;
        leader_ = {offset + 1, record->instance_, record->process_, false, record->epoch_ == 0, now, std::nullopt, nullptr, {}, renewsUntil};
    }
}

auto JobFeed::applyLoadedLeadership() -> void
{
    // A renewal or resignation shows that its epoch was valid, whatever its offset. Claims after the newest such epoch are then
    // evaluated in order; earlier ones were deleted or are void.
    std::sort(loadedLeadership_.begin(), loadedLeadership_.end(), [](const StoredRecord &left, const StoredRecord &right) {
        return left.offset_ < right.offset_;
    });
    for (const auto claimsOnly : {false, true}) {
        for (const auto &record : loadedLeadership_) {
            if (record.record_.key_.starts_with(ClaimPrefix) == claimsOnly) {
                applyLeadership(record.offset_, *record.record_.value_);
            }
        }
    }
    loadedLeadership_.clear();
}

auto JobFeed::claimTombstones(std::uint64_t epoch) const -> std::vector<KeyedRecord>
{
    std::vector<KeyedRecord> records;
    for (const auto &[claim, offset] : claims_) {
        if (offset + 1 < epoch) {
            records.push_back({claim, std::nullopt});
        }
    }
    return records;
}

auto JobFeed::find(const JobId &id) const -> const FeedJob *
{
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : &found->second;
}

auto JobFeed::jobs() const -> const std::unordered_map<JobId, FeedJob> &
{
    return jobs_;
}

auto JobFeed::leader() const -> const LeaderView &
{
    return leader_;
}

auto JobFeed::predecessor() const -> const LeaderView &
{
    return predecessor_;
}

auto JobFeed::unmatchedCancellations(BootTime appliedBefore) const -> std::vector<JobId>
{
    std::vector<JobId> unmatched;
    for (const auto &[id, orphan] : orphans_) {
        if (orphan.cancelled_ && orphan.cancelledAt_ < appliedBefore) {
            unmatched.push_back(id);
        }
    }
    return unmatched;
}

auto JobFeed::queueSettings() -> LastQueueSettings &
{
    return queueSettings_;
}

auto JobFeed::waitingJobs(const std::string &queue) const -> std::size_t
{
    const auto found = waiting_.find(queue);
    return found == waiting_.end() ? 0 : found->second;
}

auto JobFeed::submissionRecord(const Submission &submission) -> KeyedRecord
{
    return {prefixedKey(JobPrefix, submission.id_.value()), encodeSubmission(submission)};
}

auto JobFeed::cancelRecord(const JobId &id) -> KeyedRecord
{
    return {prefixedKey(CancelPrefix, id.value()), "1"};
}

auto JobFeed::cancelTombstone(const JobId &id) -> KeyedRecord
{
    return {prefixedKey(CancelPrefix, id.value()), std::nullopt};
}

auto JobFeed::phaseRecord(const JobId &id, JobPhase phase) -> KeyedRecord
{
    return {prefixedKey(PhasePrefix, id.value()), std::string(1, static_cast<char>(phase))};
}

auto JobFeed::leadershipRecord(const LeadershipRecord &record) -> KeyedRecord
{
    const auto key = record.action_ == LeadershipAction::Claim
        ? prefixedKey(ClaimPrefix, record.instance_ + "/" + std::to_string(record.process_) + "/" + std::to_string(record.number_))
        : prefixedKey(LeaderPrefix, record.instance_);
    return {key, encodeRecordValue(record) + (record.statement_ ? encodeRecordValue(*record.statement_) : std::string())};
}

auto JobFeed::backlogRecord(const BacklogRecord &record) -> KeyedRecord
{
    return {std::string(BacklogKey), encodeBacklog(record)};
}

auto JobFeed::jobTombstones(const JobId &id) -> std::vector<KeyedRecord>
{
    return {{prefixedKey(JobPrefix, id.value()), std::nullopt}, cancelTombstone(id), {prefixedKey(PhasePrefix, id.value()), std::nullopt}};
}
} // namespace Marjoramfold
