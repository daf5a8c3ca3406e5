// Orders to upstreams: the state that passes from one holder to the next, and what the holder sends
// next, under a fencing number and within the loads allowed.

#ifndef KUMQUATHAVEN_ROUTING_ORDERS_H
#define KUMQUATHAVEN_ROUTING_ORDERS_H

#include "kumquathaven/base/enumnames.h"
#include "kumquathaven/base/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace kumquathaven::routing {

/// Bounds of the issuing of orders.
struct OrderPolicy
{
    /// Servers that load weights at the same time.
    std::uint32_t loadSlots = 1;
    /// How long after it asked for a permission its holder may still send.
    Duration lease = std::chrono::seconds(2);
    /// Longest time that an order can be under way to an upstream.
    Duration maxDeliveryDelay = std::chrono::seconds(5);
    /// Time after which an order that was never seen to end counts as failed.
    Duration maxLoadTime = std::chrono::minutes(10);
    /// Pause after a failed order, for each failure in a row.
    Duration retryPause = std::chrono::seconds(5);
    Duration maxRetryPause = std::chrono::minutes(1);
};

/// Orders that may be open at the same time.
constexpr std::size_t maxOpenOrders = 256;

/// What operators want an upstream to serve. An empty weights version or role is not ordered.
struct Desired
{
    std::string model;
    std::string weightsVersion;
    /// Sorted.
    std::vector<std::string> adapters;
    std::string role;
    bool checksFencing = false;
    /// It gets no new requests, so that its load takes nothing from its model's service.
    bool leaving = false;
};

/// What an upstream last said about itself.
struct Observed
{
    std::uint64_t incarnation = 0;
    std::string weightsVersion;
    /// Sorted.
    std::vector<std::string> adapters;
    std::string role;
    bool loading = false;
};

enum class OrderKind { Load, Role };

constexpr std::array<EnumName<OrderKind>, 2> orderKindNames{{
    {OrderKind::Load, "load"},
    {OrderKind::Role, "role"},
}};

/// One order. The same wish to the same incarnation has the same id until it failed, whoever sends
/// it, so that an upstream applies it once.
struct Order
{
    std::string id;
    std::uint64_t fence = 0;
    std::string upstream;
    OrderKind kind = OrderKind::Load;
    std::string weightsVersion;
    std::vector<std::string> adapters;
    std::string role;
};

/// An order that may have been sent and whose end was not seen yet.
struct OpenOrder
{
    Order order;
    /// The upstream's incarnation that the order is for.
    std::uint64_t incarnation = 0;
};

/// The replicated state. It has no times, since the clocks of its holders differ.
struct OrderState
{
    /// The fencing number of the present holder. Zero: there was none yet.
    std::uint64_t fence = 0;
    /// Instance name of the holder, and a random number of its start.
    std::string holder;
    std::uint64_t source = 0;
    /// By upstream; at most one each, so that orders cannot overtake one another.
    std::map<std::string, OpenOrder> open;
    /// Failures in a row, by upstream.
    std::map<std::string, std::uint32_t> failures;
};

/// A new holder begins. It gets the next fencing number.
struct TakeOver
{
    std::string holder;
    std::uint64_t source = 0;
};

/// Asks for the permission to send an order, for the first time or again.
struct SendOrder
{
    OpenOrder open;
};

/// How an order ended.
enum class OrderEnd {
    /// Its effect was seen.
    Done,
    /// It will have no effect, or none was seen for too long.
    Failed,
    /// The upstream restarted or is no longer listed.
    Obsolete,
};

constexpr std::array<EnumName<OrderEnd>, 3> orderEndNames{{
    {OrderEnd::Done, "done"},
    {OrderEnd::Failed, "failed"},
    {OrderEnd::Obsolete, "obsolete"},
}};

/// Ends an open order. Harmless twice.
struct CloseOrder
{
    std::uint64_t fence = 0;
    std::string upstream;
    std::string id;
    OrderEnd end = OrderEnd::Done;
};

using OrderCommand = std::variant<TakeOver, SendOrder, CloseOrder>;

/// Why a command was refused.
enum class OrderRefusal {
    None,
    /// Another holder has a higher number.
    Fence,
    /// Another order is open at the upstream.
    Busy,
    /// All load slots are taken, or too many orders are open.
    NoSlot,
};

/// Applies a command. Deterministic: equal states, commands and slots give equal results. A refused
/// command changes nothing.
OrderRefusal apply(OrderState &state, const OrderCommand &command, std::uint32_t loadSlots);

/// Returns the number of open orders to load.
std::uint32_t openLoads(const OrderState &state);

/// What the holder remembers of an open order.
struct SentOrder
{
    std::string id;
    /// Whether this holder sent it; else an earlier one may have.
    bool isOwn = false;
    TimePoint firstSentAt{};
    TimePoint sentAt{};
    /// The upstream answered that it takes the order.
    bool isAccepted = false;
    bool wasSeenLoading = false;
};

/// What the present holder knows by its own clock. A new holder starts with nothing.
struct HolderMemory
{
    std::uint64_t fence = 0;
    /// When the holder learned that its number is in force. No earlier holder got a permission
    /// after that.
    TimePoint takenOverAt{};
    std::map<std::string, SentOrder> sent;
    /// After a failure, by upstream.
    std::map<std::string, TimePoint> pausedUntil;
};

/// Returns from when orders may go to upstreams that ignore fencing numbers: no order of an earlier
/// holder can arrive after that.
TimePoint earlierOrdersExpireAt(const HolderMemory &memory, const OrderPolicy &policy);

/// Returns the commands to propose now. An order may be sent once its SendOrder was accepted, and
/// only until the lease has passed since the command was proposed.
std::vector<OrderCommand> planOrders(const OrderState &state, HolderMemory &memory,
                                     const std::map<std::string, Desired> &desired,
                                     const std::map<std::string, Observed> &observed,
                                     const OrderPolicy &policy, TimePoint now);

/// Notes that an order is on its way or may be.
void recordSent(HolderMemory &memory, const Order &order, TimePoint now);

/// Notes that an upstream answered that it takes an order.
void recordAccepted(HolderMemory &memory, const Order &order);

} // namespace kumquathaven::routing

#endif // KUMQUATHAVEN_ROUTING_ORDERS_H
