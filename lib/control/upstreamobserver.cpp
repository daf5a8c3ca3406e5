#include "upstreamobserver.h"

#include "kumquathaven/base/hex.h"
#include "kumquathaven/runtime/httpclient.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>

namespace kumquathaven::control {

namespace {

using nlohmann::json;

constexpr Duration passInterval = std::chrono::milliseconds(50);
constexpr Duration settledInterval = std::chrono::seconds(1);
constexpr Duration changingInterval = std::chrono::milliseconds(250);
constexpr Duration unreachableInterval = std::chrono::seconds(2);
constexpr Duration connectTimeout = std::chrono::milliseconds(250);
constexpr Duration silenceTimeout = std::chrono::milliseconds(500);
constexpr std::size_t maxHealthBytes = std::size_t(64) * 1024;

std::vector<std::string> sorted(std::vector<std::string> list)
{
    std::sort(list.begin(), list.end());
    return list;
}

/// Parses the body of an engine's health response. Returns nothing if it is malformed.
std::optional<routing::Observed> readHealth(const std::string &body)
{
    try {
        const json health = json::parse(body);
        routing::Observed seen;
        seen.incarnation = fromHex(health.at("incarnation").get<std::string>());
        seen.weightsVersion = health.at("version").get<std::string>();
        seen.adapters = sorted(health.value("adapters", std::vector<std::string>()));
        seen.role = health.value("role", std::string());
        seen.loading = health.at("status").get<std::string>() == "loading";
        return seen;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

std::optional<routing::Observed> fetchHealth(const settings::Address &address)
{
    const runtime::CallTimeouts timeouts{connectTimeout, silenceTimeout, {}, 2 * silenceTimeout};
    return orElse(
        [&]() -> Result<std::optional<routing::Observed>> {
            BOOST_LEAF_AUTO(
                reply,
                runtime::fetch(address, "GET", "/healthz", {}, {}, timeouts, maxHealthBytes));
            return reply.status == 200 ? readHealth(reply.body) : std::nullopt;
        },
        [](const Error &) {
            return std::optional<routing::Observed>();
        });
}

routing::Desired desiredOf(const catalogue::Upstream &upstream)
{
    const catalogue::DesiredState &it = *upstream.desired;
    return {upstream.model,         it.weightsVersion,
            sorted(it.adapters),    it.role,
            upstream.checksFencing, upstream.state != catalogue::UpstreamState::Serving};
}

} // namespace

std::map<std::string, routing::Desired> desiredOf(const catalogue::Catalogue &catalogue)
{
    std::map<std::string, routing::Desired> all;
    for (const auto &[name, upstream] : catalogue.upstreams) {
        if (upstream.desired)
            all[name] = desiredOf(upstream);
    }
    return all;
}

bool matchesDesired(const routing::Desired &desired, const routing::Observed &observed)
{
    const bool isLoaded = desired.weightsVersion.empty()
        || (observed.weightsVersion == desired.weightsVersion
            && observed.adapters == desired.adapters);
    return isLoaded && !observed.loading && (desired.role.empty() || observed.role == desired.role);
}

UpstreamObserver::UpstreamObserver(const CatalogueMachine &machine)
    : m_machine(machine)
{ }

void UpstreamObserver::run(std::size_t share, const runtime::StopSignal &stop)
{
    Watches watches;
    while (!stop.waitFor(passInterval)) {
        if (!m_isActive) {
            watches.clear();
            continue;
        }
        const PublishedState state = m_machine.published();
        updateWatches(watches, state, share);
        for (auto &[name, watch] : watches) {
            if (stop.requested())
                return;
            if (monotonicNow() >= watch.nextPollAt)
                poll(name, watch, state);
        }
    }
}

void UpstreamObserver::setActive(bool active)
{
    const bool wasActive = m_isActive.exchange(active);
    if (!wasActive || active)
        return;
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_observations.clear();
}

std::map<std::string, UpstreamObservation> UpstreamObserver::observations() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_observations;
}

void UpstreamObserver::updateWatches(Watches &watches, const PublishedState &state,
                                     std::size_t share)
{
    Watches kept;
    std::size_t n = 0;
    for (const auto &[name, upstream] : state.catalogue->upstreams) {
        const bool isOrdered = upstream.desired || state.orders->open.count(name) > 0;
        if (!isOrdered || n++ % observerShares != share)
            continue;
        const settings::Address address = settings::parseAddress(upstream.address);
        const auto known = watches.find(name);
        const bool isSame = known != watches.end()
            && settings::toString(known->second.address) == settings::toString(address);
        kept[name] = isSame ? known->second : Watch{address, {}, false};
        const bool isChanging = state.orders->open.count(name) > 0;
        if (isChanging && kept[name].isSettled) {
            kept[name].isSettled = false;
            kept[name].nextPollAt = TimePoint{};
        }
    }
    watches = std::move(kept);
}

void UpstreamObserver::poll(const std::string &name, Watch &watch, const PublishedState &state)
{
    const TimePoint askedAt = monotonicNow();
    const auto seen = fetchHealth(watch.address);
    if (!seen) {
        watch.nextPollAt = monotonicNow() + unreachableInterval;
        return;
    }
    const catalogue::Upstream &upstream = state.catalogue->upstreams.at(name);
    watch.isSettled = upstream.desired && matchesDesired(desiredOf(upstream), *seen)
        && state.orders->open.count(name) == 0;
    watch.nextPollAt = askedAt + (watch.isSettled ? settledInterval : changingInterval);
    const std::lock_guard<std::mutex> lock(m_mutex);
    // This member may have stopped issuing orders while the engine answered.
    if (m_isActive)
        m_observations[name] = {*seen, askedAt};
}

} // namespace kumquathaven::control
