#include "options.h"

#include <popt.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <optional>
#include <sstream>
#include <string>

namespace kumquathaven::load {

namespace {

constexpr const char *usageText = R"(--target 127.0.0.1:PORT,... --model NAME [--key KEY,...]

Replays a seeded load over the loopback and prints one JSON report. The same options give the same
arrivals and prompts.

  Ten requests a second for ten seconds, to one address:
    kumquatload --target 127.0.0.1:8080 --model samosa-7b --key kh-...
  Two customers, the first with three times the requests, through whatever entries are named:
    kumquatload --target 127.0.0.1:8080 --find --model samosa-7b --key kh-a,kh-b --shares 3,1
  With rate and burst, to count what one exact bucket would have refused:
    kumquatload ... --rates 1000,500 --bursts 20000,10000 --retries 2
  Other documents become popular every 10 s, and from 20 s to 30 s come 100 retries a second whose
  callers do not heed Retry-After:
    kumquatload ... --seconds 40 --shift 10 --storm-rate 100 --storm-from 20 --storm-to 30)";

// The values as popt stores them.
struct RawOptions
{
    char *targets = nullptr;
    char *keys = nullptr;
    char *model = nullptr;
    char *shares = nullptr;
    char *rates = nullptr;
    char *bursts = nullptr;
    char *requestsFile = nullptr;
    double rate = 10;
    double seconds = 10;
    double warmUp = 0;
    double skew = 1.1;
    double shift = 0;
    double stormRate = 0;
    double stormFrom = 0;
    double stormTo = 0;
    int finds = 0;
    int ignoresRetryAfter = 0;
    int seed = 1;
    int streams = 0;
    int maxRunning = 400;
    int maxTokens = 8;
    int retries = 0;
    int blockBytes = 64;
    int rootBlocks = 4;
    int documentBlocks = 8;
    int documents = 50;
    int conversationBlocks = 0;
    int conversations = 1;
    int ownBytes = 64;
    int mostOwnBytes = 0;
};

bool complain(const std::string &message)
{
    std::fprintf(stderr, "kumquatload: %s\nTry kumquatload --help\n", message.c_str());
    return false;
}

std::vector<std::string> split(const char *text)
{
    std::vector<std::string> parts;
    std::istringstream in(text == nullptr ? "" : text);
    for (std::string it; std::getline(in, it, ',');)
        parts.push_back(it);
    return parts;
}

// Returns the numbers of a list, all at least zero, or nothing if one is not such a number.
std::optional<std::vector<double>> numbers(const char *text)
{
    std::vector<double> values;
    for (const std::string &it : split(text)) {
        char *end = nullptr;
        const double value = std::strtod(it.c_str(), &end);
        if (it.empty() || *end != '\0' || !(value >= 0))
            return std::nullopt;
        values.push_back(value);
    }
    return values;
}

bool fillTargets(const RawOptions &raw, Arguments &arguments)
{
    for (const auto &it : split(raw.targets)) {
        const auto address = settings::parseAddress(it);
        if (address.port == 0 || !isLoopback(address))
            return complain("--target: \"" + it
                            + "\" is not an address of the loopback with a port");
        arguments.targets.push_back(address);
    }
    if (arguments.targets.empty())
        return complain("--target: at least one address is needed");
    arguments.finds = raw.finds != 0;
    return true;
}

// One number for each customer, or none.
bool fillList(const char *name, const char *text, std::size_t customers,
              std::vector<double> &values)
{
    const auto read = numbers(text);
    if (!read || (!read->empty() && read->size() != customers))
        return complain(std::string(name) + ": needs one number, zero or more, for each --key");
    values = *read;
    return true;
}

bool fillCustomers(const RawOptions &raw, Arguments &arguments)
{
    arguments.call.keys = raw.keys == nullptr ? std::vector<std::string>{""} : split(raw.keys);
    const std::size_t customers = arguments.call.keys.size();
    arguments.shape.customers = static_cast<std::uint32_t>(customers);
    std::vector<double> rates;
    std::vector<double> bursts;
    if (customers == 0)
        return complain("--key: at least one key is needed");
    if (!fillList("--shares", raw.shares, customers, arguments.shape.shares)
        || !fillList("--rates", raw.rates, customers, rates)
        || !fillList("--bursts", raw.bursts, customers, bursts))
        return false;
    if (rates.size() != bursts.size())
        return complain("--rates and --bursts: give both or none");
    for (std::size_t n = 0; n < rates.size(); ++n)
        arguments.limits.push_back({rates[n], bursts[n]});
    return true;
}

/// A whole number with its bounds.
struct Bounded
{
    const char *name;
    int value;
    int least;
    int most;
};

bool checkNumbers(const RawOptions &raw)
{
    constexpr int mostBytes = 16 * 1024 * 1024;
    const Bounded all[] = {
        {"--streams", raw.streams, 0, 2000},
        {"--max-running", raw.maxRunning, 1, 2000},
        {"--max-tokens", raw.maxTokens, 1, 100000},
        {"--retries", raw.retries, 0, 100},
        {"--block-bytes", raw.blockBytes, 1, mostBytes},
        {"--root-blocks", raw.rootBlocks, 0, 1000},
        {"--document-blocks", raw.documentBlocks, 0, 1000},
        {"--documents", raw.documents, 1, 1000000},
        {"--conversation-blocks", raw.conversationBlocks, 0, 1000},
        {"--conversations", raw.conversations, 1, 1000000},
        {"--own-bytes", raw.ownBytes, 1, mostBytes},
        {"--most-own-bytes", raw.mostOwnBytes, 0, mostBytes},
    };
    for (const Bounded &it : all) {
        if (it.value < it.least || it.value > it.most)
            return complain(std::string(it.name) + ": must be from " + std::to_string(it.least)
                            + " to " + std::to_string(it.most));
    }
    if (!(raw.rate > 0) || !(raw.seconds > 0))
        return complain("--rate and --seconds: must be more than zero");
    if (!(raw.warmUp >= 0) || !(raw.warmUp < raw.seconds))
        return complain("--warm-up: must be zero or more, and less than --seconds");
    if (!(raw.shift >= 0) || !(raw.stormRate >= 0) || !(raw.stormFrom >= 0))
        return complain("--shift, --storm-rate and --storm-from: must be zero or more");
    if (raw.stormRate > 0 && !(raw.stormTo > raw.stormFrom))
        return complain("--storm-to: must be after --storm-from");
    return true;
}

void fillShape(const RawOptions &raw, LoadShape &shape)
{
    const auto whole = [](int value) {
        return static_cast<std::uint32_t>(value);
    };
    shape.seed = static_cast<std::uint64_t>(raw.seed);
    shape.ratePerSecond = raw.rate;
    shape.length = fromSeconds(raw.seconds);
    shape.skew = raw.skew;
    shape.shift = fromSeconds(raw.shift);
    shape.blockBytes = whole(raw.blockBytes);
    shape.rootBlocks = whole(raw.rootBlocks);
    shape.documentBlocks = whole(raw.documentBlocks);
    shape.documents = whole(raw.documents);
    shape.conversationBlocks = whole(raw.conversationBlocks);
    shape.conversations = whole(raw.conversations);
    shape.ownBytes = whole(raw.ownBytes);
    shape.mostOwnBytes = std::max(shape.ownBytes, whole(raw.mostOwnBytes));
    shape.storm.ratePerSecond = raw.stormRate;
    shape.storm.from = fromSeconds(raw.stormFrom);
    shape.storm.to = fromSeconds(raw.stormTo);
}

bool fill(const RawOptions &raw, Arguments &arguments)
{
    if (raw.model == nullptr)
        return complain("--model: is missing");
    if (!fillTargets(raw, arguments) || !fillCustomers(raw, arguments) || !checkNumbers(raw))
        return false;
    fillShape(raw, arguments.shape);
    arguments.call.model = raw.model;
    arguments.call.maxTokens = static_cast<std::uint32_t>(raw.maxTokens);
    arguments.call.retries = static_cast<std::uint32_t>(raw.retries);
    arguments.call.honoursRetryAfter = raw.ignoresRetryAfter == 0;
    arguments.requestsFile = raw.requestsFile == nullptr ? "" : raw.requestsFile;
    arguments.warmUp = fromSeconds(raw.warmUp);
    arguments.keepsFull = raw.streams > 0;
    arguments.maxRunning =
        static_cast<std::uint32_t>(raw.streams > 0 ? raw.streams : raw.maxRunning);
    return true;
}

/// Rows of the table of options, by the type of their values.
poptOption option(const char *name, char *&value, const char *help, const char *unit,
                  char letter = '\0')
{
    return {name, letter, POPT_ARG_STRING, &value, 0, help, unit};
}

poptOption option(const char *name, double &value, const char *help, const char *unit,
                  char letter = '\0')
{
    return {name, letter, POPT_ARG_DOUBLE, &value, 0, help, unit};
}

poptOption option(const char *name, int &value, const char *help, const char *unit,
                  char letter = '\0')
{
    return {name, letter, POPT_ARG_INT, &value, 0, help, unit};
}

poptOption flag(const char *name, int &value, const char *help)
{
    return {name, '\0', POPT_ARG_NONE, &value, 0, help, nullptr};
}

/// Returns all options, which write into \p raw, with popt's row that ends the table.
std::vector<poptOption> optionTable(RawOptions &raw)
{
    return {
        option("target", raw.targets, "loopback addresses, which take turns", "HOST:PORT,...", 't'),
        flag("find", raw.finds,
             "ask a target which entries to use, by GET /v1/entries, and choose by their weights"),
        option("key", raw.keys, "one key for each customer", "KEY,...", 'k'),
        option("model", raw.model, "model to ask for", "NAME", 'm'),
        option("rate", raw.rate, "arrivals a second (10)", "N", 'r'),
        option("seconds", raw.seconds, "length of the load (10)", "N", 's'),
        option("warm-up", raw.warmUp,
               "seconds whose requests count in no hit rate and time to the first token (0)", "N"),
        option("seed", raw.seed, "seed of the arrivals (1)", "N"),
        option("shares", raw.shares, "weight of each customer's arrivals (equal)", "X,..."),
        option("rates", raw.rates, "each customer's tokens a second, to compare with", "N,..."),
        option("bursts", raw.bursts, "each customer's burst in tokens", "N,..."),
        option("requests-file", raw.requestsFile,
               "also write one JSON line for each request, with its upstream and why", "FILE"),
        option("streams", raw.streams,
               "keep this many requests running instead of following arrival times", "N"),
        option("max-running", raw.maxRunning, "most requests at a time (400)", "N"),
        option("max-tokens", raw.maxTokens, "tokens of an answer (8)", "N"),
        option("retries", raw.retries, "retries of a refused request (0)", "N"),
        flag("ignore-retry-after", raw.ignoresRetryAfter,
             "retry after 200 ms whatever the refusal says"),
        option("block-bytes", raw.blockBytes, "bytes of a prompt's block, four for each token (64)",
               "N"),
        option("root-blocks", raw.rootBlocks, "blocks that a customer's prompts share (4)", "N"),
        option("document-blocks", raw.documentBlocks, "blocks of a document below the root (8)",
               "N"),
        option("documents", raw.documents, "documents of a customer (50)", "N"),
        option("conversation-blocks", raw.conversationBlocks,
               "blocks of a conversation below the document (0)", "N"),
        option("conversations", raw.conversations, "conversations below each document (1)", "N"),
        option("own-bytes", raw.ownBytes, "least bytes that only one prompt has (64)", "N"),
        option("most-own-bytes", raw.mostOwnBytes,
               "most bytes that only one prompt has (the least)", "N"),
        option("skew", raw.skew, "skew of the documents' popularity (1.1)", "X"),
        option("shift", raw.shift, "seconds until others are popular (0: never)", "N"),
        option("storm-rate", raw.stormRate, "retries a second of work that is not in the load (0)",
               "N"),
        option("storm-from", raw.stormFrom, "second at which they begin (0)", "N"),
        option("storm-to", raw.stormTo, "second at which they end", "N"),
        POPT_AUTOHELP POPT_TABLEEND};
}

/// Writes what popt did not understand. Returns whether all words were understood.
bool checkWords(poptContext context, int rc)
{
    if (rc < -1)
        return complain(std::string(poptBadOption(context, POPT_BADOPTION_NOALIAS)) + ": "
                        + poptStrerror(rc));
    if (const char *word = poptPeekArg(context))
        return complain(std::string(word) + ": unexpected word");
    return true;
}

} // namespace

bool readArguments(int argc, const char **argv, Arguments &arguments)
{
    RawOptions raw;
    const std::vector<poptOption> options = optionTable(raw);
    poptContext context = poptGetContext("kumquatload", argc, argv, options.data(), 0);
    poptSetOtherOptionHelp(context, usageText);
    const int rc = poptGetNextOpt(context);
    const bool isGood = checkWords(context, rc) && fill(raw, arguments);
    poptFreeContext(context);
    for (char *it :
         {raw.targets, raw.keys, raw.model, raw.shares, raw.rates, raw.bursts, raw.requestsFile})
        std::free(it);
    return isGood;
}

} // namespace kumquathaven::load
