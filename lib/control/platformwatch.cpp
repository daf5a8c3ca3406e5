#include "platformwatch.h"

#include "kumquathaven/telemetry/log.h"

#include <fstream>

namespace kumquathaven::control {

namespace {

Result<PlatformList> readPlatformList(const std::string &file)
{
    std::ifstream in(file, std::ios::binary);
    std::string text(maxPlatformListBytes + 1, '\0');
    in.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (!in.is_open() || in.bad())
        return fail({ErrorCode::Unavailable,
                     "control.platformList",
                     file,
                     "the file can not be read",
                     Outcome::NotRun,
                     {}});
    text.resize(static_cast<std::size_t>(in.gcount()));
    return parsePlatformList(text, file, {std::chrono::system_clock::now(), monotonicNow()});
}

} // namespace

void watchPlatformList(const settings::PlatformList &settings, const runtime::StopSignal &stop,
                       telemetry::Metrics &metrics,
                       const std::function<void(const PlatformList &)> &take)
{
    telemetry::Counter &unread = metrics.counter("kumquathaven_platform_list_unread_total",
                                                 "times that the platform's list was not usable");
    std::string problem;
    do {
        std::string present;
        orElse(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(list, readPlatformList(settings.file));
                take(list);
                return {};
            },
            [&](const Error &error) {
                present = describe(error);
                unread.add();
            });
        if (present.empty() != problem.empty())
            telemetry::logLine(telemetry::LogLevel::Warn, "platformList",
                               present.empty() ? "the list is usable again"
                                               : "the list is not usable",
                               {{"file", settings.file}, {"reason", present}});
        problem = present;
    } while (!stop.waitFor(settings.interval));
}

} // namespace kumquathaven::control
