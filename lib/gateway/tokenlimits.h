// This instance's part in the customers' limits over all instances, on the event loop.

#ifndef KUMQUATHAVEN_LIB_GATEWAY_TOKENLIMITS_H
#define KUMQUATHAVEN_LIB_GATEWAY_TOKENLIMITS_H

#include "kumquathaven/base/error.h"
#include "kumquathaven/catalogue/view.h"
#include "kumquathaven/deployment/plan.h"
#include "kumquathaven/limits/node.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace kumquathaven::gateway {

/// Told once whether the tokens are there, or why not.
using TokensDecided = std::function<void(std::optional<Error> refusal)>;

/// Used on the loop's thread only.
class TokenLimits
{
public:
    /// \p send carries messages to another instance; what does not arrive is sent again.
    TokenLimits(const std::string &instance, std::uint64_t incarnation, Duration freshnessBound,
                std::function<void(const std::string &, const std::string &)> send);

    /// Takes the customers' limits, the instances and the newest proof of freshness.
    void configure(const deployment::Plan &plan, const catalogue::Snapshot &snapshot,
                   TimePoint now);

    /// Reserves tokens of a customer. Returns the reservation, which settle() ends; \p decided may
    /// be called before this returns. A customer without a limit is not asked for.
    std::uint64_t reserve(const deployment::Customer &customer, std::uint64_t tokens,
                          TokensDecided decided, TimePoint now);

    /// The request was sent: its tokens are spent for good.
    void startRun(std::uint64_t reservation);

    /// Ends a reservation. What did not run is free again. Nobody is told of it any more.
    void settle(std::uint64_t reservation, std::uint64_t used, TimePoint now);

    /// Takes messages of another instance.
    void receive(const std::string &from, const std::string &body, TimePoint now);

    /// To be called every few tens of milliseconds.
    void tick(TimePoint now);

    /// Messages of other instances that were not understood.
    std::uint64_t malformed() const { return m_malformed; }

private:
    void perform(limits::Effects &effects);

    limits::Node m_node;
    std::function<void(const std::string &, const std::string &)> m_send;
    std::map<std::uint64_t, TokensDecided> m_waiting;
    std::uint64_t m_malformed = 0;
};

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_LIB_GATEWAY_TOKENLIMITS_H
