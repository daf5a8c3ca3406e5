#include "kumquathaven/settings/settings.h"

#include <doctest/doctest.h>

#include <filesystem>
#include <string>
#include <vector>

using namespace kumquathaven;
using namespace kumquathaven::settings;

namespace {

const std::string minimal = R"(role: entry
instance: e1
region: r
failureDomain: d
listen: {callers: "127.0.0.1:8080", operators: "127.0.0.1:8081", link: "127.0.0.1:8082"}
linkSecret: sixteen-letters-or-more
control:
  - {name: c1, failureDomain: d, link: "127.0.0.1:9001", operators: "127.0.0.1:9002"}
)";

std::string messageOf(const std::string &text)
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

std::string replaced(const std::string &from, const std::string &to)
{
    std::string text = minimal;
    text.replace(text.find(from), from.size(), to);
    return text;
}

} // namespace

TEST_CASE("minimal settings are valid and fields reach the struct")
{
    CHECK(messageOf(minimal) == "");
    const auto settings = orElse(
        [] {
            return parseSettings(minimal
                                     + "freshnessBound: 1500ms\nbounds: {maxBody: 2MiB}\n"
                                       "routing: {strategy: prefixHash}\n"
                                       "feedRelays: {directEntries: 2, children: 3}\n"
                                       "announce: {link: \"127.0.0.9:7400\"}\n",
                                 "a");
        },
        [](const Error &) {
            return Settings();
        });
    CHECK(settings.freshnessBound == std::chrono::milliseconds(1500));
    CHECK(settings.routingStrategy == RoutingStrategy::PrefixHash);
    CHECK(settings.bounds.maxBodyBytes == 2 * 1024 * 1024);
    CHECK(settings.feedRelays.directEntries == 2);
    CHECK(settings.feedRelays.children == 3);
    CHECK(toString(settings.members.at(0).operators) == "127.0.0.1:9002");
    CHECK(toString(reachableCallers(settings)) == "127.0.0.1:8080");
    CHECK(toString(reachableLink(settings)) == "127.0.0.9:7400");
}

TEST_CASE("each problem names file, line, field and what is allowed")
{
    struct Case
    {
        std::string text;
        std::string expected;
    };
    const std::vector<Case> cases{
        {minimal + "colour: red\n", "a.yaml:9: colour: unknown field; allowed are "},
        {minimal + "weight: many\n", "a.yaml:9: weight: \"many\" is not a whole number from 1"},
        {minimal + "freshnessBound: 5\n", "a.yaml:9: freshnessBound: \"5\" is not a duration"},
        {minimal + "freshnessBound: 5h\n", "is not a duration with a unit (ms, s, m) from 500ms"},
        {minimal + "bounds: {maxBody: 1GiB}\n", "a.yaml:9: bounds.maxBody: \"1GiB\" is not a size"},
        {minimal + "feedRelays: {directEntries: 0}\n", "feedRelays.directEntries: \"0\" is not"},
        {minimal + "bounds: 3\n", "a.yaml:9: bounds: must be a mapping"},
        {minimal + "routing: {strategy: best}\n",
         "a.yaml:9: routing.strategy: \"best\" is not one of expectedFirstToken, random, "},
        {minimal + "dataFolder: x\n", "a.yaml:9: dataFolder: is allowed only for role control"},
        {minimal + "announce: {link: here}\n", "announce.link: \"here\" is not an IP address"},
        {minimal + "platformList: {file: x}\n", "platformList: is allowed only for role control"},
        {minimal + "platformList: {maxAge: 1ms}\n", "platformList.file: is missing"},
        {replaced("role: entry", "role: king"), "role: \"king\" is not one of entry, control"},
        {replaced("127.0.0.1:8080", "here"), "listen.callers: \"here\" is not an IP address"},
        {replaced("sixteen-letters-or-more", "short"), "linkSecret: must have at least 16"},
        {replaced("instance: e1\n", ""), "instance: is missing"},
        {replaced("name: c1, ", ""), "a.yaml:8: control[0].name: is missing"},
        {"- 1\n", "the file must be a mapping"},
        {"a: [", "a.yaml:"},
    };
    for (const auto &it : cases) {
        CAPTURE(it.text);
        CHECK(messageOf(it.text).find(it.expected) != std::string::npos);
    }
}

TEST_CASE("every example is valid")
{
    int count = 0;
    for (const auto &it : std::filesystem::recursive_directory_iterator(EXAMPLES_DIR)) {
        if (it.path().filename().string().rfind("catalogue", 0) == 0
            || it.path().extension() != ".yaml")
            continue;
        ++count;
        const auto problem = orElse(
            [&]() -> Result<std::string> {
                BOOST_LEAF_CHECK(readSettings(it.path().string()));
                return std::string();
            },
            [](const Error &e) {
                return e.message;
            });
        CHECK(problem == "");
    }
    CHECK(count >= 4);
}
