// The settings that a platform fills in: every field of the templates, for deployments of any size.

#include "kumquathaven/settings/settings.h"

#include <doctest/doctest.h>

#include <array>
#include <cmath>
#include <fstream>
#include <functional>
#include <random>
#include <sstream>
#include <string>
#include <vector>

using namespace kumquathaven;
using namespace kumquathaven::settings;
using std::chrono::milliseconds;

namespace {

const std::string entry = R"(role: entry
instance: e1
region: r
failureDomain: d
listen: {callers: "127.0.0.1:8080", operators: "127.0.0.1:8081", link: "127.0.0.1:8082"}
linkSecret: sixteen-letters-or-more
platform:
  seeds: ["127.0.0.1:1"]
  serverList:
    address: "127.0.0.1:2"
)";

/// Reads settings with a line added: of the platform's section, or of one of its mappings.
std::string messageOf(const std::string &line, Settings &out)
{
    return orElse(
        [&]() -> Result<std::string> {
            BOOST_LEAF_ASSIGN(out, parseSettings(entry + line + "\n", "a.yaml"));
            return std::string();
        },
        [](const Error &e) {
            return e.message;
        });
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Replaces the placeholders of a template: sections of lists by one address, and values by \p
/// valueOf, which gets their names.
std::string fill(std::string text, const std::function<std::string(const std::string &)> &valueOf)
{
    const std::string seeds = R"({{#Seeds}}"{{.}}"{{,}}{{/Seeds}})";
    if (const auto at = text.find(seeds); at != std::string::npos)
        text.replace(at, seeds.size(), R"("10.0.0.1:80", "10.0.0.2:80")");
    for (auto at = text.find("{{"); at != std::string::npos; at = text.find("{{", at)) {
        const auto end = text.find("}}", at);
        const std::string value = valueOf(text.substr(at + 2, end - at - 2));
        text.replace(at, end + 2 - at, value);
        at += value.size();
    }
    return text;
}

/// Renders the section of a value: with the value, or without the section if there is none.
std::string withSection(std::string text, const std::string &name, bool hasValue)
{
    const std::string opening = "{{#" + name + "}}\n";
    const std::string closing = "{{/" + name + "}}\n";
    const auto from = text.find(opening);
    REQUIRE(from != std::string::npos);
    const auto to = text.find(closing, from);
    REQUIRE(to != std::string::npos);
    if (!hasValue)
        return text.erase(from, to + closing.size() - from);
    return text.erase(to, closing.size()).erase(from, opening.size());
}

bool isNumber(const std::string &name)
{
    return name.rfind("Bounds.", 0) == 0 || name.rfind("Limits.", 0) == 0 || name == "Cloud.LagMs"
        || name == "Cloud.RatePerS" || name == "Tolerate.Machines";
}

std::string plainValue(const std::string &name)
{
    if (name == "Listen.Front" || name == "Listen.Ready" || name == "Listen.Control"
        || name == "Listen.Directory" || name == "Cloud.Addr")
        return "10.0.0.9:8600";
    if (name == "Ip")
        return "10.0.0.9";
    if (name == "PortRange.0" || name == "PortRange.1")
        return "7600";
    if (name == "Bootstrap" || name == "Bounds.RequireFence")
        return "true";
    return "x";
}

std::string problemOf(const std::string &text)
{
    return orElse(
        [&]() -> Result<std::string> {
            BOOST_LEAF_CHECK(parseSettings(text, "a.yaml"));
            return std::string();
        },
        [](const Error &e) {
            return e.message;
        });
}

} // namespace

