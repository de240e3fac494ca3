#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Marjoramfold
{
/// Name, help text and labels of a metric.
struct MetricDescription {
    /// Starts with "marjoramfold_". Counters end in "_total", histograms in "_seconds", "_bytes" or "_ratio".
    std::string name_;
    std::string help_;
    std::vector<std::string> labels_;
    /// Limit on series; further label values are counted in one series with the value "other" for every label.
    std::size_t maxSeries_ = 64;
};

/// All series of one metric. Thread-safe. References stay valid as long as the registry, so that hot paths can look up a series once.
template<typename Metric>
class MetricFamily
{
public:
    /// Called by MetricsRegistry.
    MetricFamily(prometheus::Family<Metric> &family, MetricDescription description, std::vector<double> buckets);

    /// The series with these label values, in the order of the labels. Throws std::invalid_argument for a wrong number of values.
    auto at(const std::vector<std::string> &values = {}) -> Metric &;

private:
    auto createSeries(const std::vector<std::string> &values) -> Metric &;

    prometheus::Family<Metric> &family_;
    MetricDescription description_;
    std::vector<double> buckets_;
    std::mutex mutex_;
    std::map<std::vector<std::string>, Metric *> series_;
};

using CounterFamily = MetricFamily<prometheus::Counter>;
using GaugeFamily = MetricFamily<prometheus::Gauge>;
using HistogramFamily = MetricFamily<prometheus::Histogram>;

/// The metrics of a process. Thread-safe.
class MetricsRegistry
{
public:
    /// Registers a counter; a repeated name returns the same family. Throws std::invalid_argument for a name without prefix or
    /// unit suffix, an empty help text, or a repeated name of another type.
    auto counter(const MetricDescription &description) -> CounterFamily &;

    /// Registers a gauge; as counter().
    auto gauge(const MetricDescription &description) -> GaugeFamily &;

    /// Registers a histogram with upper bounds of its buckets; as counter().
    auto histogram(const MetricDescription &description, const std::vector<double> &buckets) -> HistogramFamily &;

    /// All metrics in the Prometheus text format, as served at /metrics.
    [[nodiscard]] auto text() const -> std::string;

private:
    mutable std::mutex mutex_;
    prometheus::Registry registry_;
    std::map<std::string, std::unique_ptr<CounterFamily>> counters_;
    std::map<std::string, std::unique_ptr<GaugeFamily>> gauges_;
    std::map<std::string, std::unique_ptr<HistogramFamily>> histograms_;
};

/// Content type of MetricsRegistry::text().
constexpr const char *MetricsContentType = "text/plain; version=0.0.4; charset=utf-8";

/// Bucket bounds in seconds for times from 0.1 ms to 60 s.
[[nodiscard]] auto latencyBuckets() -> std::vector<double>;
} // namespace Marjoramfold
