// Applies commands to the replicated state of orders.

#include "kumquathaven/routing/orders.h"

namespace kumquathaven::routing {

namespace {

struct Applier
{
    OrderState &state;
    std::uint32_t loadSlots;

    OrderRefusal operator()(const TakeOver &command) const
    {
        ++state.fence;
        state.holder = command.holder;
        state.source = command.source;
        return OrderRefusal::None;
    }

    OrderRefusal operator()(const SendOrder &command) const
    {
        const Order &order = command.open.order;
        if (order.fence != state.fence)
            return OrderRefusal::Fence;
        const auto known = state.open.find(order.upstream);
        if (known != state.open.end() && known->second.order.id != order.id)
            return OrderRefusal::Busy;
        if (known == state.open.end() && !isWithinLimits(order.kind))
            return OrderRefusal::NoSlot;
        state.open[order.upstream] = command.open;
        return OrderRefusal::None;
    }

    OrderRefusal operator()(const CloseOrder &command) const
    {
        if (command.fence != state.fence)
            return OrderRefusal::Fence;
        const auto known = state.open.find(command.upstream);
        if (known == state.open.end() || known->second.order.id != command.id)
            return OrderRefusal::None;
        state.open.erase(known);
        if (command.end == OrderEnd::Failed)
            ++state.failures[command.upstream];
        else
            state.failures.erase(command.upstream);
        return OrderRefusal::None;
    }

    bool isWithinLimits(OrderKind kind) const
    {
        if (state.open.size() >= maxOpenOrders)
            return false;
        return kind != OrderKind::Load || openLoads(state) < loadSlots;
    }
};

} // namespace

OrderRefusal apply(OrderState &state, const OrderCommand &command, std::uint32_t loadSlots)
{
    return std::visit(Applier{state, loadSlots}, command);
}

std::uint32_t openLoads(const OrderState &state)
{
    std::uint32_t n = 0;
    for (const auto &it : state.open)
        n += it.second.order.kind == OrderKind::Load ? 1 : 0;
    return n;
}

} // namespace kumquathaven::routing
