// Counters, gauges and histograms of one process, and their text form for scraping.

#ifndef KUMQUATHAVEN_TELEMETRY_METRICS_H
#define KUMQUATHAVEN_TELEMETRY_METRICS_H

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace kumquathaven::telemetry {

/// Label names and values of one time series.
using Labels = std::map<std::string, std::string>;

/// A number that only grows.
class Counter
{
public:
    void add(std::uint64_t n = 1) { m_value.fetch_add(n, std::memory_order_relaxed); }
    std::uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value{0};
};

/// A number that goes up and down.
class Gauge
{
public:
    void set(double value) { m_value.store(value, std::memory_order_relaxed); }
    double value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<double> m_value{0};
};

/// The distribution of durations in seconds from 0.1 ms to 1000 s, five bins to each factor of ten.
class Histogram
{
public:
    Histogram();
    ~Histogram();
    Histogram(const Histogram &) = delete;
    Histogram &operator=(const Histogram &) = delete;

    /// Adds one duration.
    void observe(double seconds);

private:
    friend class Metrics;
    struct Bins;
    std::unique_ptr<Bins> m_bins;
};

/// All time series of a process. References stay valid as long as the registry; every function may
/// be called by any thread.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /// Returns the series with this name and these labels, and makes it on first use. The number of
    /// series of one name is bounded: past the bound, every new label set shares one series.
    Counter &counter(const std::string &name, const std::string &help, const Labels &labels = {});
    /// As counter().
    Gauge &gauge(const std::string &name, const std::string &help, const Labels &labels = {});
    Histogram &histogram(const std::string &name, const std::string &help,
                         const Labels &labels = {});

    /// Returns every series in the Prometheus text format.
    std::string exposition() const;

private:
    struct Families;
    std::unique_ptr<Families> m_families;
};

} // namespace kumquathaven::telemetry

#endif // KUMQUATHAVEN_TELEMETRY_METRICS_H
