#include "workload.h"

#include "kumquathaven/base/hash.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace measure {

using kumquathaven::combineHash;
using kumquathaven::Random;
using kumquathaven::toSeconds;
using kumquathaven::routing::PrefixChain;

namespace {

constexpr std::size_t bytesPerToken = 4;

/// Returns an index below n, small ones most often.
std::uint32_t zipf(Random &random, std::uint32_t n, double skew)
{
    double total = 0;
    for (std::uint32_t i = 1; i <= n; ++i)
        total += std::pow(i, -skew);
    double draw = random.uniform() * total;
    for (std::uint32_t i = 1; i <= n; ++i) {
        draw -= std::pow(i, -skew);
        if (draw <= 0)
            return i - 1;
    }
    return n - 1;
}

/// Returns text of whole blocks, the same for the same key.
std::string blocksOf(std::uint64_t key, std::uint32_t blocks, std::uint32_t blockTokens)
{
    std::string text;
    const std::size_t blockBytes = blockTokens * bytesPerToken;
    text.reserve(blocks * blockBytes);
    for (std::uint32_t n = 0; n < blocks; ++n) {
        const std::string word =
            std::to_string(combineHash(key, n) % 100000000 + 100000000).substr(1);
        for (std::size_t size = 0; size < blockBytes; size += word.size())
            text += word;
    }
    return text;
}

/// The nested levels of one prompt.
struct Levels
{
    std::uint32_t customer = 0;
    std::uint32_t document = 0;
    std::uint32_t conversation = 0;
};

Levels drawLevels(const WorkloadConfig &config, Random &random, TimePoint at)
{
    // A few customers are large.
    Levels levels;
    levels.customer = zipf(random, config.customers, 1.0);
    const auto shift = static_cast<std::uint32_t>(at.time_since_epoch() / config.shiftEvery);
    const std::uint32_t rank = zipf(random, config.documents, config.skew);
    levels.document = (rank + shift * 7) % config.documents;
    levels.conversation = zipf(random, config.conversations, 0.8);
    return levels;
}

std::string promptOf(const WorkloadConfig &config, const Levels &levels, Random &random,
                     std::map<std::uint64_t, std::string> &known)
{
    const auto level = [&](std::uint64_t key, std::uint32_t blocks) {
        std::string &text = known[key];
        if (text.empty())
            text = blocksOf(key, blocks, config.blockTokens);
        return text;
    };
    const std::uint64_t customer = combineHash(config.seed, levels.customer);
    const std::uint64_t document = combineHash(customer, levels.document + 1000);
    const std::uint64_t conversation = combineHash(document, levels.conversation + 1000);
    std::string prompt = level(customer, 2);
    prompt += level(document, 1 + document % 4);
    prompt += level(conversation, conversation % 3);
    const std::uint32_t span = config.mostOwnTokens - config.leastOwnTokens;
    const std::size_t tail = (config.leastOwnTokens + random.below(span)) * bytesPerToken;
    const std::string word = std::to_string(random.next());
    const std::size_t whole = prompt.size() + tail;
    while (prompt.size() < whole)
        prompt += word;
    return prompt;
}

} // namespace

std::vector<Arrival> makeArrivals(const WorkloadConfig &config)
{
    Random random(config.seed);
    std::map<std::uint64_t, std::string> known;
    std::vector<Arrival> arrivals;
    TimePoint at{};
    while (true) {
        const double ramp =
            std::min(1.0, 0.2 + toSeconds(at.time_since_epoch()) / toSeconds(config.ramp));
        const double rate = config.requestsPerSecond * (config.ramp > Duration(0) ? ramp : 1.0);
        at += kumquathaven::fromSeconds(-std::log(1 - random.uniform()) / rate);
        if (at.time_since_epoch() > config.length)
            return arrivals;
        const Levels levels = drawLevels(config, random, at);
        const std::string prompt = promptOf(config, levels, random, known);
        const auto entry = static_cast<std::uint32_t>(random.below(config.entries));
        const auto output = static_cast<std::uint32_t>(20 + random.below(180));
        const std::string customer = "customer" + std::to_string(levels.customer);
        arrivals.push_back(
            {at, entry, PrefixChain({customer, "m", {}, "1"}, prompt, config.blockTokens), output});
    }
}

} // namespace measure
