// The replicated state machine of the catalogue, the entry instances and the orders, which share
// one log group, and a copy of its newest state for other threads.

#ifndef KUMQUATHAVEN_CONTROL_CATALOGUEMACHINE_H
#define KUMQUATHAVEN_CONTROL_CATALOGUEMACHINE_H

#include "kumquathaven/base/statemachine.h"
#include "kumquathaven/base/time.h"
#include "kumquathaven/catalogue/state.h"
#include "kumquathaven/feed/messages.h"
#include "kumquathaven/routing/orders.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>
#include <mutex>

namespace kumquathaven::control {

/// An immutable copy of the state after the newest change.
struct PublishedState
{
    /// Log index of the newest change that had an effect on the catalogue or the instances.
    std::uint64_t position = 0;
    std::shared_ptr<const catalogue::Catalogue> catalogue =
        std::make_shared<const catalogue::Catalogue>();
    std::shared_ptr<const catalogue::Instances> instances =
        std::make_shared<const catalogue::Instances>();
    std::set<std::string> drained;
    /// When this member applied the change that started the present epoch.
    TimePoint epochAt;
    std::shared_ptr<const routing::OrderState> orders =
        std::make_shared<const routing::OrderState>();
};

/// Parses the state machine's answer to an order command; OrderRefusal::None means that it was
/// accepted. Fails with Internal if \p bytes are not such an answer.
Result<routing::OrderRefusal> parseOrderAnswer(std::string_view bytes);

/// Applies changes on the log's thread and publishes the resulting state to other threads.
class CatalogueMachine
{
public:
    /// Takes a change and the size of the command that it was in.
    using Changed = std::function<void(const feed::ChangeAt &change, std::size_t bytes)>;

    /// \p changed is called for every change of the catalogue or the instances that had an effect,
    /// \p restored when the state was replaced by a snapshot. Both are called on the log's thread
    /// after the state is published.
    CatalogueMachine(Changed changed, std::function<void()> restored);

    /// Returns the functions that a log group calls. They refer to this object, which must outlive
    /// them.
    StateMachine stateMachine();

    /// Returns the newest published state. May be called by any thread.
    PublishedState published() const;

private:
    std::string apply(std::uint64_t index, std::string_view command);
    std::string applyChange(std::uint64_t index, const nlohmann::json &command, std::size_t bytes);
    std::string applyOrder(const nlohmann::json &command);
    Result<void> restore(std::string_view bytes);
    void publish(std::uint64_t position);

    Changed m_changed;
    std::function<void()> m_restored;
    catalogue::State m_state;
    routing::OrderState m_orders;
    std::uint64_t m_position = 0;
    mutable std::mutex m_mutex;
    PublishedState m_published;
};

} // namespace kumquathaven::control

#endif // KUMQUATHAVEN_CONTROL_CATALOGUEMACHINE_H
