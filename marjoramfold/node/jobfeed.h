#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/fleet/jobplan.h"
#include "marjoramfold/store/streamstore.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Marjoramfold
{
/// Stream of submissions, cancellations, phases and leadership that every instance follows.
[[nodiscard]] auto feedStream() -> StreamId;

/// Stream of progress records that only the leader writes.
[[nodiscard]] auto progressStream() -> StreamId;

/// What an instance knows of a job.
struct FeedJob {
    Submission submission_;
    std::uint32_t occurrences_ = 1;
    JobPhase phase_ = JobPhase::Queued;
    std::uint64_t phaseOffset_ = 0;
    bool cancelled_ = false;
    std::uint64_t cancelOffset_ = 0;

    /// The state to show. A job that was cancelled before it was shown as ended is cancelled for good.
    [[nodiscard]] auto reportedPhase() const -> JobPhase;
};

/// What a leadership record says.
enum class LeadershipAction : std::uint8_t {
    /// Wants to succeed the leader of `epoch_`.
    Claim,
    /// Leads with `epoch_` and is alive.
    Renew,
    /// Led with `epoch_` and has stopped.
    Resign,
};

/// A leadership record.
struct LeadershipRecord {
    LeadershipAction action_ = LeadershipAction::Claim;
    std::uint64_t epoch_ = 0;
    /// Instance and a random number of its process, so that a restarted process knows that its former one is gone.
    std::string instance_;
    std::uint64_t process_ = 0;
    /// Counts the claims of a process. Each claim has a key of its own, so that a load brings all that may have been valid.
    std::uint64_t number_ = 0;

    /// Serializes the record with cereal.
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(action_, epoch_, instance_, process_, number_);
    }
};

/// The leader as the records in their order say.
struct LeaderView {
    /// Fencing token: the offset of the claim plus one; 0 while nobody has led.
    std::uint64_t epoch_ = 0;
    std::string instance_;
    std::uint64_t process_ = 0;
    bool resigned_ = false;
    /// When the newest record of the leader arrived here.
    BootTime seenAt_{};
};

/// Listeners of a feed.
struct FeedListeners {
    std::function<void(const Submission &)> submitted_;
    std::function<void(const JobId &)> cancelled_;
    std::function<void(const JobId &)> removed_;
    std::function<void()> leaderChanged_;
    /// A job that is shown to callers as ended, however it ended.
    std::function<void(const JobId &)> ended_;
};

/// Applies the records of the feed in their order. Every instance comes to the same view, since the store orders the records.
///
/// A claim succeeds when it names the epoch in force before it; so one of several claims wins without any further agreement.
class JobFeed
{
public:
    auto setListeners(FeedListeners listeners) -> void;

    /// Applies records as a StreamFollower delivers them; records of an initial load are applied in the order of their offsets.
    auto apply(std::vector<StoredRecord> records) -> void;

    /// Prepares for an initial load after a gap: what it does not bring is gone.
    auto beginReload() -> void;

    /// Drops jobs that the load did not bring.
    auto endReload() -> void;

    [[nodiscard]] auto find(const JobId &id) const -> const FeedJob *;
    [[nodiscard]] auto jobs() const -> const std::unordered_map<JobId, FeedJob> &;
    [[nodiscard]] auto leader() const -> const LeaderView &;

    /// The leader before the present one, as it was last seen.
    [[nodiscard]] auto predecessor() const -> const LeaderView &;

    /// Accepted jobs of a queue for which no task has started.
    [[nodiscard]] auto waitingJobs(const std::string &queue) const -> std::size_t;

    // Records that instances append.
    [[nodiscard]] static auto submissionRecord(const Submission &submission) -> KeyedRecord;
    [[nodiscard]] static auto cancelRecord(const JobId &id) -> KeyedRecord;
    [[nodiscard]] static auto phaseRecord(const JobId &id, JobPhase phase) -> KeyedRecord;
    [[nodiscard]] static auto leadershipRecord(const LeadershipRecord &record) -> KeyedRecord;

    /// Records that drop the claims before an epoch; renewals of that epoch make them needless.
    [[nodiscard]] auto claimTombstones(std::uint64_t epoch) const -> std::vector<KeyedRecord>;

    /// Records that drop everything of a job.
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
    /// Cancellations and phases that arrived before their submission in a load by pages.
    std::unordered_map<JobId, FeedJob> orphans_;
    std::map<std::string, std::size_t> waiting_;
    std::unordered_map<JobId, bool> reloadedJobs_;
    /// Keys of the claims that are stored, with their offsets.
    std::map<std::string, std::uint64_t> claims_;
    /// Leadership records of a load in progress.
    std::vector<StoredRecord> loadedLeadership_;
    bool reloading_ = false;
    LeaderView leader_;
    LeaderView predecessor_;
};
} // namespace Marjoramfold
