// Tests of the encoding of messages and configurations, including malformed input.

#include "bench.h"
#include "kumquathaven/base/random.h"

#include <nlohmann/json.hpp>

#include <doctest/doctest.h>

using namespace kumquathaven;
using namespace kumquathaven::consensus;

namespace {

std::vector<Message> samples()
{
    const std::vector<MessageBody> bodies{
        VoteRequest{true, false, 5, 6},
        VoteResponse{false, true, 4, 5},
        AppendRequest{7,
                      8,
                      9,
                      10,
                      {{8, 3, EntryKind::Change, std::string("a\0b", 3)},
                       {9, 3, EntryKind::Configuration, encode(Configuration{{memberId(0)}, {}})}}},
        AppendResponse{true, 11, 12},
        SnapshotRequest{13, 14, "configuration", 15, 16, 17, "piece"},
        SnapshotResponse{18, 19, 20},
        TransferRequest{},
        JoinRequest{}};
    std::vector<Message> messages;
    messages.reserve(bodies.size());
    for (const MessageBody &it : bodies)
        messages.push_back({2, memberId(0), memberId(1), 21, it});
    return messages;
}

std::optional<ErrorCode> decodeCode(const std::string &bytes, const MessageLimits &limits = {})
{
    return codeOf([&] {
        return decodeMessage(bytes, limits);
    });
}

} // namespace

TEST_CASE("every message is unchanged by encoding and decoding")
{
    for (const Message &it : samples()) {
        CAPTURE(it.body.index());
        const std::string bytes = encode(it);
        const std::string again = orElse(
            [&]() -> Result<std::string> {
                BOOST_LEAF_AUTO(message, decodeMessage(bytes, {}));
                return encode(message);
            },
            [](const Error &error) {
                return describe(error);
            });
        CHECK(again == bytes);
    }
}

// Guards against members that refuse the responses of the version before.
TEST_CASE("a response tells that its member is leaving, and may leave that out")
{
    const Message message{2, memberId(0), memberId(1), 21, AppendResponse{false, 11, 12, true}};
    const auto isLeaving = [](const nlohmann::json &value) {
        return orElse(
            [&]() -> Result<int> {
                BOOST_LEAF_AUTO(read, messageFromJson(value, {}));
                return std::get<AppendResponse>(read.body).leaving ? 1 : 0;
            },
            [](const Error &) {
                return -1;
            });
    };
    nlohmann::json value = toJson(message);
    CHECK(isLeaving(value) == 1);
    value["leaving"] = "yes";
    CHECK(isLeaving(value) == -1);
    value.erase("leaving");
    CHECK(isLeaving(value) == 0);
}

TEST_CASE("a message with a missing field or a field of the wrong type is rejected")
{
    for (const Message &it : samples()) {
        const nlohmann::json whole = toJson(it);
        for (const auto &field : whole.items()) {
            CAPTURE(it.body.index());
            CAPTURE(field.key());
            nlohmann::json lacking = whole;
            lacking.erase(field.key());
            nlohmann::json wrong = whole;
            wrong[field.key()] = -1.5;
            for (const nlohmann::json &value : {lacking, wrong}) {
                CHECK(codeOf([&] {
                          return messageFromJson(value, {});
                      })
                      == ErrorCode::InvalidRequest);
            }
        }
    }
}

TEST_CASE("truncated and modified bytes are rejected or decode to a message within its limits")
{
    Random random(1);
    for (const Message &it : samples()) {
        const std::string whole = encode(it);
        for (std::size_t n = 0; n < whole.size(); ++n)
            CHECK(decodeCode(whole.substr(0, n)) == ErrorCode::InvalidRequest);
        for (int n = 0; n < 500; ++n) {
            std::string bytes = whole;
            bytes[random.below(bytes.size())] = static_cast<char>(random.below(256));
            const auto code = decodeCode(bytes);
            CAPTURE(bytes);
            CAPTURE(static_cast<int>(code.value_or(ErrorCode::InvalidRequest)));
            CHECK((!code || code == ErrorCode::InvalidRequest || code == ErrorCode::TooLarge));
        }
    }
}

TEST_CASE("messages that exceed a limit are rejected as too large")
{
    const Message append = samples()[2];
    MessageLimits limits;
    limits.maxEntries = 1;
    CHECK(decodeCode(encode(append), limits) == ErrorCode::TooLarge);
    limits = {};
    limits.maxBytes = 100;
    CHECK(decodeCode(encode(append), limits) == ErrorCode::TooLarge);
    limits = {};
    limits.maxNameBytes = 6;
    CHECK(decodeCode(encode(append), limits) == ErrorCode::TooLarge);
}

TEST_CASE("only sorted configurations with voters are valid")
{
    Configuration configuration;
    CHECK_FALSE(isConfiguration(encode(configuration)));
    configuration.voters = {memberId(0), memberId(1)};
    CHECK(isConfiguration(encode(configuration)));
    std::swap(configuration.voters[0], configuration.voters[1]);
    CHECK_FALSE(isConfiguration(encode(configuration)));
    CHECK_FALSE(isConfiguration("no configuration"));
    CHECK_FALSE(isConfiguration(""));
}
