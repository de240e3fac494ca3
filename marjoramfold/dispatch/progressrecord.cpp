#include "marjoramfold/dispatch/progressrecord.h"

#include "marjoramfold/store/recordcodec.h"

#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <algorithm>
#include <charconv>
#include <set>
#include <string_view>
#include <vector>

namespace Marjoramfold
{
namespace
{
/// A task with progress, as stored in a progress record.
struct TaskProgress {
    std::uint32_t step_ = 0;
    std::uint32_t index_ = 0;
    bool done_ = false;
    std::set<std::uint32_t> failedRuns_;
    std::uint32_t lastRun_ = 0;
    WorkerId worker_;
    std::uint64_t workerIncarnation_ = 0;
    std::string checkpoint_;

    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(step_, index_, done_, failedRuns_, lastRun_, worker_, workerIncarnation_, checkpoint_);
    }
};

auto parseNumber(std::string_view text) -> std::optional<std::uint32_t>
{
    std::uint32_t number = 0;
    const auto *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, number);
    return error == std::errc() && rest == end ? std::optional(number) : std::nullopt;
}
} // namespace

auto toString(const ProgressKey &key) -> std::string
{
    // The first part has the key that the whole progress had before it was divided.
    const auto first = key.job_.value() + "." + std::to_string(key.occurrence_);
    return key.part_ == 0 ? first : first + "." + std::to_string(key.part_);
}

auto parseProgressKey(const std::string &text) -> std::optional<ProgressKey>
{
    const std::string_view view(text);
    const auto firstDot = view.find('.');
    if (firstDot == std::string_view::npos) {
        return std::nullopt;
    }
    const auto numbers = view.substr(firstDot + 1);
    const auto secondDot = numbers.find('.');
    const auto occurrence = parseNumber(numbers.substr(0, secondDot));
    const auto part = secondDot == std::string_view::npos ? std::optional(0U) : parseNumber(numbers.substr(secondDot + 1));
    if (!occurrence || !part) {
        return std::nullopt;
    }
    return ProgressKey{JobId(text.substr(0, firstDot)), *occurrence, *part};
}

auto progressPartOf(const JobPlan &plan, std::uint32_t step, std::uint32_t index) -> std::uint32_t
{
    std::uint32_t number = index;
    for (std::uint32_t earlier = 0; earlier < step; ++earlier) {
        number += plan.steps_[earlier].count_;
    }
    return number / TasksPerProgressRecord;
}

auto progressPartCount(const JobPlan &plan) -> std::uint32_t
{
    std::uint32_t tasks = 0;
    for (const auto &step : plan.steps_) {
        tasks += step.count_;
    }
    return std::max(1U, (tasks + TasksPerProgressRecord - 1) / TasksPerProgressRecord);
}

auto encodeProgress(const OccurrenceState &occurrence, std::uint32_t part, StoredCheckpoints checkpoints) -> std::string
{
    std::vector<TaskProgress> progressed;
    const std::size_t first = std::size_t(part) * TasksPerProgressRecord;
    const auto last = first + TasksPerProgressRecord;
    std::size_t stepBegin = 0;
    for (std::uint32_t step = 0; step < occurrence.steps_.size() && stepBegin < last; ++step) {
        const auto &tasks = occurrence.steps_[step].tasks_;
        const auto begin = std::max(first, stepBegin);
        const auto end = std::min(last, stepBegin + tasks.size());
        for (auto number = begin; number < end; ++number) {
            const auto index = static_cast<std::uint32_t>(number - stepBegin);
            const auto &task = tasks[index];
            if (task.hasProgress()) {
                const auto keepsCheckpoint = !task.done_ && checkpoints == StoredCheckpoints::All;
                progressed.push_back({step,
                                      index,
                                      task.done_,
                                      task.failedRuns_,
                                      task.lastRun_,
                                      task.worker_,
                                      task.workerIncarnation_,
                                      keepsCheckpoint ? task.checkpoint_ : std::string()});
            }
        }
        stepBegin += tasks.size();
    }
    return encodeRecordValue(progressed);
}

auto decodeProgress(const std::string &value, const JobPlan &plan, OccurrenceState &occurrence) -> Result<std::uint32_t>
{
    const auto decoded = decodeRecordValue<std::vector<TaskProgress>>(value);
    if (!isOk(decoded)) {
        return errorOf(decoded);
    }
    const auto &tasks = valueOf(decoded);
    const auto isUnknown = [&occurrence](const TaskProgress &progress) {
        return progress.step_ >= occurrence.steps_.size() || progress.index_ >= occurrence.steps_[progress.step_].tasks_.size();
    };
    if (std::any_of(tasks.begin(), tasks.end(), isUnknown)) {
        return Error{ErrorKind::Malformed, "the progress record names a task that the job does not have", std::nullopt};
    }
    std::uint32_t lastPart = 0;
    for (const auto &progress : tasks) {
        lastPart = std::max(lastPart, progressPartOf(plan, progress.step_, progress.index_));
        auto &step = occurrence.steps_[progress.step_];
        auto &task = step.tasks_[progress.index_];
        step.done_ -= task.done_ ? 1 : 0;
        task.done_ = progress.done_;
        task.failedRuns_ = progress.failedRuns_;
        task.lastRun_ = progress.lastRun_;
        task.worker_ = progress.worker_;
        task.workerIncarnation_ = progress.workerIncarnation_;
        task.checkpoint_ = progress.checkpoint_;
        step.done_ += task.done_ ? 1 : 0;
    }
    return lastPart;
}

auto unifyGang(StepState &step) -> void
{
    const auto isDone = std::any_of(step.tasks_.begin(), step.tasks_.end(), [](const TaskState &member) {
        return member.done_;
    });
    std::set<std::uint32_t> failedRuns;
    std::string checkpoint;
    for (const auto &member : step.tasks_) {
        failedRuns.insert(member.failedRuns_.begin(), member.failedRuns_.end());
        checkpoint = member.checkpoint_.empty() ? checkpoint : member.checkpoint_;
    }
    for (auto &member : step.tasks_) {
        member.done_ = isDone;
        member.failedRuns_ = failedRuns;
        member.checkpoint_ = checkpoint;
    }
    step.done_ = isDone ? static_cast<std::uint32_t>(step.tasks_.size()) : 0;
}
} // namespace Marjoramfold
