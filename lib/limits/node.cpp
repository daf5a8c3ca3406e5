#include "kumquathaven/limits/node.h"

#include <utility>

namespace kumquathaven::limits {

namespace {

/// Passes an answer to the spender. A grant is dropped if this instance has promised to follow a
/// later home.
void deliverAnswer(Node &node, const std::string &from, const Answer &answer, TimePoint now,
                   Effects &effects)
{
    if (answer.kind != AnswerKind::Granted) {
        handleAnswer(node.spender, from, answer, now, effects);
        return;
    }
    if (!acceptsGrant(node.keeper, answer.bucket, answer.term))
        return;
    handleAnswer(node.spender, from, answer, now, effects);
    const auto it = node.spender.accounts.find(answer.bucket);
    if (it != node.spender.accounts.end())
        recordMaySpendUntil(node.keeper, answer.bucket, it->second.validUntil);
}

/// Delivers the messages addressed to this instance, and those that result from them, until only
/// messages to other instances remain.
void deliverOwnMessages(Node &node, TimePoint now, Effects &effects)
{
    std::vector<Envelope> outgoing;
    while (!effects.messages.empty()) {
        std::vector<Envelope> batch = std::move(effects.messages);
        effects.messages.clear();
        for (Envelope &it : batch) {
            if (it.to != node.spender.name) {
                outgoing.push_back(std::move(it));
                continue;
            }
            const std::string &self = node.spender.name;
            if (const auto *tokenRequest = std::get_if<TokenRequest>(&it.message))
                handleTokenRequest(node.keeper, self, *tokenRequest, now, effects);
            else if (const auto *answer = std::get_if<Answer>(&it.message))
                deliverAnswer(node, self, *answer, now, effects);
        }
    }
    effects.messages = std::move(outgoing);
}

} // namespace

Node makeNode(const std::string &name, std::uint64_t incarnation, const Config &config)
{
    Node node;
    node.spender.name = name;
    node.spender.incarnation = incarnation;
    node.spender.config = config;
    node.keeper.name = name;
    node.keeper.incarnation = incarnation;
    node.keeper.config = config;
    return node;
}

void configure(Node &node, std::shared_ptr<const catalogue::Instances> instances,
               const std::map<std::string, BucketLimits> &limits, TimePoint provenAt, TimePoint now,
               Effects &effects)
{
    configureKeeper(node.keeper, *instances, limits, provenAt, now, effects);
    node.spender.instances = std::move(instances);
    deliverOwnMessages(node, now, effects);
}

Decision reserve(Node &node, const std::vector<Draw> &draws, const Cost &cost, TimePoint now,
                 Effects &effects)
{
    Decision decision = reserve(node.spender, draws, cost, now, effects);
    deliverOwnMessages(node, now, effects);
    return decision;
}

void startRun(Node &node, std::uint64_t reservation)
{
    startRun(node.spender, reservation);
}

void settle(Node &node, std::uint64_t reservation, std::uint64_t used, TimePoint now,
            Effects &effects)
{
    settle(node.spender, reservation, used, now, effects);
    deliverOwnMessages(node, now, effects);
}

void handleMessage(Node &node, const std::string &from, const Message &message, TimePoint now,
                   Effects &effects)
{
    Keeper &keeper = node.keeper;
    if (const auto *tokenRequest = std::get_if<TokenRequest>(&message))
        handleTokenRequest(keeper, from, *tokenRequest, now, effects);
    else if (const auto *answer = std::get_if<Answer>(&message))
        deliverAnswer(node, from, *answer, now, effects);
    else if (const auto *replicate = std::get_if<Replicate>(&message))
        handleReplicate(keeper, from, *replicate, now, effects);
    else if (const auto *ack = std::get_if<ReplicaAck>(&message))
        handleReplicaAck(keeper, from, *ack, now, effects);
    else if (const auto *prepare = std::get_if<Prepare>(&message))
        handlePrepare(keeper, from, *prepare, now, effects);
    else if (const auto *promise = std::get_if<Promise>(&message))
        handlePromise(keeper, from, *promise, now, effects);
    deliverOwnMessages(node, now, effects);
}

void tick(Node &node, TimePoint now, Effects &effects)
{
    tickSpender(node.spender, now, effects);
    tickKeeper(node.keeper, now, effects);
    deliverOwnMessages(node, now, effects);
}

} // namespace kumquathaven::limits
