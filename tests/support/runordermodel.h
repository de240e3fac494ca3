#pragma once

#include "marjoramfold/dispatch/fleetscheduler.h"
#include "tests/support/contractworker.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Marjoramfold::Test
{
/// Parameters of a model run.
struct RunOrderSettings {
    std::uint32_t tasks_ = 1;
    std::chrono::milliseconds work_{1200};
    DispatchOptions options_;
    /// Times at which the world may be disturbed.
    std::vector<std::chrono::milliseconds> disturbedAt_;
    /// Calls that leave before this time may be disturbed.
    std::chrono::milliseconds callsDisturbedUntil_{0};
};

/// A broken rule.
struct RuleViolation {
    std::string text_;
    /// A call without a response was executed by a later life of its worker, which had not seen a higher fencing token.
    bool stray_ = false;
};

/// One job, two workers with room for one run each, and leaders in turn on a stepped clock, with chosen disturbances.
class RunOrderModel
{
public:
    /// `choose` selects what happens from a number of options; 0 is an undisturbed course.
    RunOrderModel(RunOrderSettings settings, std::function<unsigned(unsigned options)> choose);
    ~RunOrderModel();
    RunOrderModel(const RunOrderModel &) = delete;
    auto operator=(const RunOrderModel &) -> RunOrderModel & = delete;

    /// Plays until the job is complete, no run is left and no call is in flight.
    auto play() -> void;

    [[nodiscard]] auto violations() const -> const std::vector<RuleViolation> &;

    /// What happened, in order.
    [[nodiscard]] auto history() const -> std::string;

private:
    using Milliseconds = std::chrono::milliseconds;
    using Callback = std::function<void(CommandResponse)>;

    struct Leader {
        std::uint64_t epoch_ = 0;
        bool storeReachable_ = true;
        std::unique_ptr<FleetScheduler> scheduler_;
    };

    /// A worker with its list entry and what keeps calls from passing.
    struct Site {
        explicit Site(ContractWorker worker)
            : worker_(std::move(worker))
        {
        }

        ContractWorker worker_;
        std::optional<WorkerEntry> entry_;
        /// Until then the worker cannot write its entry.
        Milliseconds hiddenUntil_{0};
        Milliseconds requestsCutUntil_{-1};
        Milliseconds responsesCutUntil_{-1};
        unsigned cutLeader_ = 0;
        /// Calls that wait for the worker's next life.
        std::vector<std::function<void()>> nextLife_;
    };

    /// A call on its way; its response reaches the caller at most once.
    struct Call {
        std::string name_;
        std::weak_ptr<Leader> leader_;
        WorkerId worker_;
        unsigned lifeAtSend_ = 0;
        bool answered_ = false;
        bool responseLost_ = false;
        Milliseconds responseDelay_{4};
        Callback callback_;
    };
    using CallPointer = std::shared_ptr<Call>;

    auto at(Milliseconds time, std::function<void()> step) -> void;
    auto after(Milliseconds pause, std::function<void()> step) -> void;
    auto note(const std::string &text) -> void;
    auto violate(const std::string &text, bool stray) -> void;
    auto disturbWorld() -> void;
    auto restartWorker(Site &site, unsigned variant) -> void;
    auto listEntry(Site &site) -> void;
    auto unlistEntry(Site &site, Milliseconds duration) -> void;
    auto startLeader(Milliseconds previousRenewalsUntil) -> void;
    /// Stores what the current leader states of its leases, for the next one.
    auto storeStatement() -> void;
    auto tick(const std::weak_ptr<Leader> &leader) -> void;
    auto makeCalls(const std::weak_ptr<Leader> &leader) -> WorkerCalls;
    auto makeHooks(const std::weak_ptr<Leader> &leader) -> SchedulerHooks;
    auto send(const CallPointer &call, Milliseconds timeout, std::function<void(Site &, bool stray)> execute) -> void;
    auto respond(const CallPointer &call, const CommandResponse &response) -> void;
    auto reportWhenDue(const CallPointer &call, unsigned life, Milliseconds until) -> void;
    auto onStart(const CallPointer &call, const StartCommand &command, Site &site, bool stray) -> void;
    auto onAcknowledged(const ContractWorker::DoneEnd &end, bool stray) -> void;
    auto checkRuns() -> void;
    [[nodiscard]] auto isOver() const -> bool;

    RunOrderSettings settings_;
    std::function<unsigned(unsigned)> choose_;
    Milliseconds now_{1'000'000};
    std::multimap<Milliseconds, std::function<void()>> steps_;
    std::map<WorkerId, Site> sites_;
    std::vector<std::shared_ptr<Leader>> leaders_;
    Submission submission_;
    OperatorConfig config_;
    std::unordered_set<std::string> evacuatedZones_;
    std::map<std::string, std::string> progress_;
    std::map<std::string, std::uint64_t> progressOffsets_;
    std::uint64_t progressEnd_ = 0;
    std::shared_ptr<const LeaseStatement> statement_;
    Milliseconds statedAt_{0};
    JobPhase phase_ = JobPhase::Queued;
    /// Start times of each task and whether each start was stray.
    std::map<TaskRef, std::vector<std::pair<Milliseconds, bool>>> starts_;
    /// Tasks with an acknowledged successful end.
    std::map<TaskRef, bool> done_;
    /// The next leader has not begun yet.
    bool succession_ = false;
    unsigned callsInFlight_ = 0;
    Milliseconds disturbedUntil_{0};
    std::vector<RuleViolation> violations_;
    std::vector<std::string> history_;
};
} // namespace Marjoramfold::Test