TEST_CASE("each number of a platform is taken with a fraction, at zero and at large deployments")
{
    struct Row
    {
        const char *line;
        std::function<double(const Platform &)> valueOf;
        double expected;
    };
    const auto ms = [](Duration d) {
        return toSeconds(d) * 1000;
    };
    const std::vector<Row> rows = {
        {"    callsPerSecond: 0.05",
         [](const auto &it) {
             return it.listCallsPerSecond;
         },
         0.05},
        {"    callsPerSecond: 4000000",
         [](const auto &it) {
             return it.listCallsPerSecond;
         },
         4e6},
        {"    lag: 800.5ms",
         [&](const auto &it) {
             return ms(it.listLag);
         },
         800.5},
        {"    lag: 0ms",
         [&](const auto &it) {
             return ms(it.listLag);
         },
         0},
        {"  lossesTolerated: 0",
         [](const auto &it) {
             return it.lossesTolerated;
         },
         0},
        {"  lossesTolerated: 400",
         [](const auto &it) {
             return it.lossesTolerated;
         },
         400},
        {"  lossesTolerated: 2.0",
         [](const auto &it) {
             return it.lossesTolerated;
         },
         2},
        {"  drainTime: 33.25ms",
         [&](const auto &it) {
             return ms(it.drainTime);
         },
         33.25},
        {"  drainTime: 4000000ms",
         [&](const auto &it) {
             return ms(it.drainTime);
         },
         4e6},
        {"  catchUpTime: 6s",
         [&](const auto &it) {
             return ms(it.catchUpTime);
         },
         6000},
        {"  stopGrace: 0.5s",
         [&](const auto &it) {
             return ms(it.stopGrace);
         },
         500},
        {"  inForceTime: 17000ms",
         [&](const auto &it) {
             return ms(it.inForceTime);
         },
         17000},
        {"  weightsTime: 8000.125ms",
         [&](const auto &it) {
             return ms(it.weightsTime);
         },
         8000.125},
        {"  orderLease: 3e3ms",
         [&](const auto &it) {
             return ms(it.orderLease);
         },
         3000},
        {"  maxEntriesTtl: 2.5s",
         [&](const auto &it) {
             return ms(it.maxEntriesTtl);
         },
         2500},
        {"  pacesServers: false",
         [](const auto &it) {
             return it.pacesServers ? 1 : 0;
         },
         0},
        {"  retries: {ratio: 0}",
         [](const auto &it) {
             return it.retryRatio;
         },
         0},
        {"  retries: {ratio: 0.2}",
         [](const auto &it) {
             return it.retryRatio;
         },
         0.2},
        {"  retries: {slack: 32.73684210526316}",
         [](const auto &it) {
             return it.retrySlack;
         },
         32.73684210526316},
        {"  retries: {slack: 0}",
         [](const auto &it) {
             return it.retrySlack;
         },
         0},
        {"  retries: {slack: 7500000}",
         [](const auto &it) {
             return it.retrySlack;
         },
         7.5e6},
        {"  retries: {window: 0.25s}",
         [&](const auto &it) {
             return ms(it.retryWindow);
         },
         250},
        {"  rollouts: {exposureShare: 0.05}",
         [](const auto &it) {
             return it.exposureShare;
         },
         0.05},
        {"  rollouts: {exposureSlack: 7500000.5}",
         [](const auto &it) {
             return it.exposureSlack;
         },
         7500000.5},
        {"  rollouts: {rollbackTime: 2500.5ms}",
         [&](const auto &it) {
             return ms(it.rollbackTime);
         },
         2500.5},
        {"  limitSlackTokens: 0",
         [](const auto &it) {
             return it.limitSlackTokens;
         },
         0},
        {"  limitSlackTokens: 10000.5",
         [](const auto &it) {
             return it.limitSlackTokens;
         },
         10000.5},
        {"  limitSlackTokens: 4.4e12",
         [](const auto &it) {
             return it.limitSlackTokens;
         },
         4.4e12},
        {"  processorShare: 0.09",
         [](const auto &it) {
             return it.processorShare;
         },
         0.09},
        {"  processorShare: 64",
         [](const auto &it) {
             return it.processorShare;
         },
         64},
        {"  memoryMb: 31.25",
         [](const auto &it) {
             return it.memoryMb;
         },
         31.25},
        {"  memoryMb: 2000000",
         [](const auto &it) {
             return it.memoryMb;
         },
         2e6},
        {"  maxDescriptors: 184",
         [](const auto &it) {
             return it.maxDescriptors;
         },
         184},
        {"  maxDescriptors: 102500.0",
         [](const auto &it) {
             return it.maxDescriptors;
         },
         102500},
    };
    for (const Row &it : rows) {
        CAPTURE(it.line);
        Settings settings;
        REQUIRE(messageOf(it.line, settings) == "");
        CHECK(it.valueOf(*settings.platform) == doctest::Approx(it.expected));
    }
}

