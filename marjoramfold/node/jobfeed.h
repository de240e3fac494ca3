#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/dispatch/leasestatement.h"
#include "marjoramfold/fleet/jobplan.h"
#include "marjoramfold/node/lastqueuesettings.h"
#include "marjoramfold/store/streamstore.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Marjoramfold
{
struct BacklogRecord;

/// Stream of submissions, cancellations, job phases and leadership records, which every instance follows.
[[nodiscard]] auto feedStream() -> StreamId;

/// Stream of progress records, written only by the leader.
[[nodiscard]] auto progressStream() -> StreamId;

/// State of a job according to the feed.
struct FeedJob {
    Submission submission_;
    std::uint32_t occurrences_ = 1;
    JobPhase phase_ = JobPhase::Queued;
    std::uint64_t phaseOffset_ = 0;
    bool cancelled_ = false;
    std::uint64_t cancelOffset_ = 0;
    /// Time at which the cancellation was applied here.
    BootTime cancelledAt_{};

    /// The phase reported to callers. A job that was cancelled before it was recorded as ended stays cancelled.
    [[nodiscard]] auto reportedPhase() const -> JobPhase;
};

/// Action that a leadership record states.
enum class LeadershipAction : std::uint8_t {
    /// Claims to succeed the leader of `epoch_`.
    Claim,
    /// The leader of `epoch_` is still active.
    Renew,
    /// The leader of `epoch_` has stopped.
    Resign,
};

/// Record of a claim, renewal or resignation of leadership.
struct LeadershipRecord {
    LeadershipAction action_ = LeadershipAction::Claim;
    std::uint64_t epoch_ = 0;
    /// Instance and a random number of its process, so that a restarted process recognizes records of its former process.
    std::string instance_;
    std::uint64_t process_ = 0;
    /// Sequence number of a claim within its process. Each claim has its own key, so that a load returns all claims that may be valid.
    std::uint64_t number_ = 0;

    /// With a renewal, what the leader states of its leases. Follows the other fields, where versions without statements ignore it.
    std::shared_ptr<const LeaseStatement> statement_ = nullptr;

    /// Serializes the fields that all versions know with cereal.
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(action_, epoch_, instance_, process_, number_);
    }
};

/// The leader according to the records applied so far.
struct LeaderView {
    /// Fencing token: the offset of the claim plus one; 0 before the first leader.
    std::uint64_t epoch_ = 0;
    std::string instance_;
    std::uint64_t process_ = 0;
    bool resigned_ = false;
    /// No leader came before.
    bool isFirst_ = false;
    /// Time at which the leader's newest record was applied here.
    BootTime lastRecordAt_{};
    /// Time at which the leader's first renewal was applied here; the store has confirmed no earlier leader since.
    std::optional<BootTime> firstRenewalAt_;
    /// The leader's newest statement, and when it was applied here; null for a version without statements.
    std::shared_ptr<const LeaseStatement> statement_ = nullptr;
    BootTime statedAt_{};
    /// Until when the leader may renew leases by its statements so far.
    BootTime renewsUntil_{};
};

/// Callbacks of a JobFeed.
struct FeedListeners {
    std::function<void(const Submission &)> submitted_;
    std::function<void(const JobId &)> cancelled_;
    std::function<void(const JobId &)> removed_;
    std::function<void()> leaderChanged_;
    /// The phase reported to callers has become final.
    std::function<void(const JobId &)> ended_;
    /// The leader has published a record of its backlog, which is passed encoded. Not called for records of a load, whose age is unknown.
    std::function<void(const std::string &)> backlogPublished_;
};

/// Applies the records of the feed in order. Every instance derives the same state, since the store orders the records.
///
/// A claim succeeds when it names the epoch in force before it, so exactly one of several concurrent claims succeeds.
class JobFeed
{
public:
    auto setListeners(FeedListeners listeners) -> void;

    /// Applies a page of records from a StreamFollower in the order of their offsets.
    auto apply(std::vector<StoredRecord> records) -> void;

    /// Starts a load of the newest records; jobs that it does not contain are removed at its end.
    auto beginReload() -> void;

    /// Ends a load and removes the jobs that it did not contain.
    auto endReload() -> void;

    [[nodiscard]] auto find(const JobId &id) const -> const FeedJob *;
    [[nodiscard]] auto jobs() const -> const std::unordered_map<JobId, FeedJob> &;
    [[nodiscard]] auto leader() const -> const LeaderView &;

    /// The leader before the current one, in its last known state.
    [[nodiscard]] auto predecessor() const -> const LeaderView &;

    /// Cancellations applied before the given time whose submission has not appeared.
    [[nodiscard]] auto unmatchedCancellations(BootTime appliedBefore) const -> std::vector<JobId>;

    /// Last settings of the queues that have jobs.
    [[nodiscard]] auto queueSettings() -> LastQueueSettings &;

    /// Number of accepted jobs of a queue for which no task has started.
    [[nodiscard]] auto waitingJobs(const std::string &queue) const -> std::size_t;

    // Records to append.
    [[nodiscard]] static auto submissionRecord(const Submission &submission) -> KeyedRecord;
    [[nodiscard]] static auto cancelRecord(const JobId &id) -> KeyedRecord;
    [[nodiscard]] static auto cancelTombstone(const JobId &id) -> KeyedRecord;
    [[nodiscard]] static auto phaseRecord(const JobId &id, JobPhase phase) -> KeyedRecord;
    [[nodiscard]] static auto leadershipRecord(const LeadershipRecord &record) -> KeyedRecord;
    [[nodiscard]] static auto backlogRecord(const BacklogRecord &record) -> KeyedRecord;

    /// Tombstones for the claims before an epoch; renewals of that epoch make these claims obsolete.
    [[nodiscard]] auto claimTombstones(std::uint64_t epoch) const -> std::vector<KeyedRecord>;

    /// Tombstones for all records of a job.
    [[nodiscard]] static auto jobTombstones(const JobId &id) -> std::vector<KeyedRecord>;

private:
    auto applyOne(const StoredRecord &record) -> void;
    auto applySubmission(const JobId &id, const std::optional<std::string> &value) -> void;
    auto applyCancel(const JobId &id, std::uint64_t offset, bool set) -> void;
    auto applyPhase(const JobId &id, std::uint64_t offset, const std::optional<std::string> &value) -> void;
    auto applyLeadership(std::uint64_t offset, const std::string &value) -> void;
    auto applyLoadedLeadership() -> void;
    auto notifyLeaderChange(const LeaderView &before) -> void;
    auto dropPayloadIfFinal(FeedJob &job) -> void;
    auto notifyIfEnded(const FeedJob &job) const -> void;

    FeedListeners listeners_;
    std::unordered_map<JobId, FeedJob> jobs_;
    /// Cancellations and phases without a submission so far. A paged load may deliver it later; a caller may also cancel a job whose
    /// submission the store has not answered and may still execute.
    std::unordered_map<JobId, FeedJob> orphans_;
    std::map<std::string, std::size_t> waiting_;
    std::unordered_map<JobId, bool> reloadedJobs_;
    /// Offsets of the stored claims by key.
    std::map<std::string, std::uint64_t> claims_;
    /// Leadership records of the load in progress.
    std::vector<StoredRecord> loadedLeadership_;
    bool reloading_ = false;
    LastQueueSettings queueSettings_;
    LeaderView leader_;
    LeaderView predecessor_;
};
} // namespace Marjoramfold
