#include "cataloguemachine.h"

#include "ordercodec.h"

#include "kumquathaven/catalogue/json.h"
#include "kumquathaven/wire/cbor.h"

#include <nlohmann/json.hpp>

namespace kumquathaven::control {

namespace {

std::string orderReply(routing::OrderRefusal refusal)
{
    return wire::toCbor(static_cast<unsigned>(refusal));
}

} // namespace

Result<routing::OrderRefusal> parseOrderAnswer(std::string_view bytes)
{
    BOOST_LEAF_AUTO(value, wire::fromCbor(bytes, "orders.answer", {}));
    constexpr auto last = static_cast<unsigned>(routing::OrderRefusal::NoSlot);
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > last)
        return fail({ErrorCode::Internal,
                     "orders.answer",
                     {},
                     "malformed answer to an order command",
                     Outcome::Unknown,
                     {}});
    return static_cast<routing::OrderRefusal>(value.get<unsigned>());
}

CatalogueMachine::CatalogueMachine(Changed changed, std::function<void()> restored)
    : m_changed(std::move(changed))
    , m_restored(std::move(restored))
{ }

StateMachine CatalogueMachine::stateMachine()
{
    StateMachine machine;
    machine.apply = [this](std::uint64_t index, std::string_view command) {
        return apply(index, command);
    };
    // Callers read the published state after a query; the log only confirms that it is the newest.
    machine.read = [](std::string_view) {
        return std::string();
    };
    machine.save = [this] {
        return wire::toCbor(nlohmann::json::array(
            {m_position, wire::binary(catalogue::encodeState(m_state)), toJson(m_orders)}));
    };
    machine.restore = [this](std::string_view bytes) {
        return restore(bytes);
    };
    return machine;
}

PublishedState CatalogueMachine::published() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_published;
}

std::string CatalogueMachine::apply(std::uint64_t index, std::string_view command)
{
    const nlohmann::json value = orElse(
        [&] {
            return wire::fromCbor(command, "control.apply", "log");
        },
        [](const Error &) {
            return nlohmann::json();
        });
    return value.is_array() ? applyOrder(value) : applyChange(index, value, command.size());
}

std::string CatalogueMachine::applyChange(std::uint64_t index, const nlohmann::json &command,
                                          std::size_t bytes)
{
    const std::uint64_t revision = m_state.catalogue.revision;
    const std::uint64_t epoch = m_state.instances.epoch;
    feed::ChangeAt at;
    const catalogue::Answer answer = orElse(
        [&]() -> Result<catalogue::Answer> {
            BOOST_LEAF_ASSIGN(at.change, catalogue::changeFromJson(command));
            return catalogue::apply(m_state, at.change);
        },
        [&](const Error &error) {
            return catalogue::Answer{false, error.code, error.message, revision, epoch};
        });
    at.revision = m_state.catalogue.revision;
    at.epoch = m_state.instances.epoch;
    if (at.revision != revision || at.epoch != epoch) {
        at.position = index;
        publish(index);
        m_changed(at, bytes);
    }
    return wire::toCbor(catalogue::toJson(answer));
}

/// Order commands do not advance the published position, since they are not fed to entry instances.
std::string CatalogueMachine::applyOrder(const nlohmann::json &command)
{
    const auto refusal = orElse(
        [&]() -> Result<routing::OrderRefusal> {
            BOOST_LEAF_AUTO(read, orderCommandFromJson(command));
            return routing::apply(m_orders, read, loadSlotsOf(m_state.catalogue));
        },
        [](const Error &) {
            return routing::OrderRefusal::Busy;
        });
    auto next = std::make_shared<const routing::OrderState>(m_orders);
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_published.orders = std::move(next);
    return orderReply(refusal);
}

Result<void> CatalogueMachine::restore(std::string_view bytes)
{
    BOOST_LEAF_AUTO(value, wire::fromCbor(bytes, "control.restore", "snapshot"));
    // A snapshot that an earlier version of the software wrote has no orders.
    const bool isWellFormed = value.is_array() && (value.size() == 2 || value.size() == 3)
        && value[0].is_number_unsigned() && value[1].is_binary();
    if (!isWellFormed)
        return fail({ErrorCode::Corrupt,
                     "control.restore",
                     "snapshot",
                     "not a snapshot of the catalogue",
                     Outcome::NotRun,
                     {}});
    const auto &state = value[1].get_binary();
    BOOST_LEAF_ASSIGN(m_state,
                      catalogue::decodeState(std::string(state.begin(), state.end()), "snapshot"));
    m_orders = {};
    if (value.size() > 2) {
        BOOST_LEAF_ASSIGN(m_orders, orderStateFromJson(value[2]));
    }
    publish(value[0].get<std::uint64_t>());
    m_restored();
    return {};
}

void CatalogueMachine::publish(std::uint64_t position)
{
    m_position = position;
    PublishedState next = published();
    next.position = position;
    next.orders = std::make_shared<const routing::OrderState>(m_orders);
    if (next.catalogue->revision != m_state.catalogue.revision)
        next.catalogue = std::make_shared<const catalogue::Catalogue>(m_state.catalogue);
    if (next.instances->epoch != m_state.instances.epoch) {
        next.instances = std::make_shared<const catalogue::Instances>(m_state.instances);
        next.drained = m_state.drained;
        next.epochAt = monotonicNow();
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_published = std::move(next);
}

} // namespace kumquathaven::control