TEST_CASE("a field that the platform has no value for has its default")
{
    for (const char *line :
         {"    callsPerSecond:", "  processorShare:", "  lossesTolerated:", "  limitSlackTokens: ",
          "  memoryMb:", "  maxDescriptors:", "  checksFencing:", "  firstStart:",
          "  retries: {slack: , ratio: }", "  drainTime:", "  retries:", "  rollouts:",
          "  rollouts: {exposureShare: , rollbackTime: }"}) {
        CAPTURE(line);
        Settings settings;
        CHECK(messageOf(line, settings) == "");
        CHECK(settings.platform->retrySlack == Platform().retrySlack);
        CHECK(settings.platform->drainTime == Platform().drainTime);
        CHECK(settings.platform->exposureShare == Platform().exposureShare);
        CHECK(settings.platform->rollbackTime == Platform().rollbackTime);
    }
}

TEST_CASE("numbers without a meaning are refused with the field, the value and what is allowed")
{
    const std::vector<std::pair<std::string, std::string>> rows = {
        {"  retries: {slack: -1}", R"(platform.retries.slack: "-1" is not a number from 0)"},
        {"  retries: {slack: nan}", R"(platform.retries.slack: "nan" is not a number)"},
        {"  retries: {slack: inf}", R"(platform.retries.slack: "inf" is not a number)"},
        {"  retries: {slack: 1e999}", R"(platform.retries.slack: "1e999" is not a number)"},
        {"  retries: {slack: 12 or so}", "is not a number"},
        {"  retries: {slack: [1]}", "platform.retries.slack: must be a single value"},
        {"  rollouts: {exposureShare: 1.5}",
         R"(platform.rollouts.exposureShare: "1.5" is not a number from 0)"},
        {"  rollouts: {exposureSlack: -1}", R"(exposureSlack: "-1" is not a number from 0)"},
        {"  rollouts: {rollbackTime: 5}", R"(rollbackTime: "5" is not a duration with a unit)"},
        {"  rollouts: {share: 1}", "platform.rollouts.share: unknown field; allowed are"},
        {"  limitSlackTokens: lots", R"(limitSlackTokens: "lots" is not a number from 0)"},
        {"  lossesTolerated: 1.5", R"(lossesTolerated: "1.5" is not a whole number from 0)"},
        {"  maxDescriptors: 0", R"(maxDescriptors: "0" is not a whole number from 64)"},
        {"  drainTime: 3", R"(drainTime: "3" is not a duration with a unit)"},
        {"  drainTime: -3s", "is not a duration with a unit"},
        {"  pacesServers: maybe", "pacesServers: must be true or false"},
        {"    callsPerSecond: 0", R"(callsPerSecond: "0" is not a number from)"},
        {"    address2: x", "address2: unknown field; allowed are"},
    };
    for (const auto &row : rows) {
        const std::string &line = row.first;
        const std::string &expected = row.second;
        CAPTURE(line);
        Settings settings;
        CHECK(messageOf(line, settings).find(expected) != std::string::npos);
    }
}

TEST_CASE("the templates of both roles take generated numbers of deployments of any size")
{
    std::mt19937_64 random(7);
    for (const char *name : {"entry", "control"}) {
        const std::string text = readFile(std::string(DEPLOY_DIR) + "/" + name + ".yaml");
        REQUIRE(!text.empty());
        for (int n = 0; n < 300; ++n) {
            const bool hasFractions = n % 2 == 1;
            // Not every platform has bounds of rollouts.
            const bool hasRollouts = n % 4 < 2;
            const std::string rendered = withSection(text, "Bounds.ExposureShare", hasRollouts);
            const std::string filled = fill(rendered, [&](const std::string &field) {
                // Identities of a process are always there; numbers may be of any size.
                if (!isNumber(field) || field == "Bounds.RequireFence")
                    return plainValue(field);
                if (field == "Tolerate.Machines")
                    return std::to_string(random() % 10);
                if (field == "Limits.MaxFds")
                    return std::to_string(100 + random() % 100'000);
                if (field == "Bounds.RetryRatio" || field == "Bounds.ExposureShare")
                    return std::to_string(static_cast<double>(random() % 1'000) / 1'000);
                const std::uint64_t whole = 2 + random() % 70'000;
                const std::string fraction = std::to_string(random() % 1'000'000);
                return std::to_string(whole) + (hasFractions ? "." + fraction : "");
            });
            CAPTURE(filled);
            REQUIRE(problemOf(filled) == "");
        }
    }
}
