#include "kumquathaven/telemetry/metrics.h"

#include "processmetrics.h"

#include <boost/histogram.hpp>
#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <limits>
#include <mutex>
#include <vector>

namespace kumquathaven::telemetry {

namespace {

namespace bh = boost::histogram;

constexpr std::size_t maxSeriesPerName = 2000;
constexpr double minSeconds = 1e-4;
constexpr double maxSeconds = 1e3;
constexpr unsigned binCount = 35;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using CountStorage = bh::dense_storage<bh::accumulators::count<std::uint64_t, true>>;

template <typename Series>
struct Family
{
    std::string help;
    std::map<Labels, std::unique_ptr<Series>> series;
};

template <typename Series>
using FamilyMap = std::map<std::string, Family<Series>>;

template <typename Series>
Series &seriesOf(FamilyMap<Series> &families, const std::string &name, const std::string &help,
                 const Labels &labels)
{
    auto &family = families[name];
    family.help = help;
    const bool isFull = family.series.size() >= maxSeriesPerName;
    const Labels &used = isFull && family.series.count(labels) == 0 ? Labels{} : labels;
    auto &slot = family.series[used];
    if (!slot)
        slot = std::make_unique<Series>();
    return *slot;
}

prometheus::ClientMetric withLabels(const Labels &labels)
{
    prometheus::ClientMetric metric;
    for (const auto &it : labels)
        metric.label.push_back({it.first, it.second});
    return metric;
}

prometheus::MetricFamily emptyFamily(const std::string &name, const std::string &help,
                                     prometheus::MetricType type)
{
    prometheus::MetricFamily family;
    family.name = name;
    family.help = help;
    family.type = type;
    return family;
}

} // namespace

struct Histogram::Bins
{
    bh::histogram<std::tuple<LogAxis>, CountStorage> counts = bh::make_histogram_with(
        CountStorage(), LogAxis(binCount, minSeconds, maxSeconds, "seconds"));
    std::atomic<std::uint64_t> sumMicroseconds{0};
};

struct Metrics::Families
{
    mutable std::mutex mutex;
    FamilyMap<Counter> counters;
    FamilyMap<Gauge> gauges;
    FamilyMap<Histogram> histograms;
};

namespace {

prometheus::ClientMetric::Histogram
cumulative(const bh::histogram<std::tuple<LogAxis>, CountStorage> &counts, double sum)
{
    prometheus::ClientMetric::Histogram out;
    std::uint64_t total = 0;
    for (auto &&it : bh::indexed(counts, bh::coverage::all)) {
        total += it->value();
        out.bucket.push_back({total, it.bin().upper()});
    }
    out.bucket.back().upper_bound = std::numeric_limits<double>::infinity();
    out.sample_count = total;
    out.sample_sum = sum;
    return out;
}

} // namespace

Histogram::Histogram()
    : m_bins(std::make_unique<Bins>())
{ }

Histogram::~Histogram() = default;

void Histogram::observe(double seconds)
{
    m_bins->counts(seconds);
    const double us = seconds > 0 ? seconds * 1e6 : 0;
    m_bins->sumMicroseconds.fetch_add(static_cast<std::uint64_t>(us), std::memory_order_relaxed);
}

Metrics::Metrics()
    : m_families(std::make_unique<Families>())
{ }

Metrics::~Metrics() = default;

Counter &Metrics::counter(const std::string &name, const std::string &help, const Labels &labels)
{
    const std::lock_guard<std::mutex> lock(m_families->mutex);
    return seriesOf(m_families->counters, name, help, labels);
}

Gauge &Metrics::gauge(const std::string &name, const std::string &help, const Labels &labels)
{
    const std::lock_guard<std::mutex> lock(m_families->mutex);
    return seriesOf(m_families->gauges, name, help, labels);
}

Histogram &Metrics::histogram(const std::string &name, const std::string &help,
                              const Labels &labels)
{
    const std::lock_guard<std::mutex> lock(m_families->mutex);
    return seriesOf(m_families->histograms, name, help, labels);
}

std::string Metrics::exposition() const
{
    const std::lock_guard<std::mutex> lock(m_families->mutex);
    std::vector<prometheus::MetricFamily> families = processFamilies();
    for (const auto &[name, family] : m_families->counters) {
        families.push_back(emptyFamily(name, family.help, prometheus::MetricType::Counter));
        for (const auto &[labels, series] : family.series) {
            auto metric = withLabels(labels);
            metric.counter.value = static_cast<double>(series->value());
            families.back().metric.push_back(std::move(metric));
        }
    }
    for (const auto &[name, family] : m_families->gauges) {
        families.push_back(emptyFamily(name, family.help, prometheus::MetricType::Gauge));
        for (const auto &[labels, series] : family.series) {
            auto metric = withLabels(labels);
            metric.gauge.value = series->value();
            families.back().metric.push_back(std::move(metric));
        }
    }
    for (const auto &[name, family] : m_families->histograms) {
        families.push_back(emptyFamily(name, family.help, prometheus::MetricType::Histogram));
        for (const auto &[labels, series] : family.series) {
            auto metric = withLabels(labels);
            const double sum = static_cast<double>(series->m_bins->sumMicroseconds.load()) * 1e-6;
            metric.histogram = cumulative(series->m_bins->counts, sum);
            families.back().metric.push_back(std::move(metric));
        }
    }
    return prometheus::TextSerializer().Serialize(families);
}

} // namespace kumquathaven::telemetry
