// An inference engine for tests: the usual completions interface with a modelled speed, batch and
// prefix cache. See tools/emulator/README.md.

#include "../common/options.h"
#include "engine.h"

#include "kumquathaven/base/time.h"

#include <Poco/Exception.h>

namespace standins {

namespace {

/// Time in which a prompt that crashes the engine is read, and the status of the process.
constexpr std::chrono::milliseconds crashDelay{100};
constexpr int crashStatus = 3;

using kumquathaven::fromHex;
using kumquathaven::toHex;

constexpr auto pollLength = std::chrono::milliseconds(1);
constexpr auto goneCheckEvery = std::chrono::milliseconds(20);

Json usageOf(const Completion &completion, const JobView &view)
{
    return {{"prompt_tokens", completion.promptTokens},
            {"completion_tokens", completion.maxTokens},
            {"total_tokens", completion.promptTokens + completion.maxTokens},
            {"prompt_tokens_details", {{"cached_tokens", view.cachedTokens}}}};
}

Json frame(const Completion &completion, const char *object)
{
    return {{"id", completion.requestId},
            {"object", object},
            {"created", 0},
            {"model", completion.model},
            {"choices", Json::array()}};
}

Json tokenChunk(const Completion &completion, const std::string &text, bool last)
{
    Json chunk = frame(completion, completion.chat ? "chat.completion.chunk" : "text_completion");
    Json choice = {{"index", 0}, {"finish_reason", nullptr}};
    if (last)
        choice["finish_reason"] = "length";
    if (completion.chat)
        choice["delta"] = last ? Json::object() : Json{{"content", text}};
    else
        choice["text"] = text;
    chunk["choices"].push_back(choice);
    return chunk;
}

/// Waits until the job has more than \p have tokens. Returns nothing if the client went away or the
/// job was cancelled.
std::optional<JobView> waitForTokens(Engine &engine, Request &request, const Completion &completion,
                                     std::uint32_t have)
{
    auto nextCheck = kumquathaven::monotonicNow() + goneCheckEvery;
    while (true) {
        const JobView view = engine.view(completion.id);
        if (view.state == JobState::Unknown)
            return std::nullopt;
        if (view.state == JobState::Done || view.tokens > have)
            return view;
        if (kumquathaven::monotonicNow() >= nextCheck) {
            if (clientGone(request))
                return std::nullopt;
            nextCheck = kumquathaven::monotonicNow() + goneCheckEvery;
        }
        std::this_thread::sleep_for(pollLength);
    }
}

/// Sends the stream of one completion. Returns whether it was sent whole.
bool sendStream(Engine &engine, Request &request, Response &response, const Completion &completion)
{
    response.setContentType("text/event-stream");
    response.setChunkedTransferEncoding(true);
    std::ostream &out = response.send();
    out.flush();
    const Faults faults = engine.faults();
    std::uint32_t sent = 0;
    JobView view;
    const std::uint32_t wanted = completion.maxTokens - completion.resumeFrom;
    while (sent < wanted) {
        const auto ready = waitForTokens(engine, request, completion, sent);
        if (!ready)
            return false;
        view = *ready;
        for (; sent < view.tokens; ++sent) {
            if (faults.cutAfterTokens > 0 && sent >= faults.cutAfterTokens) {
                cutConnection(request);
                return false;
            }
            const std::string text = answerToken(completion.textSeed, completion.resumeFrom + sent);
            out << "data: " << tokenChunk(completion, text, false).dump() << "\n\n";
        }
        out.flush();
        if (!out)
            return false;
    }
    Json usage = frame(completion, completion.chat ? "chat.completion.chunk" : "text_completion");
    usage["usage"] = usageOf(completion, view);
    out << "data: " << tokenChunk(completion, {}, true).dump() << "\n\n";
    out << "data: " << usage.dump() << "\n\ndata: [DONE]\n\n";
    out.flush();
    return static_cast<bool>(out);
}

bool sendWhole(Engine &engine, Request &request, Response &response, const Completion &completion)
{
    const std::uint32_t wanted = completion.maxTokens - completion.resumeFrom;
    const auto view = waitForTokens(engine, request, completion, wanted);
    if (!view)
        return false;
    std::string text;
    for (std::uint32_t n = completion.resumeFrom; n < completion.maxTokens; ++n)
        text += answerToken(completion.textSeed, n);
    Json answer = frame(completion, completion.chat ? "chat.completion" : "text_completion");
    Json choice = {{"index", 0}, {"finish_reason", "length"}};
    if (completion.chat)
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    else
        choice["text"] = text;
    answer["choices"].push_back(choice);
    answer["usage"] = usageOf(completion, *view);
    sendJson(response, 200, answer);
    return true;
}

/// Ends the process in the middle of the first bytes of the answer if the prompt is one that
/// crashes it.
void crashIfAsked(const Engine &engine, const std::string &body, Response &response)
{
    const std::string &text = engine.options().crashOn;
    if (text.empty() || body.find(text) == std::string::npos)
        return;
    std::this_thread::sleep_for(crashDelay);
    response.send() << "data: {" << std::flush;
    std::_Exit(crashStatus);
}

void complete(Engine &engine, Request &request, Response &response, bool chat)
{
    const std::string body = readBody(request);
    engine.seen().record(request, body);
    const std::string &credential = engine.options().credential;
    if (!credential.empty() && request.get("Authorization", "") != "Bearer " + credential)
        return sendError(response, 401, "the credential is missing or wrong");
    const Faults faults = engine.faults();
    if (faults.refuseStatus != 0)
        return sendError(response, static_cast<int>(faults.refuseStatus), "refused");
    if (engine.health().at("status") != "ok")
        return sendError(response, 503, "loading weights");
    std::this_thread::sleep_for(std::chrono::milliseconds(faults.delayMs));
    const std::string version = engine.health().at("version");
    if (request.get("X-Weights-Version", version) != version)
        return sendError(response, 409, "weights version " + version + " is in service");
    std::string error;
    const auto resumeFrom = std::strtoul(request.get("X-Resume-From", "0").c_str(), nullptr, 10);
    const auto completion =
        engine.begin(request.get("X-Request-Id", ""), static_cast<std::uint32_t>(resumeFrom), chat,
                     Json::parse(body), &error);
    if (!completion)
        return sendError(response, 404, error);
    response.set("X-Request-Id", completion->requestId);
    crashIfAsked(engine, body, response);
    response.set("X-Incarnation", engine.incarnation());
    response.set("X-Weights-Version", version);
    bool whole = false;
    try {
        whole = completion->stream ? sendStream(engine, request, response, *completion)
                                   : sendWhole(engine, request, response, *completion);
    } catch (const Poco::Exception &) {
        whole = false;
    }
    engine.end(*completion, whole);
    if (!whole)
        cutConnection(request);
}

/// Sends cache events as they become due until the client goes away.
void sendEvents(Engine &engine, Request &request, Response &response)
{
    std::uint64_t sequence = std::strtoull(queryValue(request, "after", "0").c_str(), nullptr, 10);
    response.setContentType("text/event-stream");
    response.setChunkedTransferEncoding(true);
    std::ostream &out = response.send();
    const Json hello = {{"incarnation", engine.incarnation()},
                        {"blockTokens", engine.options().config.blockTokens}};
    out << "event: hello\ndata: " << hello.dump() << "\n\n";
    out.flush();
    while (out && !clientGone(request)) {
        const Faults faults = engine.faults();
        for (const CacheEvent &it : engine.eventsAfter(sequence)) {
            sequence = it.sequence;
            const auto n = static_cast<long>(it.sequence);
            if (faults.dropEvery > 0 && n % faults.dropEvery == 0)
                continue;
            Json blocks = Json::array();
            for (const std::uint64_t block : it.blocks)
                blocks.push_back(toHex(block));
            const Json data = {{"sequence", it.sequence},
                               {"type", it.stored ? "stored" : "removed"},
                               {"blocks", blocks}};
            const int times = faults.repeatEvery > 0 && n % faults.repeatEvery == 0 ? 2 : 1;
            for (int i = 0; i < times; ++i)
                out << "id: " << it.sequence << "\nevent: cache\ndata: " << data.dump() << "\n\n";
        }
        out.flush();
        std::this_thread::sleep_for(goneCheckEvery);
    }
}

std::vector<std::uint64_t> blocksOf(const Json &body)
{
    std::vector<std::uint64_t> blocks;
    for (const Json &it : body.at("blocks"))
        blocks.push_back(fromHex(it.get<std::string>()));
    return blocks;
}

void handlePost(Engine &engine, Request &request, Response &response, const std::string &path)
{
    if (path == "/v1/chat/completions")
        return complete(engine, request, response, true);
    if (path == "/v1/completions")
        return complete(engine, request, response, false);
    const std::string text = readBody(request);
    engine.seen().record(request, text);
    const Json body = Json::parse(text);
    if (path == "/v1/cancel") {
        const bool found = engine.cancelByRequestId(body.at("id").get<std::string>());
        return sendJson(response, found ? 200 : 404, {{"cancelled", found}});
    }
    if (path == "/orders") {
        const auto answer = engine.applyOrder(body);
        return sendJson(response, answer.first, answer.second);
    }
    const long refuseKvStatus = engine.faults().refuseKvStatus;
    if (refuseKvStatus != 0 && path.compare(0, 4, "/kv/") == 0)
        return sendError(response, static_cast<int>(refuseKvStatus), "refused");
    if (path == "/kv/export")
        return sendJson(response, 200, engine.exportBlocks(body.at("store"), blocksOf(body)));
    if (path == "/kv/import")
        return sendJson(response, 200, engine.importBlocks(body.at("store"), blocksOf(body)));
    if (path == "/debug/faults") {
        engine.setFaults(body);
        return sendJson(response, 200, Json::object());
    }
    sendError(response, 404, "no such path");
}

void handle(Engine &engine, Request &request, Response &response)
{
    const std::string path = pathOf(request);
    if (request.getMethod() == "POST")
        return handlePost(engine, request, response, path);
    if (path == "/healthz")
        return sendJson(response, 200, engine.health());
    if (path == "/load")
        return sendJson(response, 200, engine.loadReport());
    if (path == "/events")
        return sendEvents(engine, request, response);
    if (path == "/orders")
        return sendJson(response, 200, engine.orderState());
    if (path == "/debug/seen")
        return sendJson(response, 200,
                        {{"requests", engine.seen().toJson()}, {"counts", engine.counts()}});
    if (path == "/v1/models") {
        const Json model = {{"id", engine.options().model}, {"object", "model"}};
        return sendJson(response, 200, {{"object", "list"}, {"data", Json::array({model})}});
    }
    sendError(response, 404, "no such path");
}

} // namespace

} // namespace standins

