// Plans the next orders of their current holder.

#include "kumquathaven/routing/orders.h"

#include "kumquathaven/base/hash.h"

#include <algorithm>
#include <optional>
#include <set>

namespace kumquathaven::routing {

namespace {

std::string idOf(const Order &order, std::uint64_t incarnation, std::uint32_t failures)
{
    std::uint64_t hash = combineHash(stableHash(order.upstream), incarnation);
    hash = combineHash(hash, stableHash(nameOf(orderKindNames, order.kind)));
    hash = combineHash(hash, stableHash(order.weightsVersion));
    for (const std::string &it : order.adapters)
        hash = combineHash(hash, stableHash(it));
    hash = combineHash(hash, stableHash(order.role));
    // An upstream repeats its earlier answer to the id of a failed order, so a retry needs a new
    // id.
    return std::to_string(combineHash(hash, failures));
}

bool isLoaded(const std::string &weightsVersion, const std::vector<std::string> &adapters,
              const Observed &observed)
{
    return !observed.loading && observed.weightsVersion == weightsVersion
        && observed.adapters == adapters;
}

/// Returns the order that brings an upstream to its desired state, or nothing if it is in that
/// state.
std::optional<OpenOrder> orderFor(const std::string &upstream, const Desired &desired,
                                  const Observed &observed, const OrderState &state)
{
    Order order;
    order.upstream = upstream;
    order.fence = state.fence;
    if (!desired.weightsVersion.empty()
        && !isLoaded(desired.weightsVersion, desired.adapters, observed)) {
        order.kind = OrderKind::Load;
        order.weightsVersion = desired.weightsVersion;
        order.adapters = desired.adapters;
    } else if (!desired.role.empty() && observed.role != desired.role) {
        order.kind = OrderKind::Role;
        order.role = desired.role;
    } else {
        return std::nullopt;
    }
    const auto failed = state.failures.find(upstream);
    order.id =
        idOf(order, observed.incarnation, failed == state.failures.end() ? 0 : failed->second);
    return OpenOrder{order, observed.incarnation};
}

/// Plans the commands of one pass over the state.
class Planner
{
public:
    Planner(const OrderState &state, HolderMemory &memory,
            const std::map<std::string, Desired> &desired,
            const std::map<std::string, Observed> &observed, const OrderPolicy &policy,
            TimePoint now)
        : m_state(state)
        , m_memory(memory)
        , m_desired(desired)
        , m_observed(observed)
        , m_policy(policy)
        , m_now(now)
    { }

    std::vector<OrderCommand> plan()
    {
        dropClosed();
        countLoads();
        for (const auto &it : m_state.open)
            checkOpenOrder(it.first, it.second);
        for (const auto &it : m_desired)
            begin(it.first, it.second);
        return std::move(m_commands);
    }

private:
    /// Drops the holder's records of orders that are no longer open in the state.
    void dropClosed()
    {
        for (auto it = m_memory.sent.begin(); it != m_memory.sent.end();) {
            const auto open = m_state.open.find(it->first);
            const bool isOpen =
                open != m_state.open.end() && open->second.order.id == it->second.id;
            it = isOpen ? std::next(it) : m_memory.sent.erase(it);
        }
    }

    void countLoads()
    {
        m_loads = openLoads(m_state);
        for (const auto &[name, seen] : m_observed) {
            const auto open = m_state.open.find(name);
            const bool isCounted =
                open != m_state.open.end() && open->second.order.kind == OrderKind::Load;
            m_loads += seen.loading && !isCounted ? 1 : 0;
        }
        for (const auto &[name, target] : m_desired) {
            if (target.leaving)
                continue;
            ++m_models[target.model].listed;
            if (isServing(name))
                ++m_models[target.model].serving;
            else if (m_observed.count(name) > 0)
                ++m_models[target.model].loading;
        }
    }

    bool isServing(const std::string &name) const
    {
        const auto seen = m_observed.find(name);
        if (seen == m_observed.end() || seen->second.loading)
            return false;
        const auto open = m_state.open.find(name);
        return open == m_state.open.end() || open->second.order.kind != OrderKind::Load;
    }

    bool maySendOrder(const Desired &target) const
    {
        return target.checksFencing || m_now >= earlierOrdersExpireAt(m_memory, m_policy);
    }

    /// Returns the holder's record of an open order, which is created if needed. An order that an
    /// earlier holder opened may have been sent until that holder's last permission expired.
    SentOrder &sentOrderOf(const OpenOrder &open)
    {
        const auto [it, isNew] = m_memory.sent.try_emplace(open.order.upstream);
        if (isNew) {
            it->second.id = open.order.id;
            it->second.firstSentAt = m_memory.takenOverAt + m_policy.lease;
            it->second.sentAt = it->second.firstSentAt;
        }
        return it->second;
    }

    void checkOpenOrder(const std::string &name, const OpenOrder &open)
    {
        SentOrder &sent = sentOrderOf(open);
        const auto seen = m_observed.find(name);
        if (seen == m_observed.end()) {
            if (m_now - sent.sentAt > m_policy.maxLoadTime)
                close(open, OrderEnd::Obsolete);
            return;
        }
        sent.wasSeenLoading = sent.wasSeenLoading || seen->second.loading;
        if (const auto end = endOf(open, sent, seen->second)) {
            close(open, *end);
            return;
        }
        resend(name, open, sent, seen->second);
    }

