#include "arrivals.h"

#include "kumquathaven/base/hash.h"
#include "kumquathaven/base/random.h"

#include <algorithm>
#include <cmath>
#include <string_view>

namespace kumquathaven::load {

namespace {

// Text that is the same for the same number and differs from its first byte for others.
std::string filler(const Piece &piece)
{
    static constexpr std::string_view alphabet = "abcdefghijklmnopqrstuvwxyz     ";
    Random random(piece.number);
    std::string text = std::to_string(piece.number) + " ";
    text.reserve(piece.bytes);
    while (text.size() < piece.bytes)
        text += alphabet[random.below(alphabet.size())];
    text.resize(piece.bytes);
    return text;
}

// A discrete distribution as cumulated weights.
using Distribution = std::vector<double>;

Distribution popularity(const LoadShape &shape)
{
    Distribution sums;
    double sum = 0;
    for (std::uint32_t n = 0; n < shape.documents; ++n) {
        sum += 1 / std::pow(n + 1.0, shape.skew);
        sums.push_back(sum);
    }
    return sums;
}

Distribution customerShares(const LoadShape &shape)
{
    Distribution sums;
    double sum = 0;
    for (std::uint32_t n = 0; n < shape.customers; ++n) {
        sum += shape.shares.empty() ? 1 : shape.shares.at(n);
        sums.push_back(sum);
    }
    return sums;
}

std::uint32_t draw(const Distribution &sums, Random &random)
{
    const double x = random.uniform() * sums.back();
    return static_cast<std::uint32_t>(std::upper_bound(sums.begin(), sums.end() - 1, x)
                                      - sums.begin());
}

std::uint32_t drawDocument(const LoadShape &shape, const Distribution &sums, Duration at,
                           Random &random)
{
    const std::uint32_t rank = draw(sums, random);
    if (shape.shift.count() == 0)
        return rank;
    constexpr std::uint32_t shiftStep = 7;
    const auto shifts = static_cast<std::uint32_t>(at / shape.shift);
    return (rank + shifts * shiftStep) % shape.documents;
}

std::vector<Piece> drawPrompt(const LoadShape &shape, std::uint32_t customer,
                              std::uint32_t document, Random &random)
{
    const std::uint64_t root = combineHash(shape.seed, customer);
    const std::uint64_t inRoot = combineHash(root, document);
    const std::uint64_t inDocument = combineHash(inRoot, random.below(shape.conversations));
    const std::uint32_t spread = shape.mostOwnBytes - shape.ownBytes;
    const auto own = shape.ownBytes + static_cast<std::uint32_t>(random.below(spread + 1ULL));
    std::vector<Piece> prompt;
    const auto add = [&prompt](std::uint64_t number, std::uint32_t bytes) {
        if (bytes > 0)
            prompt.push_back({number, bytes});
    };
    add(root, shape.rootBlocks * shape.blockBytes);
    add(inRoot, shape.documentBlocks * shape.blockBytes);
    add(inDocument, shape.conversationBlocks * shape.blockBytes);
    add(random.next(), own);
    return prompt;
}

// Returns the next arrival time of a Poisson process.
Duration after(Duration at, double ratePerSecond, Random &random)
{
    return at + fromSeconds(-std::log(1 - random.uniform()) / ratePerSecond);
}

void addStorm(const LoadShape &shape, std::vector<Arrival> &arrivals)
{
    const RetryStorm &storm = shape.storm;
    if (storm.ratePerSecond <= 0)
        return;
    constexpr std::uint64_t stormStream = 0x5704;
    Random random(combineHash(shape.seed, stormStream));
    const Duration end = std::min(storm.to, shape.length);
    for (Duration at = after(storm.from, storm.ratePerSecond, random); at < end;
         at = after(at, storm.ratePerSecond, random)) {
        const auto customer = static_cast<std::uint32_t>(random.below(shape.customers));
        arrivals.push_back({at, customer, {{random.next(), storm.promptBytes}}, true});
    }
}

} // namespace

std::vector<Arrival> makeArrivals(const LoadShape &shape)
{
    Random random(shape.seed);
    const Distribution documents = popularity(shape);
    const Distribution customers = customerShares(shape);
    std::vector<Arrival> arrivals;
    for (Duration at = after(Duration(0), shape.ratePerSecond, random); at < shape.length;
         at = after(at, shape.ratePerSecond, random)) {
        const std::uint32_t customer = draw(customers, random);
        const std::uint32_t document = drawDocument(shape, documents, at, random);
        arrivals.push_back({at, customer, drawPrompt(shape, customer, document, random), false});
    }
    addStorm(shape, arrivals);
    std::stable_sort(arrivals.begin(), arrivals.end(), [](const Arrival &a, const Arrival &b) {
        return a.at < b.at;
    });
    return arrivals;
}

std::string promptText(const Arrival &arrival)
{
    std::string text;
    for (const Piece &it : arrival.prompt)
        text += filler(it);
    return text;
}

std::uint64_t promptTokens(const Arrival &arrival)
{
    std::uint64_t bytes = 0;
    for (const Piece &it : arrival.prompt)
        bytes += it.bytes;
    return (bytes + bytesPerToken - 1) / bytesPerToken;
}

} // namespace kumquathaven::load