int main(int argc, const char **argv)
{
    standins::EngineOptions options;
    std::string listen = "127.0.0.1:0";
    long decodeMs = 5;
    long batch = 16;
    long cacheBlocks = 4096;
    long blockTokens = 16;
    long drop = 0;
    long lag = 20;
    standins::readOptions(
        argc, argv,
        {{"listen", &listen, "host:port; port 0 takes a free one"},
         {"model", &options.model, "model served"},
         {"version", &options.version, "weights version at the start"},
         {"role", &options.role, "role at the start"},
         {"prefill", &options.config.prefillTokensPerSecond, "prompt tokens computed a second"},
         {"decode", &decodeMs, "milliseconds for each answer token"},
         {"batch", &batch, "requests that run at the same time"},
         {"cache-blocks", &cacheBlocks, "blocks in the prefix cache"},
         {"block-tokens", &blockTokens, "tokens in a block"},
         {"checks-fencing", &options.checksFencing, "refuse orders with an old fencing number"},
         {"credential", &options.credential, "bearer token that completions must show"},
         {"load-ms", &options.loadMs, "milliseconds to load weights"},
         {"load-lag", &options.loadLagMs, "age of the load report in milliseconds"},
         {"crash-on", &options.crashOn, "text of prompts under which the engine crashes"},
         {"weight-store", &options.weightStore, "host:port that weights are fetched from"},
         {"import-speed", &options.importTokensPerSecond, "tokens imported a second"},
         {"drop-events", &drop, "never send every nth cache event"},
         {"lag-events", &lag, "milliseconds by which cache events are late"}});
    options.config.decodePerToken = std::chrono::milliseconds(decodeMs);
    options.config.batch = static_cast<std::size_t>(batch);
    options.config.cacheBlocks = static_cast<std::size_t>(cacheBlocks);
    options.config.blockTokens = static_cast<std::uint32_t>(blockTokens);
    standins::Engine engine(options);
    engine.setFaults({{"dropEvery", drop}, {"eventLagMs", lag}});
    return standins::serve(listen, [&](standins::Request &request, standins::Response &response) {
        standins::handle(engine, request, response);
    });
}
