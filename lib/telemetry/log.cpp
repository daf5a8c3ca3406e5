#include "kumquathaven/telemetry/log.h"

#include "linewriter.h"

#include <Poco/DateTimeFormatter.h>
#include <Poco/Timestamp.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <nlohmann/json.hpp>

#include <array>
#include <atomic>
#include <iostream>
#include <map>
#include <memory>
#include <string_view>

namespace kumquathaven::telemetry {

namespace {

/// When a process ends its log may take this long, so that its end is told.
constexpr Duration longestFlush = std::chrono::milliseconds(300);

/// Set once, before the first duty starts, and never taken away: duties log until the end.
std::atomic<LineWriter *> writer{nullptr};

std::string &instanceName()
{
    static std::string name;
    return name;
}

log4cplus::LogLevel libraryLevel(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warn:
        return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

log4cplus::LogLevel levelFromName(const std::string &name)
{
    static const std::map<std::string, LogLevel> levels{
        {"debug", LogLevel::Debug},
        {"info", LogLevel::Info},
        {"warn", LogLevel::Warn},
        {"error", LogLevel::Error},
    };
    const auto found = levels.find(name);
    return libraryLevel(found == levels.end() ? LogLevel::Info : found->second);
}

std::string_view nameOfLevel(LogLevel level)
{
    static constexpr std::array<std::string_view, 4> names = {"DEBUG", "INFO", "WARN", "ERROR"};
    return names[static_cast<std::size_t>(level)];
}

std::string textOf(LogLevel level, const std::string &duty, const std::string &message,
                   const LogFields &fields)
{
    nlohmann::ordered_json line;
    line["time"] = Poco::DateTimeFormatter::format(Poco::Timestamp(), "%Y-%m-%dT%H:%M:%S.%iZ");
    line["level"] = nameOfLevel(level);
    line["instance"] = instanceName();
    line["duty"] = duty;
    line["message"] = message;
    for (const auto &it : fields)
        line[it.first] = it.second;
    return line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace

void startLogging(const std::string &instance, const std::string &level,
                  std::uint32_t linesPerSecond)
{
    // The library must stay initialized until the process ends, since duties log until then.
    static const log4cplus::Initializer initializer;
    instanceName() = instance;
    // Lines come with their time, which is that of the event and not that of the writing.
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(false, false));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(LOG4CPLUS_TEXT("%m%n")));
    auto root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(levelFromName(level));
    const auto write = [root](const std::vector<WaitingLine> &lines) {
        for (const WaitingLine &it : lines)
            root.log(it.level, it.text);
        std::cout.flush();
    };
    const auto droppedLine = [](std::uint64_t n) {
        return WaitingLine{
            libraryLevel(LogLevel::Warn),
            textOf(LogLevel::Warn, "log", "lines were dropped", {{"lines", std::to_string(n)}})};
    };
    writer = std::make_unique<LineWriter>(linesPerSecond, write, droppedLine).release();
}

void logLine(LogLevel level, const std::string &duty, const std::string &message,
             const LogFields &fields)
{
    LineWriter *const to = writer;
    if (to == nullptr || !log4cplus::Logger::getRoot().isEnabledFor(libraryLevel(level)))
        return;
    const bool isFailure = level == LogLevel::Warn || level == LogLevel::Error;
    if (to->take(isFailure ? LineKind::Failure : LineKind::Success, monotonicNow()))
        to->push({libraryLevel(level), textOf(level, duty, message, fields)});
}

std::uint64_t droppedLogLines()
{
    const LineWriter *const it = writer;
    return it == nullptr ? 0 : it->dropped();
}

void flushLog()
{
    if (LineWriter *const it = writer)
        it->flush(longestFlush);
}

} // namespace kumquathaven::telemetry
