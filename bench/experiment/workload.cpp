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
/// Cores and memory of a worker that one accelerator brings along.
constexpr int CoresPerAccelerator = 14;
constexpr std::int64_t MemoryPerAcceleratorMb = 60'000;
/// Kinds of work that a team submits again and again.
constexpr int NamesPerTeam = 5;

/// Sizes of jobs.
enum class Size {
    Small,
    Medium,
    Large,
};

/// Builds jobs one at a time.
class WorkloadBuilder
{
public:
    WorkloadBuilder(Scenario &scenario, const WorkloadPlan &plan, Random &random)
        : scenario_(scenario)
        , plan_(plan)
        , random_(random)
        , hours_(std::chrono::duration<double, std::ratio<3600>>(scenario.loadEnd_ - SteadyTime{}).count())
    {
        for (const auto &team : plan.teams_) {
            totalWeight_ += team.weight_;
            largeWeight_ += team.large_ ? team.weight_ : 0;
        }
        // Typical run times per team, size and name; they are what estimates can learn.
        for (std::size_t i = 0; i < plan.teams_.size() * 3 * NamesPerTeam; ++i) {
            typicalMinutes_.push_back(random_.logUniform(0.5, 2.0));
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
        addWave(at(0.31));
        addWave(at(0.63));
        addImpossible();
        std::stable_sort(scenario_.jobs_.begin(), scenario_.jobs_.end(), [](const auto &left, const auto &right) {
            return left.submitted_ < right.submitted_;
        });
    }

private:
    auto at(double share) const -> SteadyTime
    {
        return SteadyTime{} + milliseconds(static_cast<std::int64_t>(hours_ * 3'600'000 * share));
    }

    auto pickTeam(bool large) -> std::size_t
    {
        auto left = random_.unit() * (large ? largeWeight_ : totalWeight_);
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
            spec.gangSize_ = random_.whole(1, 4 / perTask);
            spec.adjacency_ = spec.gangSize_ > 1 && random_.chance(0.5) ? Adjacency::Worker : Adjacency::None;
            break;
        case Size::Medium:
            perTask = random_.chance(0.5) ? 4 : 8;
            spec.gangSize_ = random_.whole(1, 3);
            spec.adjacency_ = spec.gangSize_ > 1 && random_.chance(0.4) ? Adjacency::Rack : Adjacency::None;
            break;
        case Size::Large:
            perTask = random_.chance(0.8) ? 8 : 2;
            spec.gangSize_ = random_.whole(4, plan_.largest_ / WorkerAccelerators) * WorkerAccelerators / perTask;
            spec.adjacency_ = spec.gangSize_ <= 5 && random_.chance(0.3) ? Adjacency::Rack : Adjacency::None;
            break;
        }
        // Declared memory is a whole number of GB per accelerator.
        constexpr std::int64_t Step = 1'000;
        const auto memory = static_cast<std::int64_t>(random_.logUniform(0.2, 0.9) * MemoryPerAcceleratorMb) / Step * Step;
        spec.task_ = {perTask, CoresPerAccelerator * perTask, memory * perTask};
    }

