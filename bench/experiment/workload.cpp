#include "workload.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace Marjoramfold
{
namespace
{
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr int WorkerAccelerators = 8;
/// Share of a worker's cores and memory per accelerator.
constexpr int CoresPerAccelerator = 14;
constexpr std::int64_t MemoryPerAcceleratorMb = 60'000;
/// Number of job names per team and size; jobs with the same name have similar run times.
constexpr int NamesPerTeam = 5;

enum class Size {
    Small,
    Medium,
    Large,
};

/// Generates the jobs of a workload.
class WorkloadBuilder
{
public:
    WorkloadBuilder(Scenario &scenario, const WorkloadPlan &plan, Random &random)
        : scenario_(scenario)
        , plan_(plan)
        , random_(random)
        , loadHours_(std::chrono::duration<double, std::ratio<3600>>(scenario.loadEnd_ - SteadyTime{}).count())
    {
        for (const auto &team : plan.teams_) {
            totalWeight_ += team.weight_;
            largeWeight_ += team.large_ ? team.weight_ : 0;
        }
        // Run time factors per team, size and name: the regularity that learned estimates can exploit.
        for (std::size_t i = 0; i < plan.teams_.size() * 3 * NamesPerTeam; ++i) {
            runTimeFactors_.push_back(random_.logUniform(0.5, 2.0));
        }
    }

    auto build() -> void
    {
        addBackground();
        addSteadyLoad();
        addBurst(Size::Small, at(0.25), seconds(60), plan_.burstSmall_);
        addBurst(Size::Large, at(0.42), seconds(120), plan_.burstLarge_);
        addBurst(Size::Small, at(0.56), seconds(60), plan_.burstSmall_);
        addBurst(Size::Large, at(0.75), seconds(120), plan_.burstLarge_);
        addUrgent();
        addBulkCancellation(at(0.31));
        addBulkCancellation(at(0.63));
        addImpossible();
        std::stable_sort(scenario_.jobs_.begin(), scenario_.jobs_.end(), [](const auto &left, const auto &right) {
            return left.submitted_ < right.submitted_;
        });
    }

private:
    auto at(double share) const -> SteadyTime
    {
        return SteadyTime{} + milliseconds(static_cast<std::int64_t>(loadHours_ * 3'600'000 * share));
    }

    auto pickTeam(bool large) -> std::size_t
    {
        auto left = random_.uniform() * (large ? largeWeight_ : totalWeight_);
        for (std::size_t i = 0; i < plan_.teams_.size(); ++i) {
            left -= large && !plan_.teams_[i].large_ ? 0 : plan_.teams_[i].weight_;
            if (left < 0) {
                return i;
            }
        }
        return 0;
    }

    auto shape(JobSpec &spec, Size size) -> void
    {
        auto perTask = 1;
        switch (size) {
        case Size::Small:
            perTask = random_.chance(0.6) ? 1 : 2;
            spec.gangSize_ = random_.integer(1, 4 / perTask);
            spec.adjacency_ = spec.gangSize_ > 1 && random_.chance(0.5) ? Adjacency::Worker : Adjacency::None;
            break;
        case Size::Medium:
            perTask = random_.chance(0.5) ? 4 : 8;
            spec.gangSize_ = random_.integer(1, 3);
            spec.adjacency_ = spec.gangSize_ > 1 && random_.chance(0.4) ? Adjacency::Rack : Adjacency::None;
            break;
        case Size::Large:
            perTask = random_.chance(0.8) ? 8 : 2;
            spec.gangSize_ = random_.integer(4, plan_.largestGang_ / WorkerAccelerators) * WorkerAccelerators / perTask;
            spec.adjacency_ = spec.gangSize_ <= 5 && random_.chance(0.3) ? Adjacency::Rack : Adjacency::None;
            break;
        }
        // Declared memory is a multiple of 1 GB per accelerator.
        constexpr std::int64_t StepMb = 1'000;
        const auto memory = static_cast<std::int64_t>(random_.logUniform(0.2, 0.9) * MemoryPerAcceleratorMb) / StepMb * StepMb;
        spec.task_ = {perTask, CoresPerAccelerator * perTask, memory * perTask};
    }

    auto makeJob(Size size, SteadyTime submitted) -> PlannedJob
    {
        const auto team = pickTeam(size == Size::Large);
        const auto name = random_.integer(0, NamesPerTeam - 1);
        const auto kind = static_cast<std::size_t>(size);
        const auto typical =
            static_cast<double>(plan_.typicalRunTimes_[kind].count()) * runTimeFactors_[(team * 3 + kind) * NamesPerTeam + static_cast<std::size_t>(name)];

        PlannedJob job;
        job.submitted_ = submitted;
        job.spec_.id_ = JobId("job" + std::to_string(scenario_.jobs_.size()));
        job.spec_.team_ = plan_.teams_[team].team_;
        job.spec_.name_ = std::string(size == Size::Small ? "proof" : size == Size::Medium ? "render" : "train") + std::to_string(name);
        shape(job.spec_, size);
        job.actualRunTime_ = milliseconds(static_cast<std::int64_t>(typical * random_.logUniform(0.8, 1.25) * 60'000));
        job.actualRunTime_ = std::min<milliseconds>(job.actualRunTime_, plan_.maxRunTime_);
        // Declared run times and memory are up to 10 times too high or too low.
        job.spec_.declaredRunTime_ = milliseconds(static_cast<std::int64_t>(static_cast<double>(job.actualRunTime_.count()) * random_.logUniform(0.1, 10)));
        const auto actualShare = random_.chance(0.1) ? random_.logUniform(1, 10) : random_.logUniform(0.1, 1);
        const auto accelerators = std::max(1, job.spec_.task_.accelerators_);
        // Limited to the accelerators' share of a worker's memory, since more would make the job impossible to run.
        job.actualMemoryMb_ =
            std::min(static_cast<std::int64_t>(static_cast<double>(job.spec_.task_.memoryMb_) * actualShare), MemoryPerAcceleratorMb * accelerators);
        job.spec_.checkpointable_ = !random_.chance(0.1);
        job.spec_.grace_ = random_.duration(seconds(1), seconds(4));
        if (random_.chance(0.05)) {
            const auto &zones = scenario_.rules_.front().rules_->zones_;
            job.spec_.allowedZones_ = {std::next(zones.begin(), random_.integer(0, static_cast<int>(zones.size()) - 1))->first};
        }
        if (random_.chance(0.2)) {
            job.spec_.priority_ = PriorityClass::Batch;
        }
        return job;
    }

    auto acceleratorHours(const PlannedJob &job) const -> double
    {
        return job.accelerators() * std::chrono::duration<double, std::ratio<3600>>(job.actualRunTime_).count();
    }

    auto addSteadyLoad() -> void
    {
        const auto total = plan_.load_ * plan_.capacity_ * loadHours_;
        const double shares[] = {1 - plan_.largeShare_ - plan_.mediumShare_, plan_.mediumShare_, plan_.largeShare_};
        for (const auto size : {Size::Small, Size::Medium, Size::Large}) {
            auto left = total * shares[static_cast<std::size_t>(size)];
            while (left > 0) {
                scenario_.jobs_.push_back(makeJob(size, at(random_.uniform())));
                left -= acceleratorHours(scenario_.jobs_.back());
            }
        }
    }

    auto addBurst(Size size, SteadyTime from, milliseconds within, int count) -> void
    {
        for (auto i = 0; i < count; ++i) {
            scenario_.jobs_.push_back(makeJob(size, from + random_.duration(milliseconds(0), within)));
        }
    }

    auto addUrgent() -> void
    {
        const auto step = minutes(20);
        for (auto time = SteadyTime{} + minutes(15); time < scenario_.loadEnd_; time += step) {
            for (auto i = 0; i < plan_.urgent_; ++i) {
                auto job = makeJob(random_.chance(0.5) ? Size::Small : Size::Medium, time + random_.duration(seconds(0), seconds(300)));
                job.spec_.priority_ = PriorityClass::Urgent;
                job.spec_.gangSize_ = std::min(job.spec_.gangSize_, 2);
                job.spec_.allowedZones_.clear();
                job.spec_.name_ = "urgent";
                job.actualRunTime_ /= 3;
                scenario_.jobs_.push_back(job);
            }
        }
    }

    auto addBulkCancellation(SteadyTime time) -> void
    {
        BulkCancellation cancellation{time, {}};
        for (auto i = 0; i < plan_.cancellationSize_; ++i) {
            auto job = makeJob(i % 10 == 0 ? Size::Medium : Size::Small, time - random_.duration(seconds(1), minutes(15)));
            job.kind_ = PlannedJobKind::Cancelled;
            job.actualRunTime_ = std::max(job.actualRunTime_, milliseconds(minutes(30)));
            cancellation.jobs_.push_back(job.spec_.id_);
            scenario_.jobs_.push_back(job);
        }
        scenario_.cancellations_.push_back(cancellation);
    }

    auto addImpossible() -> void
    {
        for (auto i = 0; i < plan_.impossible_; ++i) {
            auto job = makeJob(Size::Medium, at(random_.uniform()));
            job.kind_ = i % 4 == 3 ? PlannedJobKind::Crashing : PlannedJobKind::Impossible;
            job.spec_.allowedZones_.clear();
            switch (i % 4) {
            case 0:
                job.spec_.task_.accelerators_ = 2 * WorkerAccelerators;
                break;
            case 1:
                job.spec_.gangSize_ = 3;
                job.spec_.task_.accelerators_ = WorkerAccelerators;
                job.spec_.adjacency_ = Adjacency::Worker;
                break;
            case 2:
                job.spec_.task_.memoryMb_ = 2'000'000;
                break;
            default:
                break;
            }
            scenario_.jobs_.push_back(job);
        }
    }

    auto addBackground() -> void
    {
        // Jobs that were started hours before the run; their run time is the remaining one.
        for (auto left = plan_.backgroundTasks_; left > 0;) {
            left -= addBackgroundJob(std::min(left, random_.integer(16, 128)), SteadyTime{}, random_.duration(minutes(10), minutes(1'440)));
        }
        // Jobs arrive at the rate at which they end, so that the number of running tasks stays constant.
        const auto ending = static_cast<int>(plan_.backgroundTasks_ * loadHours_ / 24);
        for (auto left = ending; left > 0;) {
            left -= addBackgroundJob(std::min(left, random_.integer(16, 128)), at(random_.uniform()), minutes(1'440));
        }
        for (auto left = plan_.backgroundAccelerators_; left > 0;) {
            auto job = makeJob(random_.chance(0.5) ? Size::Medium : Size::Small, SteadyTime{});
            job.kind_ = PlannedJobKind::Background;
            job.actualRunTime_ = random_.duration(minutes(10), minutes(240));
            left -= job.accelerators();
            scenario_.jobs_.push_back(job);
        }
    }

    auto addBackgroundJob(int tasks, SteadyTime submitted, milliseconds runTime) -> int
    {
        auto job = makeJob(Size::Small, submitted);
        job.kind_ = PlannedJobKind::Background;
        job.spec_.name_ = "batch" + std::to_string(random_.integer(0, NamesPerTeam - 1));
        job.spec_.gangSize_ = tasks;
        job.spec_.adjacency_ = Adjacency::None;
        job.spec_.allowedZones_.clear();
        job.spec_.priority_ = PriorityClass::Normal;
        job.spec_.task_ = {0, 8, 24'000};
        job.actualMemoryMb_ = std::min<std::int64_t>(job.actualMemoryMb_, 24'000);
        job.actualRunTime_ = runTime;
        scenario_.jobs_.push_back(job);
        return tasks;
    }

    Scenario &scenario_;
    const WorkloadPlan &plan_;
    Random &random_;
    double loadHours_;
    double totalWeight_ = 0;
    double largeWeight_ = 0;
    std::vector<double> runTimeFactors_;
};
} // namespace

auto Random::uniform() -> double
{
    constexpr double Bits = 1.0 / 9007199254740992.0;
    return static_cast<double>(engine_() >> 11U) * Bits;
}

auto Random::integer(int low, int high) -> int
{
    return low + static_cast<int>(uniform() * (high - low + 1));
}

auto Random::logUniform(double low, double high) -> double
{
    return low * std::pow(high / low, uniform());
}

auto Random::chance(double probability) -> bool
{
    return uniform() < probability;
}

auto Random::duration(milliseconds low, milliseconds high) -> milliseconds
{
    return low + milliseconds(static_cast<std::int64_t>(uniform() * static_cast<double>((high - low).count())));
}

auto addWorkload(Scenario &scenario, const WorkloadPlan &plan, Random &random) -> void
{
    WorkloadBuilder(scenario, plan, random).build();
}
} // namespace Marjoramfold
