// The platform's list of servers with entries of another writer, and what answers of servers say
// about the servers themselves.

#include "platform/dialect.h"
#include "platform/jsontext.h"

#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

using namespace kumquathaven;
using namespace kumquathaven::deployment;

namespace {

const std::string good =
    R"({"Id":"i-1","Service":"lm","Addr":"10.0.0.9:8080","Zone":"z","State":"ready"})";

std::string goodBut(const std::string &field, const std::string &value)
{
    std::string entry = good;
    entry.insert(1, "\"" + field + "\":" + value + ",");
    // The last of two equal names counts, so that the original field is removed.
    const auto at = entry.find(",\"" + field + "\"", 2);
    if (at != std::string::npos) {
        const auto end = entry.find_first_of(",}", entry.find(':', at + 1) + 1);
        entry.erase(at, entry.find_first_of(",}", end) - at);
    }
    return entry;
}

ListPage pageWith(const std::string &entry)
{
    return orElse(
        [&] {
            return platform::dialect().servers.readListPage("{\"Instances\":[" + good + "," + entry
                                                            + "],\"Next\":null}");
        },
        [](const Error &) {
            return ListPage();
        });
}

AnswerHead answer(int status, const std::string &name, const std::string &value)
{
    return platform::dialect().requests.readAnswer(status, {{name, value}});
}

} // namespace

TEST_CASE("an entry that cannot be used is skipped and the other entries are read")
{
    constexpr std::size_t deep = 100'000;
    const std::vector<std::pair<const char *, std::string>> rows = {
        {"nested deeply", goodBut("More", std::string(deep, '[') + "1" + std::string(deep, ']'))},
        {"nested deeply in objects",
         [&] {
             std::string text;
             for (std::size_t n = 0; n < deep; ++n)
                 text += "{\"a\":";
             return goodBut("More", text + "1" + std::string(deep, '}'));
         }()},
        {"a number past any range", goodBut("Slots", "1e999")},
        {"a negative number of slots", goodBut("Slots", "-3")},
        {"a negative start", goodBut("born", "-1")},
        {"a start past 64 bits", goodBut("born", "123456789012345678901234567890")},
        {"port 0", goodBut("Addr", R"("10.0.0.9:0")")},
        {"port 65536", goodBut("Addr", R"("10.0.0.9:65536")")},
        {"port -1", goodBut("Addr", R"("10.0.0.9:-1")")},
        {"no port", goodBut("Addr", R"("10.0.0.9")")},
        {"a name for an address", goodBut("Addr", R"("server.example:80")")},
        {"an address of another type", goodBut("Addr", "8080")},
        {"a state of another type", goodBut("State", "1")},
        {"an unknown state", goodBut("State", R"("odd")")},
        {"a name of a megabyte", goodBut("Id", "\"" + std::string(1'000'000, 'x') + "\"")},
        {"bytes that are no UTF-8", goodBut("Id", "\"\xff\xfe\"")},
        {"a control character in a name", goodBut("Id", "\"a\nb\"")},
        {"models of another type", goodBut("Models", "7")},
        {"a model of another type", goodBut("Models", R"([{"Name":1,"Version":2}])")},
        {"a version past 64 bits", goodBut("Models", R"([{"Name":"m","Version":1e30}])")},
        {"not an object", "17"},
        {"a word", "nothing"},
        {"an empty element", ""},
        {"null", "null"},
        {"an array", "[[[]]]"},
    };
    for (const auto &row : rows) {
        const char *name = row.first;
        const std::string &entry = row.second;
        CAPTURE(name);
        const ListPage page = pageWith(entry);
        REQUIRE(page.servers.size() == 1);
        CHECK(page.servers[0].id == "i-1");
        CHECK(page.unreadableEntries == 1);
    }
}

TEST_CASE("unknown fields and large but possible values do not hide a server")
{
    for (const auto &row :
         std::vector<std::pair<std::string, std::string>>{{"Slots", "4000000000"},
                                                          {"ColdLeftMs", "1e300"},
                                                          {"ColdLeftMs", "-5"},
                                                          {"born", "1.7e12"},
                                                          {"New", R"({"a":[1,2,{"b":"}]"}]})"}}) {
        const std::string &field = row.first;
        const std::string &value = row.second;
        CAPTURE(field);
        CHECK(pageWith(goodBut(field, value)).servers.size() == 2);
    }
}

TEST_CASE("a list that is no list is refused")
{
    for (const char *text : {"", "7", "[]", "{}", R"({"Instances":7})", R"({"Instances":[})",
                             R"({"Instances":["})", "{\"Instances\":[", R"({"Instances")"}) {
        CAPTURE(text);
        CHECK(orElse(
            [&]() -> Result<bool> {
                BOOST_LEAF_CHECK(platform::dialect().servers.readListPage(text));
                return false;
            },
            [](const Error &error) {
                return error.code == ErrorCode::InvalidRequest;
            }));
    }
}

TEST_CASE("an empty list has no entries, and elements are split at the commas between them")
{
    CHECK(platform::rawElements("[]")->empty());
    CHECK(platform::rawElements(" [ ] ")->empty());
    const auto elements = platform::rawElements(R"([1, "a,\"]", {"b":[2,3]} ,[]])");
    REQUIRE(elements);
    CHECK(*elements == std::vector<std::string_view>{"1", R"("a,\"]")", R"({"b":[2,3]})", "[]"});
    CHECK(platform::rawField(R"({"a":{"Next":1}, "Next" : "p" })", "Next")
          == std::string_view("\"p\""));
    CHECK_FALSE(platform::rawField(R"({"a":1})", "Next"));
}

TEST_CASE("a report that is nested deeply is refused")
{
    const std::string text =
        "{\"Busy\":" + std::string(100'000, '[') + std::string(100'000, ']') + "}";
    CHECK(orElse(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(platform::dialect().servers.readReport(text));
            return false;
        },
        [](const Error &) {
            return true;
        }));
}

TEST_CASE("a server says in any answer that it leaves")
{
    for (const int status : {200, 204, 400, 421, 500, 503})
        CHECK(answer(status, "Server-Leaving", "1").isLeaving);
    CHECK_FALSE(answer(200, "Server-Leaving", "0").isLeaving);
    CHECK_FALSE(answer(200, "Server-Leaving", "").isLeaving);
    CHECK_FALSE(answer(200, "X-Other", "1").isLeaving);
}

TEST_CASE("a server that refuses with 503 may ask for a pause")
{
    using std::chrono::milliseconds;
    CHECK(answer(503, "Retry-After", "2").pause == milliseconds(2000));
    CHECK(answer(503, "Retry-After", "0.25").pause == milliseconds(250));
    CHECK(answer(503, "Retry-After", "0").pause == Duration(0));
    CHECK(answer(503, "Retry-After", "1e300").pause == std::chrono::hours(24));
    CHECK(answer(503, "Retry-After", "999999999999999999999").pause == std::chrono::hours(24));
    for (const char *it :
         {"-1", "nan", "-inf", "soon", "1 s", "", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
        CAPTURE(it);
        CHECK_FALSE(answer(503, "Retry-After", it).pause);
    }
    CHECK_FALSE(answer(429, "Retry-After", "2").pause);
    CHECK_FALSE(answer(200, "Retry-After", "2").pause);
}
