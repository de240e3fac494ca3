#include "marjoramfold/dispatch/workerspeeds.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <optional>
#include <string_view>
#include <tuple>
#include <utility>

namespace Marjoramfold
{
namespace
{
/// Weight of the assumption that a worker is ordinary, in samples. The spread of a sample is 0.3, that of workers 0.18 to 0.34 (natural
/// logarithm); the best weight, the ratio of the squares, is 0.8 to 2.7.
constexpr double OrdinaryWeight = 2.0;
/// Factor by which older samples count less with each new one: about half of a change shows after four samples, and the spread of an estimate
/// from many samples is 0.09.
constexpr double SampleDecay = 0.85;
/// Evidence beyond this changes an estimate by less than 4 %.
constexpr double MaxEvidence = 50;
/// Spread of the median of n samples relative to their mean's, squared: with few other tasks a sample counts less.
constexpr double MedianVariance = 1.57;
/// The median of fewer tasks may be that of a single outlier.
constexpr std::size_t MinOthers = 2;
/// A run that took 4.5 times as long as the other tasks is probably a task that is long itself: 3 % of the tasks take 7 times as long.
constexpr double MaxTaskRatio = 1.5;
/// Limit of one sample's influence; known workers differ by a factor of 2.2 at most.
constexpr double MaxSample = 1.0;
/// Width of the speed classes in the natural logarithm: workers within 12 % of an ordinary one are ordinary. Known workers that differ do so
/// by 20 % or more.
constexpr double ClassWidth = 0.25;
/// More workers than any known service has; bounds the memory for workers that are gone.
constexpr std::size_t MaxWorkers = 8192;

constexpr const char *RecordFormat = "worker-speeds-1";
constexpr const char *FormatField = "format";
constexpr const char *WorkersField = "workers";
/// Scales of the stored numbers, which are whole to keep the record small.
constexpr double StoredMeanScale = 100;
constexpr double StoredEvidenceScale = 10;

/// Reads a worker's stored mean and evidence; empty if they are malformed or out of range.
auto storedNumbers(const nlohmann::json &value) -> std::optional<std::pair<double, double>>
{
    if (!value.is_array() || value.size() != 2 || !value[0].is_number_integer() || !value[1].is_number_integer()) {
        return std::nullopt;
    }
    const auto mean = value[0].get<double>() / StoredMeanScale;
    const auto evidence = value[1].get<double>() / StoredEvidenceScale;
    if (std::abs(mean) > MaxSample || evidence <= 0 || evidence > MaxEvidence) {
        return std::nullopt;
    }
    return std::pair(mean, evidence);
}

auto medianOf(std::vector<double> values) -> double
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    if (values.size() % 2 == 1) {
        return *middle;
    }
    return (*middle + *std::max_element(values.begin(), middle)) / 2;
}
} // namespace

auto toString(SpeedClass speed) -> std::string_view
{
    switch (speed) {
    case SpeedClass::VeryFast:
        return "very_fast";
    case SpeedClass::Fast:
        return "fast";
    case SpeedClass::Ordinary:
        return "ordinary";
    case SpeedClass::Slow:
        return "slow";
    case SpeedClass::VerySlow:
        return "very_slow";
    }
    return "unknown";
}

auto speedClassOf(double relativeDuration) -> SpeedClass
{
    constexpr auto Ordinary = static_cast<double>(SpeedClass::Ordinary);
    const auto number = Ordinary + std::round(std::log(relativeDuration) / ClassWidth);
    return static_cast<SpeedClass>(std::clamp(number, 0.0, static_cast<double>(SpeedClassCount - 1)));
}

auto WorkerSpeeds::Estimate::add(double sample, double weight) -> void
{
    const auto former = SampleDecay * (1 - std::pow(SampleDecay, evidence_)) / (1 - SampleDecay);
    mean_ = (mean_ * former + sample * weight) / (former + weight);
    evidence_ = std::min(MaxEvidence, evidence_ + weight);
    update();
}

auto WorkerSpeeds::Estimate::update() -> void
{
    relativeDuration_ = std::exp(mean_ * evidence_ / (evidence_ + OrdinaryWeight));
}

auto WorkerSpeeds::relativeDuration(const WorkerId &worker) const -> double
{
    const auto found = estimates_.find(worker);
    return found == estimates_.end() ? 1.0 : found->second.relativeDuration_;
}

