#include "processmetrics.h"

#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

namespace kumquathaven::telemetry {

namespace {

prometheus::MetricFamily family(const std::string &name, const std::string &help,
                                prometheus::MetricType type, double value)
{
    prometheus::MetricFamily out;
    out.name = name;
    out.help = help;
    out.type = type;
    prometheus::ClientMetric metric;
    metric.gauge.value = value;
    metric.counter.value = value;
    out.metric.push_back(metric);
    return out;
}

double secondsOf(const timeval &it)
{
    return static_cast<double>(it.tv_sec) + static_cast<double>(it.tv_usec) * 1e-6;
}

} // namespace

std::vector<prometheus::MetricFamily> processFamilies()
{
    std::vector<prometheus::MetricFamily> out;
    std::ifstream file("/proc/self/statm");
    double pages = 0;
    double residentPages = 0;
    if (file >> pages >> residentPages)
        out.push_back(family("kumquathaven_process_resident_bytes", "memory in use",
                             prometheus::MetricType::Gauge,
                             residentPages * static_cast<double>(sysconf(_SC_PAGESIZE))));
    rusage use{};
    if (getrusage(RUSAGE_SELF, &use) == 0)
        out.push_back(family(
            "kumquathaven_process_cpu_seconds_total", "processor time taken since the start",
            prometheus::MetricType::Counter, secondsOf(use.ru_utime) + secondsOf(use.ru_stime)));
    return out;
}

} // namespace kumquathaven::telemetry