    std::optional<OrderEnd> endOf(const OpenOrder &open, const SentOrder &sent,
                                  const Observed &seen) const
    {
        const bool hasArrived = m_now - sent.sentAt > m_policy.maxDeliveryDelay;
        if (seen.incarnation != open.incarnation)
            return hasArrived ? std::make_optional(OrderEnd::Obsolete) : std::nullopt;
        const Order &order = open.order;
        const bool isDone = order.kind == OrderKind::Role
            ? seen.role == order.role
            : isLoaded(order.weightsVersion, order.adapters, seen);
        if (isDone)
            return OrderEnd::Done;
        // An order that the upstream accepted has ended without effect if the upstream is no longer
        // loading.
        const bool wasAccepted = sent.wasSeenLoading || (sent.isAccepted && hasArrived);
        const bool isLate = m_now - sent.firstSentAt > m_policy.maxLoadTime;
        if (isLate || (wasAccepted && !seen.loading))
            return OrderEnd::Failed;
        return std::nullopt;
    }

    void resend(const std::string &name, const OpenOrder &open, const SentOrder &sent,
                const Observed &seen)
    {
        const auto target = m_desired.find(name);
        if (target == m_desired.end() || seen.loading || seen.incarnation != open.incarnation
            || !maySendOrder(target->second))
            return;
        if (sent.isOwn && m_now - sent.sentAt <= m_policy.maxDeliveryDelay)
            return;
        OpenOrder again = open;
        again.order.fence = m_state.fence;
        m_commands.emplace_back(SendOrder{again});
    }

    void close(const OpenOrder &open, OrderEnd end)
    {
        const std::string &name = open.order.upstream;
        if (end == OrderEnd::Failed) {
            const auto known = m_state.failures.find(name);
            const std::uint32_t failures =
                1 + (known == m_state.failures.end() ? 0 : known->second);
            m_memory.pausedUntil[name] =
                m_now + std::min(m_policy.retryPause * failures, m_policy.maxRetryPause);
        } else {
            m_memory.pausedUntil.erase(name);
        }
        m_commands.emplace_back(CloseOrder{m_state.fence, name, open.order.id, end});
    }

    void begin(const std::string &name, const Desired &target)
    {
        const auto seen = m_observed.find(name);
        if (m_state.open.count(name) > 0 || seen == m_observed.end() || seen->second.loading
            || !maySendOrder(target))
            return;
        const auto paused = m_memory.pausedUntil.find(name);
        if (paused != m_memory.pausedUntil.end() && m_now < paused->second)
            return;
        const auto open = orderFor(name, target, seen->second, m_state);
        if (!open)
            return;
        if (open->order.kind == OrderKind::Load && !takeSlot(target))
            return;
        m_commands.emplace_back(SendOrder{*open});
    }

    /// Takes a load slot. Returns false and takes nothing if none is free or too few upstreams of
    /// the model would remain serving.
    bool takeSlot(const Desired &target)
    {
        if (m_loads >= m_policy.loadSlots)
            return false;
        if (!target.leaving) {
            Model &it = m_models[target.model];
            const bool isLast = it.listed > 1 && it.serving < 2;
            if (isLast || it.loading >= std::max(1U, it.listed / 2))
                return false;
            ++it.loading;
            --it.serving;
        }
        ++m_loads;
        return true;
    }

    struct Model
    {
        std::uint32_t listed = 0;
        std::uint32_t serving = 0;
        std::uint32_t loading = 0;
    };

    const OrderState &m_state;
    HolderMemory &m_memory;
    const std::map<std::string, Desired> &m_desired;
    const std::map<std::string, Observed> &m_observed;
    const OrderPolicy &m_policy;
    const TimePoint m_now;
    std::uint32_t m_loads = 0;
    std::map<std::string, Model> m_models;
    std::vector<OrderCommand> m_commands;
};

} // namespace

TimePoint earlierOrdersExpireAt(const HolderMemory &memory, const OrderPolicy &policy)
{
    const bool isFirstHolder = memory.fence <= 1;
    return isFirstHolder ? memory.takenOverAt
                         : memory.takenOverAt + policy.lease + policy.maxDeliveryDelay;
}

std::vector<OrderCommand> planOrders(const OrderState &state, HolderMemory &memory,
                                     const std::map<std::string, Desired> &desired,
                                     const std::map<std::string, Observed> &observed,
                                     const OrderPolicy &policy, TimePoint now)
{
    return Planner(state, memory, desired, observed, policy, now).plan();
}

void recordSent(HolderMemory &memory, const Order &order, TimePoint now)
{
    SentOrder &sent = memory.sent[order.upstream];
    if (!sent.isOwn || sent.id != order.id)
        sent = {order.id, true, now, now, false, sent.id == order.id && sent.wasSeenLoading};
    sent.sentAt = now;
}

void recordAccepted(HolderMemory &memory, const Order &order)
{
    const auto it = memory.sent.find(order.upstream);
    if (it != memory.sent.end() && it->second.id == order.id)
        it->second.isAccepted = true;
}

} // namespace kumquathaven::routing
