// Orders to upstreams to load weights or change role: the replicated state, and the planning of the
// next orders by its current holder, under a fencing number and a limit on concurrent loads.

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

/// The limits under which orders are issued.
struct OrderPolicy
{
    /// Maximum number of upstreams that load weights at the same time.
    std::uint32_t loadSlots = 1;
    /// How long a holder may send an order after it proposed the SendOrder that permits it.
    Duration lease = std::chrono::seconds(2);
    /// Maximum time from the sending of an order to its arrival at the upstream.
    Duration maxDeliveryDelay = std::chrono::seconds(5);
    /// Time after which an order whose end was not observed counts as failed, or as obsolete if its
    /// upstream is not observed either.
    Duration maxLoadTime = std::chrono::minutes(10);
    /// Pause after a failed order, multiplied by the number of failures in a row, up to
    /// maxRetryPause.
    Duration retryPause = std::chrono::seconds(5);
    Duration maxRetryPause = std::chrono::minutes(1);
};

/// Maximum number of open orders.
constexpr std::size_t maxOpenOrders = 256;

/// The state that operators want an upstream to be in. An empty weights version or role means that
/// none is ordered.
struct Desired
{
    std::string model;
    std::string weightsVersion;
    /// Sorted.
    std::vector<std::string> adapters;
    std::string role;
    /// Whether the upstream rejects orders with an outdated fencing number.
    bool checksFencing = false;
    /// Whether the upstream gets no new requests, so that loading weights on it does not reduce the
    /// capacity of its model.
    bool leaving = false;
};

/// The state that an upstream last reported.
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

/// One order. Orders for the same desired state to the same incarnation have the same id until one
/// fails, whichever holder sends them, so that an upstream applies them only once.
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

/// An order that may have been sent and whose end was not observed yet.
struct OpenOrder
{
    Order order;
    /// The incarnation of the upstream that the order is for.
    std::uint64_t incarnation = 0;
};

/// The replicated state of orders. It contains no times, since the clocks of its holders differ.
struct OrderState
{
    /// The fencing number of the current holder. Zero if there was none yet.
    std::uint64_t fence = 0;
    /// The instance name of the holder, and a random number that was drawn when it started.
    std::string holder;
    std::uint64_t source = 0;
    /// Open orders by upstream. There is at most one for each upstream, so that orders cannot
    /// overtake each other.
    std::map<std::string, OpenOrder> open;
    /// Failed orders in a row, by upstream.
    std::map<std::string, std::uint32_t> failures;
};

/// Makes an instance the holder, under the next fencing number.
struct TakeOver
{
    std::string holder;
    std::uint64_t source = 0;
};

/// Requests permission to send an order, for the first time or again.
struct SendOrder
{
    OpenOrder open;
};

/// How an order ended.
enum class OrderEnd {
    /// Its effect was observed.
    Done,
    /// It will have no effect, or no effect was observed for too long.
    Failed,
    /// The upstream restarted or is no longer listed.
    Obsolete,
};

constexpr std::array<EnumName<OrderEnd>, 3> orderEndNames{{
    {OrderEnd::Done, "done"},
    {OrderEnd::Failed, "failed"},
    {OrderEnd::Obsolete, "obsolete"},
}};

/// Closes an open order. Has no effect if the order is already closed.
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
    /// The command does not have the current fencing number.
    Fence,
    /// Another order is open for the upstream.
    Busy,
    /// All load slots are taken, or too many orders are open.
    NoSlot,
};

/// Applies a command and returns why it was refused, or None. A refused command changes nothing.
/// The function is deterministic: equal states, commands and slots give equal results.
OrderRefusal apply(OrderState &state, const OrderCommand &command, std::uint32_t loadSlots);

/// Returns the number of open orders to load weights.
std::uint32_t openLoads(const OrderState &state);

/// What the holder knows of an open order.
struct SentOrder
{
    std::string id;
    /// Whether this holder sent the order; otherwise an earlier holder may have.
    bool isOwn = false;
    TimePoint firstSentAt{};
    /// When the order was last sent.
    TimePoint sentAt{};
    /// Whether the upstream answered that it accepts the order.
    bool isAccepted = false;
    /// Whether the upstream was observed loading while the order was open.
    bool wasSeenLoading = false;
};

/// The local state of the current holder, with times of its own clock. It is not replicated; a new
/// holder starts with an empty one.
struct HolderMemory
{
    std::uint64_t fence = 0;
    /// When the holder learned that its fencing number is in force. No earlier holder was granted a
    /// permission after that.
    TimePoint takenOverAt{};
    /// Open orders by upstream.
    std::map<std::string, SentOrder> sent;
    /// By upstream, the time until which no order is sent after a failure.
    std::map<std::string, TimePoint> pausedUntil;
};

/// Returns the time from which orders may be sent to upstreams that ignore fencing numbers: no
/// order of an earlier holder can arrive after it.
TimePoint earlierOrdersExpireAt(const HolderMemory &memory, const OrderPolicy &policy);

/// Returns the commands to propose now. An order may be sent once its SendOrder was applied without
/// a refusal, and only until OrderPolicy::lease has passed since the command was proposed.
std::vector<OrderCommand> planOrders(const OrderState &state, HolderMemory &memory,
                                     const std::map<std::string, Desired> &desired,
                                     const std::map<std::string, Observed> &observed,
                                     const OrderPolicy &policy, TimePoint now);

/// Records that an order was sent or may have been sent.
void recordSent(HolderMemory &memory, const Order &order, TimePoint now);

/// Records that an upstream answered that it accepts an order.
void recordAccepted(HolderMemory &memory, const Order &order);

} // namespace kumquathaven::routing

#endif // KUMQUATHAVEN_ROUTING_ORDERS_H
