#include "marjoramfold/observability/metrics.h"

#include <prometheus/text_serializer.h>

#include <algorithm>
#include <array>
#include <initializer_list>
#include <sstream>
#include <stdexcept>
#include <string_view>

namespace Marjoramfold
{
namespace
{
constexpr std::string_view Prefix = "marjoramfold_";
constexpr std::string_view OtherValue = "other";

auto require(bool condition, const std::string &name, const std::string &reason) -> void
{
    if (!condition) {
        throw std::invalid_argument("metric " + name + ": " + reason);
    }
}

auto checkDescription(const MetricDescription &description, std::initializer_list<std::string_view> suffixes) -> void
{
    const auto &name = description.name_;
    require(name.starts_with(Prefix), name, "the name must start with marjoramfold_");
    require(!description.help_.empty(), name, "the help text is missing");
    require(description.maxSeries_ > 0, name, "the limit on series must be above 0");
    const auto hasUnitSuffix = suffixes.size() == 0 || std::any_of(suffixes.begin(), suffixes.end(), [&name](std::string_view suffix) {
                                   return name.ends_with(suffix);
                               });
    require(hasUnitSuffix, name, "the unit suffix is missing");
}

/// The family registered under a name, or a new one.
template<typename Metric, typename Builder>
auto findOrRegister(std::map<std::string, std::unique_ptr<MetricFamily<Metric>>> &families,
                    const MetricDescription &description,
                    prometheus::Registry &registry,
                    Builder builder,
                    const std::vector<double> &buckets) -> MetricFamily<Metric> &
{
    auto &family = families[description.name_];
    if (!family) {
        auto &registered = builder.Name(description.name_).Help(description.help_).Register(registry);
        family = std::make_unique<MetricFamily<Metric>>(registered, description, buckets);
    }
    return *family;
}
} // namespace

template<typename Metric>
MetricFamily<Metric>::MetricFamily(prometheus::Family<Metric> &family, MetricDescription description, std::vector<double> buckets)
    : family_(family)
    , description_(std::move(description))
    , buckets_(std::move(buckets))
{
}

template<typename Metric>
auto MetricFamily<Metric>::at(const std::vector<std::string> &values) -> Metric &
{
    require(values.size() == description_.labels_.size(), description_.name_, "the number of label values differs from the number of labels");
    const std::lock_guard lock(mutex_);
    if (const auto found = series_.find(values); found != series_.end()) {
        return *found->second;
    }
    if (series_.size() + 1 < description_.maxSeries_ || values.empty()) {
        return createSeries(values);
    }
    const std::vector<std::string> otherValues(values.size(), std::string(OtherValue));
    const auto found = series_.find(otherValues);
    return found != series_.end() ? *found->second : createSeries(otherValues);
}

template<typename Metric>
auto MetricFamily<Metric>::createSeries(const std::vector<std::string> &values) -> Metric &
{
    prometheus::Labels labels;
    for (std::size_t i = 0; i < values.size(); ++i) {
        labels[description_.labels_[i]] = values[i];
    }
    Metric *metric = nullptr;
    if constexpr (std::is_same_v<Metric, prometheus::Histogram>) {
        metric = &family_.Add(labels, buckets_);
    } else {
        metric = &family_.Add(labels);
    }
    series_[values] = metric;
    return *metric;
}

template class MetricFamily<prometheus::Counter>;
template class MetricFamily<prometheus::Gauge>;
template class MetricFamily<prometheus::Histogram>;

auto MetricsRegistry::counter(const MetricDescription &description) -> CounterFamily &
{
    checkDescription(description, {"_total"});
    const std::lock_guard lock(mutex_);
    return findOrRegister<prometheus::Counter>(counters_, description, registry_, prometheus::BuildCounter(), {});
}

auto MetricsRegistry::gauge(const MetricDescription &description) -> GaugeFamily &
{
    checkDescription(description, {});
    require(!description.name_.ends_with("_total"), description.name_, "a gauge must not end in _total");
    const std::lock_guard lock(mutex_);
    return findOrRegister<prometheus::Gauge>(gauges_, description, registry_, prometheus::BuildGauge(), {});
}

auto MetricsRegistry::histogram(const MetricDescription &description, const std::vector<double> &buckets) -> HistogramFamily &
{
    checkDescription(description, {"_seconds", "_bytes", "_ratio"});
    require(!buckets.empty() && std::is_sorted(buckets.begin(), buckets.end()), description.name_, "the bucket bounds are missing or not ascending");
    const std::lock_guard lock(mutex_);
    return findOrRegister<prometheus::Histogram>(histograms_, description, registry_, prometheus::BuildHistogram(), buckets);
}

auto MetricsRegistry::text() const -> std::string
{
    std::ostringstream stream;
    prometheus::TextSerializer().Serialize(stream, registry_.Collect());
    return std::move(stream).str();
}

auto latencyBuckets() -> std::vector<double>
{
    return {0.0001, 0.0003, 0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1, 3, 10, 30, 60};
}
} // namespace Marjoramfold
