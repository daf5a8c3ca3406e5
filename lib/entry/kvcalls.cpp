#include "kvcalls.h"

#include "kumquathaven/base/hex.h"
#include "kumquathaven/runtime/httpclient.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace kumquathaven::entry {

namespace {

using runtime::ReadState;

constexpr Duration checkInterval = std::chrono::milliseconds(100);
constexpr Duration connectTimeout = std::chrono::milliseconds(250);
constexpr Duration storeTimeout = std::chrono::milliseconds(250);
constexpr std::size_t maxAnswerBytes = std::size_t(256) * 1024;
constexpr std::size_t maxStoreAnswerBytes = 1024;
constexpr int statusOk = 200;
constexpr int statusNotFound = 404;

runtime::HeaderFields headersFor(const catalogue::Upstream &upstream)
{
    runtime::HeaderFields headers{{"Content-Type", "application/json"}};
    if (!upstream.credential.empty())
        headers.emplace_back("Authorization", "Bearer " + upstream.credential);
    return headers;
}

std::string orderBody(const std::string &store, const std::vector<routing::BlockHash> &blocks)
{
    nlohmann::json names = nlohmann::json::array();
    for (const routing::BlockHash it : blocks)
        names.push_back(toHex(static_cast<std::uint64_t>(it)));
    return nlohmann::json{{"store", store}, {"blocks", names}}.dump();
}

Error timeoutError(const catalogue::Upstream &engine)
{
    return {ErrorCode::Timeout,  "kv.move",        engine.head.name,
            "no answer in time", Outcome::Unknown, std::nullopt};
}

/// Returns how long to wait next, or a failure at the end of the time or without a caller.
Result<Duration> nextWait(const catalogue::Upstream &engine, TimePoint until,
                          const std::function<bool()> &gone)
{
    const Duration left = until - monotonicNow();
    if (left <= Duration(0))
        return fail(timeoutError(engine));
    if (gone())
        return fail({ErrorCode::Cancelled, "kv.move", engine.head.name, "the caller has gone",
                     Outcome::Unknown, std::nullopt});
    return std::min(left, checkInterval);
}

/// Returns the whole answer.
Result<std::string> exchange(runtime::HttpCall &call, KvDirection direction,
                             const catalogue::Upstream &engine, const std::string &body,
                             TimePoint until, const std::function<bool()> &gone)
{
    const std::string path = direction == KvDirection::Export ? "/kv/export" : "/kv/import";
    BOOST_LEAF_CHECK(call.connect());
    BOOST_LEAF_CHECK(call.send("POST", path, headersFor(engine), body));
    bool isReady = false;
    while (!isReady) {
        BOOST_LEAF_AUTO(wait, nextWait(engine, until, gone));
        BOOST_LEAF_ASSIGN(isReady, call.waitForHead(wait));
    }
    BOOST_LEAF_CHECK(call.readHead());
    std::string answer;
    while (call.status() == statusOk && answer.size() <= maxAnswerBytes) {
        BOOST_LEAF_AUTO(wait, nextWait(engine, until, gone));
        BOOST_LEAF_AUTO(part, call.read(wait));
        if (part.state == ReadState::End)
            return answer;
        answer += part.data;
    }
    return std::string();
}

} // namespace

KvMove moveBlocks(KvDirection direction, const catalogue::Upstream &engine,
                  const std::string &store, const std::vector<routing::BlockHash> &blocks,
                  TimePoint until, const std::function<bool()> &gone)
{
    KvMove move;
    const Duration left = until - monotonicNow();
    if (left <= Duration(0)) {
        move.timedOut = true;
        return move;
    }
    runtime::HttpCall call(settings::parseAddress(engine.address),
                           {std::min(connectTimeout, left), left});
    const std::string answer = orElse(
        [&] {
            return exchange(call, direction, engine, orderBody(store, blocks), until, gone);
        },
        [&](const Error &error) {
            move.timedOut = error.code == ErrorCode::Timeout;
            return std::string();
        });
    move.moved =
        movedBlocks(answer, direction == KvDirection::Export ? "exported" : "imported", blocks);
    return move;
}

std::optional<std::size_t> movedBlocks(const std::string &body, const char *field,
                                       const std::vector<routing::BlockHash> &blocks)
{
    const auto value = nlohmann::json::parse(body, nullptr, false);
    if (!value.is_object() || !value.contains(field) || !value[field].is_array())
        return std::nullopt;
    const auto &names = value[field];
    std::size_t n = 0;
    while (n < names.size() && n < blocks.size()
           && names[n] == toHex(static_cast<std::uint64_t>(blocks[n])))
        ++n;
    return n;
}

std::optional<bool> hasBlock(const catalogue::Upstream &store, routing::BlockHash block)
{
    const std::string path = "/blocks/" + toHex(static_cast<std::uint64_t>(block));
    const runtime::CallTimeouts timeouts{connectTimeout, storeTimeout, {}, 2 * storeTimeout};
    const int status = orElse(
        [&]() -> Result<int> {
            BOOST_LEAF_AUTO(reply,
                            runtime::fetch(settings::parseAddress(store.address), "HEAD", path,
                                           headersFor(store), {}, timeouts, maxStoreAnswerBytes));
            return reply.status;
        },
        [](const Error &) {
            return 0;
        });
    if (status != statusOk && status != statusNotFound)
        return std::nullopt;
    return status == statusOk;
}

} // namespace kumquathaven::entry
