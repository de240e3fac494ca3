#pragma once

#include "marjoramfold/core/ids.h"
#include "marjoramfold/fleet/jobplan.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Marjoramfold
{
/// A worker's entry in the platform's worker list.
struct WorkerEntry {
    WorkerId id_;
    /// HOST:PORT for commands.
    std::string address_;
    std::string pool_;
    AvailabilityZoneId zone_;
    RackId rack_;
    std::vector<std::string> labels_;
    ResourceVector capacity_;
    /// Start time in Unix milliseconds; distinguishes incarnations of a worker with the same id.
    std::uint64_t incarnation_ = 0;
    /// The worker's clock when it wrote the entry.
    std::chrono::milliseconds clock_{0};
    /// The worker is going to shut down and must get no new tasks.
    bool draining_ = false;
    /// Minimum time until a draining worker shuts down.
    std::chrono::milliseconds remaining_{0};
};

/// How a run of a task ended.
enum class RunOutcome : std::uint8_t {
    Done,
    Failed,
    Stopped,
    /// The worker's lease ran out.
    LeaseExpired,
    /// Another member of the gang ended.
    GangMemberEnded,
    /// The other members of the gang did not start in time.
    GangIncomplete,
    /// The run no longer exists; how it ended is unknown.
    Lost,
};

/// Name of an outcome for logs.
[[nodiscard]] auto toString(RunOutcome kind) -> std::string_view;

/// An active run in a worker's report.
struct ReportedRun {
    TaskRef task_;
    std::uint32_t run_ = 0;
    std::string checkpoint_;
    int percent_ = 0;
};

/// An ended run in a worker's report.
struct ReportedRunEnd {
    /// Increases within a worker incarnation; acknowledging a number makes the worker delete all ends up to it.
    std::uint64_t number_ = 0;
    TaskRef task_;
    std::uint32_t run_ = 0;
    RunOutcome kind_ = RunOutcome::Lost;
    std::string checkpoint_;
};

/// A worker's report in its response to a lease renewal.
struct WorkerReport {
    std::uint64_t incarnation_ = 0;
    std::chrono::milliseconds clock_{0};
    std::vector<ReportedRun> running_;
    std::vector<ReportedRunEnd> ended_;
    /// The worker has further ends, which it reports once these are acknowledged.
    bool moreEnds_ = false;
};

/// Command to start a run of a task.
struct StartCommand {
    WorkerId worker_;
    std::string address_;
    TaskRef task_;
    std::uint32_t run_ = 0;
    std::string payload_;
    std::string checkpoint_;
    std::uint64_t fencingToken_ = 0;
    /// Lease end on the worker's clock; the worker's runs must stop by then unless the lease is renewed.
    std::chrono::milliseconds leaseUntil_{0};
};

/// Command to stop a run.
struct StopCommand {
    WorkerId worker_;
    std::string address_;
    TaskRef task_;
    std::uint32_t run_ = 0;
    std::uint64_t fencingToken_ = 0;
};

/// Lease renewal that also requests a report of the worker's runs.
struct RenewCommand {
    WorkerId worker_;
    std::string address_;
    std::uint64_t fencingToken_ = 0;
    /// Ends up to this number are stored and may be deleted by the worker.
    std::uint64_t acknowledged_ = 0;
    /// Lease end on the worker's clock; 0 only requests the report and leaves the lease unchanged.
    std::chrono::milliseconds leaseUntil_{0};
    /// Maximum time that the worker may wait for a run to end before it responds.
    std::chrono::milliseconds wait_{0};
    /// Open a new connection, because the previous one stopped responding.
    bool freshConnection_ = false;
    /// The worker has not reported each of its runs, so that another incarnation, with another clock, may run them.
    bool hasUnreportedRuns_ = false;
};

/// Outcome of a command or lease renewal.
enum class CommandOutcome : std::uint8_t {
    Accepted,
    /// The worker has not executed the command and never will.
    Refused,
    /// As Refused, because the worker has seen a higher fencing token.
    Fenced,
    /// As Refused, because the requested lease end had passed on the worker's clock.
    LeaseExpired,
    /// As Refused, because a worker with another id responded at the address.
    WorkerReplaced,
    /// As Refused, because no connection could be opened.
    NotConnected,
    /// No usable response: the command may have been executed or may be executed later.
    Unknown,
};

/// Name of an outcome for logs.
[[nodiscard]] auto toString(CommandOutcome outcome) -> std::string_view;

/// Response to a command.
struct CommandResponse {
    CommandOutcome outcome_ = CommandOutcome::Unknown;
    std::string reason_;
    /// The fields below are set only when the worker's response contains them.
    std::uint64_t incarnation_ = 0;
    std::chrono::milliseconds clock_{0};
    WorkerReport report_;
};
} // namespace Marjoramfold
