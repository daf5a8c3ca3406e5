#include "samples.h"

#include "kumquathaven/base/random.h"
#include "kumquathaven/catalogue/json.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace kumquathaven;
using namespace kumquathaven::catalogue;
using nlohmann::json;

namespace {

std::string errorOf(const std::string &text)
{
    return orElse(
        [&]() -> Result<std::string> {
            BOOST_LEAF_CHECK(catalogueFromJson(json::parse(text)));
            return std::string();
        },
        [](const Error &error) {
            CHECK(error.code == ErrorCode::InvalidRequest);
            return error.message;
        });
}

} // namespace

TEST_CASE("a catalogue is the same after writing and reading")
{
    Catalogue catalogue;
    catalogue.revision = 7;
    catalogue.customers["x"] = sampleCustomer("x", 3);
    catalogue.customers["x"].head.limits = {10, 20, 30, 40, 50};
    catalogue.keys["k"] = sampleKey("k", "x", 'a');
    catalogue.keys["k"].withdrawn = true;
    catalogue.upstreams["e"] = sampleUpstream("e");
    catalogue.upstreams["e"].adapters = {"a", "b"};
    catalogue.routes["r"] = sampleRoute("r", "m");
    const json written = toJson(catalogue);
    const json again = orElse(
        [&]() -> Result<json> {
            BOOST_LEAF_AUTO(read, catalogueFromJson(written));
            return Result<json>(toJson(read));
        },
        [](const Error &error) {
            return json(error.message);
        });
    CHECK(again == written);
}

TEST_CASE("errors in a catalogue name the entry, the field and the allowed values")
{
    const std::pair<const char *, const char *> rows[] = {
        {R"([])", "catalogue: must be an object"},
        {R"({"customer": []})",
         "catalogue: field \"customer\" is unknown; allowed fields are controlLinks, customers, "
         "declaration, keys, revision, rollouts, routes, serverWeights, upstreams, weights"},
        {R"({"customers": {}})", "catalogue: field \"customers\" must be a list of at most 20000"},
        {R"({"customers": [{"name": "x"}]})", "customer \"x\": field \"owner\" is missing"},
        {R"({"customers": [{"owner": "t"}]})", "customer: field \"name\" is missing"},
        {R"({"customers": [{"name": "a b", "owner": "t"}]})",
         "customer \"a b\": field \"name\" must be a name of 1 to 128 letters, digits, \".\", "
         "\"_\" or \"-\""},
        {R"({"customers": [{"name": "x", "owner": "t", "weight": 0}]})",
         "customer \"x\": field \"weight\" must be a whole number from 1 to 1000000"},
        {R"({"customers": [{"name": "x", "owner": "t", "weight": "2"}]})",
         "customer \"x\": field \"weight\" must be a whole number from 1 to 1000000"},
        {R"({"customers": [{"name": "x", "owner": "t", "weight": -2}]})",
         "customer \"x\": field \"weight\" must be a whole number from 1 to 1000000"},
        {R"({"customers": [{"name": "x", "owner": "t", "class": "fast"}]})",
         "customer \"x\": field \"class\" must be one of quick, standard, patient"},
        {R"({"customers": [{"name": "x", "owner": "t", "limits": {"rate": 1}}]})",
         "customer \"x\": limits: field \"rate\" is unknown; allowed fields are burstTokens, "
         "deadlineMs, maxConcurrent, maxOutputTokens, rateTokensPerSecond"},
        {R"({"customers": [{"name": "x", "owner": "t"}, {"name": "x", "owner": "t"}]})",
         "catalogue: field \"customers\" has two entries named \"x\""},
        {R"({"keys": [{"name": "k", "owner": "t", "customer": "x", "sha256": "AB"}]})",
         "key \"k\": field \"sha256\" must consist of 64 lower-case hexadecimal digits"},
        {R"({"upstreams": [{"name": "e", "owner": "t", "address": "here", "model": "m"}]})",
         "upstream \"e\": field \"address\" must be an IP address and a port, for example "
         "10.0.0.7:8000"},
        {R"({"upstreams": [{"name": "e", "owner": "t", "address": "10.0.0.1:80"}]})",
         "upstream \"e\": field \"model\" must name the engine's model"},
        {R"({"routes": [{"name": "r", "owner": "t"}]})",
         "route \"r\": field \"model\" or field \"pathPrefix\" must be set, and not both"},
        {R"({"routes": [{"name": "r", "owner": "t", "pathPrefix": "/x"}]})",
         "route \"r\": field \"upstreams\" must name at least one plain service"},
    };
    for (const auto &row : rows) {
        CAPTURE(row.first);
        CHECK(errorOf(row.first) == row.second);
    }
}

TEST_CASE("every kind of change is the same after encoding and decoding, and bytes are checked")
{
    PutEntries put;
    put.entries.customers["x"] = sampleCustomer("x");
    put.replace = true;
    const Change changes[] = {
        {"1", 4, put},
        {"2", {}, RemoveEntry{EntryKind::Route, "r"}},
        {"3", {}, GrantKey{sampleKey("k", "x", 'a')}},
        {"4", {}, WithdrawKey{"k", true}},
        {"5", {}, DrainInstance{"e", false}},
        {{}, {}, AnnounceInstance{sampleInstance("e", 9), 3, 7}},
        {{}, {}, DepartInstance{"e", ~std::uint64_t{0}}},
        {{}, {}, HintInstance{"e", 4, false}},
    };
    Random random(11);
    for (const Change &change : changes) {
        const std::string bytes = encodeChange(change);
        const auto decoded = [](const std::string &from) {
            return orElse(
                [&]() -> Result<std::string> {
                    BOOST_LEAF_AUTO(read, decodeChange(from, "entry-1"));
                    return encodeChange(read);
                },
                [](const Error &error) {
                    return describe(error);
                });
        };
        CHECK(decoded(bytes) == bytes);
        for (int n = 0; n < 3000; ++n) {
            std::string corrupted = bytes;
            corrupted[random.below(corrupted.size())] = static_cast<char>(random.next());
            decoded(corrupted);
        }
    }
}