auto WorkerSpeeds::ordinaryDuration(const WorkerId &worker, std::chrono::milliseconds duration) const -> double
{
    return std::log(static_cast<double>(std::max<std::int64_t>(1, duration.count())) / relativeDuration(worker));
}

auto WorkerSpeeds::addSample(const WorkerId &worker, std::chrono::milliseconds duration, std::vector<double> others) -> bool
{
    if (duration.count() <= 0 || others.size() < MinOthers) {
        return false;
    }
    const auto count = static_cast<double>(others.size());
    const auto ratio = std::log(static_cast<double>(duration.count())) - medianOf(std::move(others));
    if (std::abs(ratio) > MaxTaskRatio) {
        return false;
    }
    auto &estimate = estimates_[worker];
    estimate.add(std::clamp(ratio, -MaxSample, MaxSample), count / (count + MedianVariance));
    estimate.lastSample_ = ++samples_;
    changed_ = true;
    if (estimates_.size() > MaxWorkers) {
        forgetOldest();
    }
    return true;
}

auto WorkerSpeeds::forgetOldest() -> void
{
    const auto oldest = std::min_element(estimates_.begin(), estimates_.end(), [](const auto &left, const auto &right) {
        return left.second.lastSample_ < right.second.lastSample_;
    });
    estimates_.erase(oldest);
}

auto WorkerSpeeds::isChanged() const -> bool
{
    return changed_;
}

auto WorkerSpeeds::countByClass() const -> std::array<std::size_t, SpeedClassCount>
{
    std::array<std::size_t, SpeedClassCount> counts{};
    for (const auto &[id, estimate] : estimates_) {
        ++counts.at(static_cast<std::size_t>(speedClassOf(estimate.relativeDuration_)));
    }
    return counts;
}

auto WorkerSpeeds::encode(std::size_t maxBytes) -> std::string
{
    changed_ = false;
    std::vector<std::pair<std::uint64_t, const WorkerId *>> latest;
    latest.reserve(estimates_.size());
    for (const auto &[id, estimate] : estimates_) {
        latest.emplace_back(estimate.lastSample_, &id);
    }
    std::sort(latest.begin(), latest.end(), [](const auto &left, const auto &right) {
        return left.first != right.first ? left.first > right.first : *left.second < *right.second;
    });
    while (true) {
        nlohmann::json workers = nlohmann::json::object();
        for (const auto &[sample, id] : latest) {
            const auto &estimate = estimates_.at(*id);
            workers[id->value()] = {std::lround(estimate.mean_ * StoredMeanScale), std::max(1L, std::lround(estimate.evidence_ * StoredEvidenceScale))};
        }
        const nlohmann::json record{{FormatField, RecordFormat}, {WorkersField, std::move(workers)}};
        // Ids that are no UTF-8 are stored changed, and are then those of no worker.
        auto text = record.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        if (text.size() <= maxBytes || latest.empty()) {
            return text;
        }
        latest.resize(latest.size() / 2);
    }
}

auto WorkerSpeeds::restore(const std::string &record) -> Result<std::size_t>
{
    const auto malformed = [](const char *reason) {
        return Error{ErrorKind::Malformed, reason, std::nullopt};
    };
    const auto document = nlohmann::json::parse(record, nullptr, false);
    if (!document.is_object()) {
        return malformed("the record of worker speeds is no JSON object");
    }
    const auto format = document.find(FormatField);
    const auto workers = document.find(WorkersField);
    if (format == document.end() || *format != RecordFormat || workers == document.end() || !workers->is_object()) {
        return malformed("the record of worker speeds has another format");
    }
    if (workers->size() > MaxWorkers) {
        return malformed("the record of worker speeds has too many workers");
    }
    std::unordered_map<WorkerId, Estimate> estimates;
    for (const auto &[id, value] : workers->items()) {
        const auto numbers = storedNumbers(value);
        if (!numbers) {
            return malformed("the record of worker speeds has a malformed worker");
        }
        auto &estimate = estimates[WorkerId(id)];
        std::tie(estimate.mean_, estimate.evidence_) = *numbers;
        estimate.update();
    }
    estimates_ = std::move(estimates);
    changed_ = false;
    return estimates_.size();
}
} // namespace Marjoramfold
