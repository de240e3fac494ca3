#include "marjoramfold/scheduling/jobledger.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <tuple>

using namespace Marjoramfold;

namespace
{
using std::chrono::milliseconds;

const AvailabilityZoneId Cluj("cluj-a");
const AvailabilityZoneId Brasov("brasov-b");

auto timeAt(Offset offset) -> WallTime
{
    return WallTime(milliseconds(1'000'000 + static_cast<std::int64_t>(offset) * 10));
}

auto specOf(const std::string &id) -> JobSpec
{
    JobSpec spec;
    spec.id_ = JobId(id);
    spec.team_ = TeamId("planners");
    spec.name_ = "train";
    spec.gangSize_ = 2;
    spec.task_ = {4, 8, 64'000};
    spec.declaredRunTime_ = milliseconds(60'000);
    return spec;
}

/// A log of typed records, each encoded to JSON and decoded again.
struct Log {
    auto add(const Record &record) -> Offset
    {
        const auto decoded = decodeRecord(encodeRecord(record));
        REQUIRE(isOk(decoded));
        records_.push_back(valueOf(decoded));
        return records_.size();
    }

    /// Reads from an offset on.
    [[nodiscard]] auto read(Offset first, JobLedgerOptions options = {}) const -> JobLedger
    {
        JobLedger ledger(options);
        ledger.startReading(first);
        for (auto offset = first; offset <= records_.size(); ++offset) {
            ledger.apply(offset, timeAt(offset), records_[offset - 1]);
        }
        return ledger;
    }

    std::vector<Record> records_;
};

auto describe(const JobStatus &job) -> std::string
{
    ZoneSnapshotRecord record;
    record.id_ = RecordId("x");
    record.zone_ = Cluj;
    record.jobs_ = {job};
    return encodeRecord(record).dump();
}

auto describe(const JobLedger &ledger) -> std::vector<std::string>
{
    std::vector<std::string> lines;
    for (const auto &[id, job] : ledger.jobs()) {
        lines.push_back(describe(job));
    }
    std::sort(lines.begin(), lines.end());
    return lines;
}

/// All fields that the records of these tests can change.
auto contentOf(const JobStatus &job) -> decltype(auto)
{
    return std::tie(job.spec_,
                    job.state_,
                    job.zone_,
                    job.attempt_,
                    job.progress_,
                    job.workers_,
                    job.reason_,
                    job.ruleLine_,
                    job.ruleText_,
                    job.submitted_,
                    job.ended_,
                    job.changedAt_);
}

/// Whether two ledgers contain the same jobs in the same states.
auto sameJobs(const JobLedger &left, const JobLedger &right) -> bool
{
    return std::equal(left.jobs().begin(), left.jobs().end(), right.jobs().begin(), right.jobs().end(), [](const auto &a, const auto &b) {
        return contentOf(a.second) == contentOf(b.second);
    });
}

/// Lines contained in only one of two descriptions.
auto differences(const std::vector<std::string> &left, const std::vector<std::string> &right) -> std::string
{
    std::vector<std::string> lines;
    std::set_symmetric_difference(left.begin(), left.end(), right.begin(), right.end(), std::back_inserter(lines));
    std::string text;
    for (const auto &line : lines) {
        text += line + "\n";
    }
    return text;
}

/// A claimed availability zone with one assigned job "j".
auto logWithJob() -> Log
{
    Log log;
    log.add(ClaimRecord{RecordId("c1"), Cluj, InstanceId("e1"), 0, {}});
    log.add(JobSubmittedRecord{RecordId("s"), specOf("j")});
    log.add(JobAssignedRecord{RecordId("a"), JobId("j"), {}, 0, Cluj, 0, milliseconds(0), {}, {}});
    return log;
}

constexpr Offset FirstEpoch = 1;
} // namespace

SCENARIO("the ledger tracks a job from submission to end", "[jobledger]")
{
    auto log = logWithJob();
    REQUIRE(log.read(1).openJobs(Cluj).size() == 1);
    log.add(JobStartedRecord{RecordId("r1"), Cluj, FirstEpoch, JobId("j"), 0, {WorkerId("w1"), WorkerId("w2")}});
    GIVEN("a running gang")
    {
        const auto ledger = log.read(1);
        const auto *job = ledger.find(JobId("j"));
        CHECK(job->state_ == JobState::Running);
        CHECK(job->workers_ == std::vector{WorkerId("w1"), WorkerId("w2")});
        CHECK(job->submitted_ == timeAt(2));
    }
    GIVEN("a job that is preempted, moved, started in its new zone and finished")
    {
        log.add(JobPreemptedRecord{RecordId("p"), Cluj, FirstEpoch, JobId("j"), 1, milliseconds(500), "reclaimed"});
        CHECK(log.read(1).find(JobId("j"))->reason_ == "reclaimed");
        log.add(makeReassignment(RecordId("a2"), *log.read(1).find(JobId("j")), FirstEpoch, Brasov, 0, milliseconds(0)));
        CHECK(log.read(1).openJobs(Cluj).empty());
        const auto epoch = log.add(ClaimRecord{RecordId("c2"), Brasov, InstanceId("e2"), 0, {}});
        log.add(JobStartedRecord{RecordId("r2"), Brasov, epoch, JobId("j"), 2, {WorkerId("w3")}});
        log.add(JobFinishedRecord{RecordId("f"), Brasov, epoch, JobId("j"), 2, JobState::Finished, "done", 0, ""});
        const auto ledger = log.read(1);
        const auto *job = ledger.find(JobId("j"));
        CHECK(job->state_ == JobState::Finished);
        CHECK(job->zone_ == Brasov);
        CHECK(job->progress_ == milliseconds(500));
        CHECK(job->workers_.empty());
    }
    GIVEN("a cancelled job that is reported finished afterwards")
    {
        log.add(JobCancelledRecord{RecordId("x"), JobId("j"), "asked by caller"});
        log.add(JobFinishedRecord{RecordId("f"), Cluj, FirstEpoch, JobId("j"), 0, JobState::Finished, "done", 0, ""});
        THEN("the first final state stays")
        {
            CHECK(log.read(1).find(JobId("j"))->state_ == JobState::Cancelled);
        }
    }
}

SCENARIO("records of an epoch that is not in force change nothing", "[jobledger]")
{
    auto log = logWithJob();
    const auto second = log.add(ClaimRecord{RecordId("c2"), Cluj, InstanceId("e2"), FirstEpoch, {}});
    const auto before = describe(log.read(1));
    const auto record = GENERATE_COPY(values<Record>({
        JobStartedRecord{RecordId("r"), Cluj, FirstEpoch, JobId("j"), 5, {WorkerId("w")}},
        JobPreemptedRecord{RecordId("p"), Cluj, FirstEpoch, JobId("j"), 5, milliseconds(1), ""},
        JobFinishedRecord{RecordId("f"), Cluj, FirstEpoch, JobId("j"), 5, JobState::Failed, "", 0, ""},
        JobAssignedRecord{RecordId("a"), JobId("j"), Cluj, FirstEpoch, Brasov, 5, milliseconds(0), {}, {}},
        JobStartedRecord{RecordId("r"), Cluj, 0, JobId("j"), 5, {WorkerId("w")}},
        JobStartedRecord{RecordId("r"), Brasov, second, JobId("j"), 5, {WorkerId("w")}},
    }));
    log.add(record);
    CHECK(describe(log.read(1)) == before);
}

SCENARIO("ended jobs are removed after their retention", "[jobledger]")
{
    auto log = logWithJob();
    log.add(JobCancelledRecord{RecordId("x"), JobId("j"), ""});
    const JobLedgerOptions options{milliseconds(100), 100};
    REQUIRE(log.read(1, options).find(JobId("j")) != nullptr);
    for (auto i = 0; i < 11; ++i) {
        log.add(RenewalRecord{RecordId("n" + std::to_string(i)), Cluj, InstanceId("e1"), FirstEpoch, {}});
    }
    CHECK(log.read(1, options).find(JobId("j")) == nullptr);
}

SCENARIO("a reader of a truncated log is complete only for availability zones with a snapshot", "[jobledger]")
{
    auto log = logWithJob();
    const auto whole = log.read(1);
    GIVEN("no snapshot")
    {
        auto ledger = log.read(3);
        CHECK_FALSE(ledger.isComplete(Cluj));
        CHECK(ledger.snapshot(Cluj, "n", {}).empty());
    }
    GIVEN("a snapshot in several parts, one of them repeated")
    {
        JobLedgerOptions options;
        options.maxJobsPerRecord_ = 1;
        log.add(JobSubmittedRecord{RecordId("s2"), specOf("k")});
        auto parts = log.read(1, options).snapshot(Cluj, "snap", {{"train", 7}});
        REQUIRE(parts.size() == 2);
        const auto first = log.add(parts[1]);
        log.add(parts[1]);
        CHECK_FALSE(log.read(first).isComplete(Cluj));
        log.add(parts[0]);
        const auto ledger = log.read(first);
        CHECK(ledger.isComplete(Cluj));
        CHECK_FALSE(ledger.isComplete(Brasov));
        CHECK(describe(ledger) == describe(log.read(1)));
        CHECK(ledger.estimates(Cluj)["train"] == 7);
        CHECK_FALSE(ledger.isSnapshotDue(Cluj, timeAt(first), milliseconds(4'000)));
        CHECK(ledger.isSnapshotDue(Cluj, timeAt(first) + milliseconds(1'100), milliseconds(4'000)));
    }
    GIVEN("a snapshot that does not include all records before the first retained one")
    {
        const auto parts = log.read(1).snapshot(Cluj, "snap", {});
        log.add(JobCancelledRecord{RecordId("x"), JobId("j"), ""});
        const auto at = log.add(parts[0]);
        THEN("it is not used, since it lacks the cancellation")
        {
            CHECK_FALSE(log.read(at).isComplete(Cluj));
        }
    }
}

namespace
{
/// Writes a random log of current owners, stale owners, callers and repeated appends.
class RandomLog
{
public:
    explicit RandomLog(std::uint32_t seed)
        : random_(seed)
    {
        reference_.startReading(1);
        for (const auto &zone : zones_) {
            claim(zone);
        }
    }

    auto addRecords(int records) -> void
    {
        for (auto i = 0; i < records; ++i) {
            step();
        }
    }

    /// Appends a snapshot of every availability zone, each followed by more records.
    auto snapshotAll() -> void
    {
        for (const auto &zone : zones_) {
            takeSnapshot(zone);
            addRecords(10);
        }
        for (auto &part : std::exchange(delayed_, {})) {
            add(std::move(part));
        }
    }

    Log log_;
    std::vector<AvailabilityZoneId> zones_{AvailabilityZoneId("a"), AvailabilityZoneId("b"), AvailabilityZoneId("c")};

private:
    struct StaleOwner {
        AvailabilityZoneId zone_;
        Offset epoch_ = 0;
        std::vector<JobStatus> jobs_;
    };

    auto below(std::size_t limit) -> std::size_t
    {
        return std::uniform_int_distribution<std::size_t>(0, limit - 1)(random_);
    }

    auto newId() -> RecordId
    {
        return RecordId("r" + std::to_string(++ids_));
    }

    auto add(Record record) -> Offset
    {
        const auto offset = log_.add(record);
        reference_.apply(offset, timeAt(offset), record);
        return offset;
    }

    auto claim(const AvailabilityZoneId &zone) -> void
    {
        if (epochs_[zone] != 0) {
            stale_.push_back({zone, epochs_[zone], reference_.openJobs(zone)});
        }
        const auto supersedes = epochs_[zone];
        epochs_[zone] = add(ClaimRecord{newId(), zone, InstanceId("e"), supersedes, {}});
        // A concurrent claim that loses its race.
        if (below(2) == 0) {
            add(ClaimRecord{newId(), zone, InstanceId("f"), supersedes, {}});
        }
    }

    auto takeSnapshot(const AvailabilityZoneId &zone) -> void
    {
        for (auto &part : reference_.snapshot(zone, "snap" + std::to_string(++ids_), nlohmann::json::object())) {
            delayed_.emplace_back(std::move(part));
        }
    }

    auto step() -> void
    {
        const auto &zone = zones_[below(zones_.size())];
        const auto action = below(100);
        if (action < 15) {
            submit(zone);
        } else if (action < 60) {
            const auto jobs = reference_.openJobs(zone);
            if (!jobs.empty()) {
                change(jobs[below(jobs.size())], zone, epochs_[zone]);
            }
        } else if (action < 70 && !stale_.empty()) {
            const auto &stale = stale_[below(stale_.size())];
            if (!stale.jobs_.empty()) {
                change(stale.jobs_[below(stale.jobs_.size())], stale.zone_, stale.epoch_);
            }
        } else if (action < 75) {
            claim(zone);
        } else if (action < 80) {
            add(RenewalRecord{newId(), zone, InstanceId("e"), epochs_[zone], {}});
        } else if (action < 88) {
            // Repeats a recent record, as after a lost answer.
            add(log_.records_[log_.records_.size() - 1 - below(std::min<std::size_t>(30, log_.records_.size()))]);
        } else if (action < 92) {
            takeSnapshot(zone);
        } else if (!delayed_.empty()) {
            auto part = std::move(delayed_.front());
            delayed_.erase(delayed_.begin());
            add(std::move(part));
        }
    }

    auto submit(const AvailabilityZoneId &zone) -> void
    {
        const auto id = "j" + std::to_string(++ids_);
        add(JobSubmittedRecord{newId(), specOf(id)});
        if (below(4) != 0) {
            add(JobAssignedRecord{newId(), JobId(id), {}, 0, zone, 0, milliseconds(0), {}, {}});
        } else if (below(2) == 0) {
            add(JobCancelledRecord{newId(), JobId(id), "cancelled"});
        }
    }

    auto change(const JobStatus &job, const AvailabilityZoneId &zone, Offset epoch) -> void
    {
        const auto &id = job.spec_.id_;
        switch (below(6)) {
        case 0:
        case 1:
            add(JobStartedRecord{newId(), zone, epoch, id, job.attempt_, {WorkerId("w" + std::to_string(below(9)))}});
            break;
        case 2:
            add(JobPreemptedRecord{newId(), zone, epoch, id, job.attempt_ + 1, milliseconds(below(1'000)), "preempted"});
            break;
        case 3:
            add(makeReassignment(newId(), job, epoch, zones_[below(zones_.size())], 0, milliseconds(0)));
            break;
        case 4:
            add(JobFinishedRecord{newId(), zone, epoch, id, job.attempt_, JobState::Parked, "parked", 3, "quota"});
            break;
        default:
            add(JobFinishedRecord{newId(), zone, epoch, id, job.attempt_, JobState::Finished, "done", 0, ""});
        }
    }

    std::mt19937 random_;
    JobLedger reference_;
    std::map<AvailabilityZoneId, Offset> epochs_;
    std::vector<StaleOwner> stale_;
    std::vector<Record> delayed_;
    int ids_ = 0;
};
} // namespace

SCENARIO("a truncated log with snapshots gives the same state", "[jobledger]")
{
    const auto seed = GENERATE(range(1U, 61U));
    CAPTURE(seed);
    RandomLog random(seed);
    random.addRecords(150);
    random.snapshotAll();
    random.addRecords(150);
    const auto whole = random.log_.read(1);
    REQUIRE_FALSE(whole.jobs().empty());
    auto complete = 0;
    for (Offset first = 2; first <= random.log_.records_.size(); ++first) {
        auto ledger = random.log_.read(first);
        const auto isComplete = std::all_of(random.zones_.begin(), random.zones_.end(), [&](const AvailabilityZoneId &zone) {
            return ledger.isComplete(zone);
        });
        if (isComplete) {
            ++complete;
            const auto isSame = sameJobs(ledger, whole);
            CAPTURE(first, isSame ? "" : differences(describe(ledger), describe(whole)));
            REQUIRE(isSame);
        }
    }
    // Ensures that enough complete ledgers were compared.
    REQUIRE(complete >= 50);
}
