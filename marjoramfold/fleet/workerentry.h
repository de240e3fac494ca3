#pragma once

#include "marjoramfold/core/ids.h"
#include "marjoramfold/fleet/jobplan.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Marjoramfold
{
/// What a worker says of itself in the platform's list.
struct WorkerEntry {
    WorkerId id_;
    /// HOST:PORT for orders.
    std::string address_;
    std::string pool_;
    AvailabilityZoneId zone_;
    RackId rack_;
    std::vector<std::string> labels_;
    ResourceVector capacity_;
    /// Unix milliseconds of the start of this life of the worker; it tells a restarted worker under the same id.
    std::uint64_t incarnation_ = 0;
    /// The worker's own clock when it wrote the entry.
    std::chrono::milliseconds clock_{0};
    /// The worker will leave and must get no new tasks.
    bool draining_ = false;
    /// Least time that is left to a draining worker.
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
    /// The other members of the gang did not come.
    GangIncomplete,
    /// The scheduler knows that the run is gone, but not how it ended.
    Lost,
};

/// Name of an end for logs.
[[nodiscard]] auto toString(RunOutcome kind) -> std::string_view;

/// A run that a worker lists as running.
struct ReportedRun {
    TaskRef task_;
    std::uint32_t run_ = 0;
    std::string checkpoint_;
    int percent_ = 0;
};

/// A run that a worker lists as ended.
struct ReportedRunEnd {
    /// Rises within a life of the worker; acknowledging a number makes the worker forget all ends up to it.
    std::uint64_t number_ = 0;
    TaskRef task_;
    std::uint32_t run_ = 0;
    RunOutcome kind_ = RunOutcome::Lost;
    std::string checkpoint_;
};

/// A worker's answer to a lease renewal.
struct WorkerReport {
    std::uint64_t incarnation_ = 0;
    std::chrono::milliseconds clock_{0};
    std::vector<ReportedRun> running_;
    std::vector<ReportedRunEnd> ended_;
};

/// An order to start a run of a task.
struct StartCommand {
    WorkerId worker_;
    std::string address_;
    TaskRef task_;
    std::uint32_t run_ = 0;
    std::string payload_;
    std::string checkpoint_;
    std::uint64_t fencingToken_ = 0;
    /// Time on the worker's clock until which its runs may go on.
    std::chrono::milliseconds leaseUntil_{0};
};

/// An order to stop a run.
struct StopCommand {
    WorkerId worker_;
    std::string address_;
    TaskRef task_;
    std::uint32_t run_ = 0;
    std::uint64_t fencingToken_ = 0;
};

/// A lease renewal that also asks for the worker's lists.
struct RenewCommand {
    WorkerId worker_;
    std::string address_;
    std::uint64_t fencingToken_ = 0;
    /// Ends up to this number are recorded and may be forgotten.
    std::uint64_t acknowledged_ = 0;
    /// Time on the worker's clock; 0 only asks and leaves the lease as it is.
    std::chrono::milliseconds leaseUntil_{0};
    /// How long the worker may wait for an end before it answers.
    std::chrono::milliseconds wait_{0};
    /// Do not reuse a connection, because the last one went silent.
    bool freshConnection_ = false;
};

/// What became of an order or renewal.
enum class CommandOutcome : std::uint8_t {
    Accepted,
    /// The worker has surely not done it and will not.
    Refused,
    /// As Refused, because the worker has seen a higher fencing token.
    Fenced,
    /// As Refused, because the lease time had passed on the worker's clock.
    LeaseExpired,
    /// As Refused, because another life of the worker answered.
    IncarnationChanged,
    /// No answer: the order may have been carried out, or may be later.
    Unknown,
};

/// Name of an outcome for logs.
[[nodiscard]] auto toString(CommandOutcome outcome) -> std::string_view;

/// The answer to an order.
struct CommandResponse {
    CommandOutcome outcome_ = CommandOutcome::Unknown;
    std::string reason_;
    /// Filled when the worker answered with them.
    std::uint64_t incarnation_ = 0;
    std::chrono::milliseconds clock_{0};
    WorkerReport report_;
};
} // namespace Marjoramfold
