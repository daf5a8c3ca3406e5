#include "explain.h"

#include <doctest/doctest.h>

#include <sstream>

using namespace kumquathaven;
using namespace kumquathaven::ctl;

namespace {

std::string line(const std::string &time, const std::string &instance, const std::string &duty,
                 const std::string &more)
{
    return R"({"time":"2026-12-04T10:00:)" + time + R"(Z","instance":")" + instance
        + R"(","duty":")" + duty + '"' + more + "}\n";
}

std::vector<LogRecord> recordsOf(const std::string &text)
{
    std::istringstream in(text);
    return readRecords(in);
}

} // namespace

TEST_CASE("a request's story goes over several processes, with what they believed")
{
    const std::string text = line("05.100", "entry-2", "request", R"(,"id":"a1","message":"sent")")
        + line("03.000", "entry-1", "request", R"(,"id":"a1","message":"refused")")
        + line("03.000", "entry-1", "request", R"(,"id":"b2","message":"sent")")
        + line("02.500", "entry-1", "store", R"(,"message":"store lost")")
        + line("00.900", "control-1", "log", R"(,"message":"too early")")
        + line("09.000", "control-1", "log", R"(,"message":"too late")");
    const Explanation it = explain(recordsOf(text), "a1", std::chrono::seconds(2));
    REQUIRE(it.story.size() == 2);
    CHECK(it.story[0].instance == "entry-1");
    CHECK(it.story[1].instance == "entry-2");
    REQUIRE(it.beliefs.size() == 1);
    CHECK(it.beliefs[0].duty == "store");
}

TEST_CASE("an id that nobody logged has no story")
{
    const auto records = recordsOf(line("01.000", "entry-1", "store", ""));
    CHECK(explain(records, "a1", std::chrono::seconds(2)).story.empty());
}

TEST_CASE("lines of others and prefixes of collectors are passed over")
{
    const std::string text = "rubbish\n{\"broken\n[1,2]\n{\"time\":5}\n12.5 s entry-1: "
        + line("01.000", "entry-1", "request", R"(,"id":"a1")");
    CHECK(recordsOf(text).size() == 1);
}
