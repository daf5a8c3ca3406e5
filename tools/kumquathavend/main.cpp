// The daemon: reads its settings and runs the role they name until it is told to end.

#include "kumquathaven/budget/peerbudget.h"
#include "kumquathaven/control/controlrole.h"
#include "kumquathaven/entry/entryrole.h"
#include "kumquathaven/gateway/gatewayrole.h"
#include "kumquathaven/runtime/stoprequest.h"
#include "kumquathaven/settings/settings.h"
#include "kumquathaven/telemetry/log.h"
#include "platform/dialect.h"

#include <popt.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <optional>
#include <string>
#include <thread>

using namespace kumquathaven;

namespace {

// Exit codes, which scripts may rely on.
constexpr int exitOk = 0;
constexpr int exitFailed = 1;
constexpr int exitUsage = 2;
constexpr int exitSettings = 3;

constexpr Duration signalPollInterval = std::chrono::milliseconds(100);

runtime::StopRequest stopRequest;

void requestStop(int)
{
    stopRequest.request(monotonicNow());
}

struct Arguments
{
    std::string settingsFile;
    bool checkOnly = false;
};

// Reads the command line. Returns nothing after printing what is wrong with it.
std::optional<Arguments> readArguments(int argc, const char **argv)
{
    char *file = nullptr;
    int check = 0;
    const poptOption options[] = {
        {"settings", 's', POPT_ARG_STRING, &file, 0, "the YAML settings of this instance", "FILE"},
        {"check", 'c', POPT_ARG_NONE, &check, 0, "check the settings and end", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("kumquathavend", argc, argv, options, 0);
    const int rc = poptGetNextOpt(context);
    std::optional<Arguments> arguments;
    if (rc < -1)
        std::fprintf(stderr, "kumquathavend: %s: %s\n",
                     poptBadOption(context, POPT_BADOPTION_NOALIAS), poptStrerror(rc));
    else if (file == nullptr || poptPeekArg(context) != nullptr)
        std::fprintf(stderr, "usage: kumquathavend --settings FILE [--check]\n");
    else
        arguments = Arguments{file, check != 0};
    std::free(file);
    poptFreeContext(context);
    return arguments;
}

int failStart(const Error &error)
{
    telemetry::logLine(telemetry::LogLevel::Error, "main", "start failed",
                       {{"reason", describe(error)}});
    return exitFailed;
}

int runEntry(const settings::Settings &settings)
{
    entry::EntryRole role(settings);
    return orElse(
        [&]() -> Result<int> {
            BOOST_LEAF_CHECK(role.start());
            while (!stopRequest.requestedAt() && !role.drainRequested())
                std::this_thread::sleep_for(signalPollInterval);
            role.drainAndStop();
            return exitOk;
        },
        failStart);
}

int runGateway(const settings::Settings &settings)
{
    gateway::GatewayRole role(settings, platform::dialect(), stopRequest);
    return orElse(
        [&]() -> Result<int> {
            BOOST_LEAF_CHECK(role.start());
            while (!stopRequest.requestedAt())
                std::this_thread::sleep_for(signalPollInterval);
            role.drainAndStop();
            return exitOk;
        },
        failStart);
}

int runControl(const settings::Settings &settings)
{
    control::ControlRole role(settings, settings.platform ? &platform::dialect() : nullptr);
    return orElse(
        [&]() -> Result<int> {
            BOOST_LEAF_CHECK(role.start());
            while (!stopRequest.requestedAt())
                std::this_thread::sleep_for(signalPollInterval);
            role.stop();
            return exitOk;
        },
        failStart);
}

int runRole(const settings::Settings &settings)
{
    if (settings.role == settings::Role::Control)
        return runControl(settings);
    return settings.platform ? runGateway(settings) : runEntry(settings);
}

int run(const Arguments &arguments)
{
    std::string problem;
    const auto settings = orElse(
        [&]() -> Result<settings::Settings> {
            return settings::readSettings(arguments.settingsFile);
        },
        [&](const Error &error) {
            problem = error.message;
            return settings::Settings();
        });
    if (!problem.empty()) {
        std::fprintf(stderr, "%s\n", problem.c_str());
        return exitSettings;
    }
    if (arguments.checkOnly) {
        std::printf("%s: ok\n", arguments.settingsFile.c_str());
        return exitOk;
    }
    telemetry::startLogging(settings.instance, settings.logLevel, settings.logLinesPerSecond);
    const int code = runRole(settings);
    telemetry::flushLog();
    // All duties have ended. exit() would wait for the lock of standard output, which the writer of
    // the log holds for as long as nobody reads what it writes.
    std::_Exit(code);
}

} // namespace

int main(int argc, const char **argv)
{
    const auto arguments = readArguments(argc, argv);
    if (!arguments)
        return exitUsage;
    std::signal(SIGTERM, requestStop);
    std::signal(SIGINT, requestStop);
    std::signal(SIGPIPE, SIG_IGN);
    // Settings are read at the start; a platform tells of other seeds by this signal, which running
    // processes learn from control as well.
    std::signal(SIGHUP, SIG_IGN);
    budget::returnMemoryEarly();
    return run(*arguments);
}