    auto makeJob(Size size, SteadyTime submitted) -> PlannedJob
    {
        const auto team = pickTeam(size == Size::Large);
        const auto name = random_.whole(0, NamesPerTeam - 1);
        const auto kind = static_cast<std::size_t>(size);
        const auto typical =
            static_cast<double>(plan_.typical_[kind].count()) * typicalMinutes_[(team * 3 + kind) * NamesPerTeam + static_cast<std::size_t>(name)];

        PlannedJob job;
        job.submitted_ = submitted;
        job.spec_.id_ = JobId("job" + std::to_string(scenario_.jobs_.size()));
        job.spec_.team_ = plan_.teams_[team].team_;
        job.spec_.name_ = std::string(size == Size::Small ? "proof" : size == Size::Medium ? "render" : "train") + std::to_string(name);
        shape(job.spec_, size);
        job.trueRunTime_ = milliseconds(static_cast<std::int64_t>(typical * random_.logUniform(0.8, 1.25) * 60'000));
        job.trueRunTime_ = std::min<milliseconds>(job.trueRunTime_, plan_.longest_);
        // Declared run times and memory are wrong by up to 10x either way.
        job.spec_.declaredRunTime_ = milliseconds(static_cast<std::int64_t>(static_cast<double>(job.trueRunTime_.count()) * random_.logUniform(0.1, 10)));
        const auto wrong = random_.chance(0.1) ? random_.logUniform(1, 10) : random_.logUniform(0.1, 1);
        const auto accelerators = std::max(1, job.spec_.task_.accelerators_);
        // More than the accelerators' share of a worker would make the job impossible.
        job.trueMemoryMb_ = std::min(static_cast<std::int64_t>(static_cast<double>(job.spec_.task_.memoryMb_) * wrong), MemoryPerAcceleratorMb * accelerators);
        job.spec_.checkpointable_ = !random_.chance(0.1);
        job.spec_.grace_ = random_.duration(seconds(1), seconds(4));
        if (random_.chance(0.05)) {
            const auto &zones = scenario_.rules_.front().rules_->zones_;
            job.spec_.allowedZones_ = {std::next(zones.begin(), random_.whole(0, static_cast<int>(zones.size()) - 1))->first};
        }
        if (random_.chance(0.2)) {
            job.spec_.priority_ = PriorityClass::Batch;
        }
        return job;
    }

    auto acceleratorHours(const PlannedJob &job) const -> double
    {
        return job.accelerators() * std::chrono::duration<double, std::ratio<3600>>(job.trueRunTime_).count();
    }

    auto addSteadyLoad() -> void
    {
        const auto total = plan_.load_ * plan_.capacity_ * hours_;
        const double shares[] = {1 - plan_.largeShare_ - plan_.mediumShare_, plan_.mediumShare_, plan_.largeShare_};
        for (const auto size : {Size::Small, Size::Medium, Size::Large}) {
            auto left = total * shares[static_cast<std::size_t>(size)];
            while (left > 0) {
                scenario_.jobs_.push_back(makeJob(size, at(random_.unit())));
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
                job.trueRunTime_ /= 3;
                scenario_.jobs_.push_back(job);
            }
        }
    }

    auto addWave(SteadyTime time) -> void
    {
        CancellationWave wave{time, {}};
        for (auto i = 0; i < plan_.wave_; ++i) {
            auto job = makeJob(i % 10 == 0 ? Size::Medium : Size::Small, time - random_.duration(seconds(1), minutes(15)));
            job.kind_ = PlannedJobKind::Cancelled;
            job.trueRunTime_ = std::max(job.trueRunTime_, milliseconds(minutes(30)));
            wave.jobs_.push_back(job.spec_.id_);
            scenario_.jobs_.push_back(job);
        }
        scenario_.cancellations_.push_back(wave);
    }

    auto addImpossible() -> void
    {
        for (auto i = 0; i < plan_.impossible_; ++i) {
            auto job = makeJob(Size::Medium, at(random_.unit()));
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
        // Jobs that ran for hours before the run begins, with the time that is left of them.
        for (auto left = plan_.backgroundTasks_; left > 0;) {
            left -= addBackgroundJob(std::min(left, random_.whole(16, 128)), SteadyTime{}, random_.duration(minutes(10), minutes(1'440)));
        }
        // As many arrive as end, so that the number of running tasks stays the same.
        const auto ending = static_cast<int>(plan_.backgroundTasks_ * hours_ / 24);
        for (auto left = ending; left > 0;) {
            left -= addBackgroundJob(std::min(left, random_.whole(16, 128)), at(random_.unit()), minutes(1'440));
        }
        for (auto left = plan_.backgroundAccelerators_; left > 0;) {
            auto job = makeJob(random_.chance(0.5) ? Size::Medium : Size::Small, SteadyTime{});
            job.kind_ = PlannedJobKind::Background;
            job.trueRunTime_ = random_.duration(minutes(10), minutes(240));
            left -= job.accelerators();
            scenario_.jobs_.push_back(job);
        }
    }

    auto addBackgroundJob(int tasks, SteadyTime submitted, milliseconds runTime) -> int
    {
        auto job = makeJob(Size::Small, submitted);
        job.kind_ = PlannedJobKind::Background;
        job.spec_.name_ = "batch" + std::to_string(random_.whole(0, NamesPerTeam - 1));
        job.spec_.gangSize_ = tasks;
        job.spec_.adjacency_ = Adjacency::None;
        job.spec_.allowedZones_.clear();
        job.spec_.priority_ = PriorityClass::Normal;
        job.spec_.task_ = {0, 8, 24'000};
        job.trueMemoryMb_ = std::min<std::int64_t>(job.trueMemoryMb_, 24'000);
        job.trueRunTime_ = runTime;
        scenario_.jobs_.push_back(job);
        return tasks;
    }

    Scenario &scenario_;
    const WorkloadPlan &plan_;
    Random &random_;
    double hours_;
    double totalWeight_ = 0;
    double largeWeight_ = 0;
    std::vector<double> typicalMinutes_;
};
} // namespace

auto Random::unit() -> double
{
    constexpr double Bits = 1.0 / 9007199254740992.0;
    return static_cast<double>(engine_() >> 11U) * Bits;
}

auto Random::whole(int low, int high) -> int
{
    return low + static_cast<int>(unit() * (high - low + 1));
}

auto Random::logUniform(double low, double high) -> double
{
    return low * std::pow(high / low, unit());
}

auto Random::chance(double probability) -> bool
{
    return unit() < probability;
}

auto Random::duration(milliseconds low, milliseconds high) -> milliseconds
{
    return low + milliseconds(static_cast<std::int64_t>(unit() * static_cast<double>((high - low).count())));
}

auto addWorkload(Scenario &scenario, const WorkloadPlan &plan, Random &random) -> void
{
    WorkloadBuilder(scenario, plan, random).build();
}
} // namespace Marjoramfold
