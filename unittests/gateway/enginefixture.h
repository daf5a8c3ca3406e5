// Fixture with engines, a store and a plain service, for the tests of the gateway.

#ifndef KUMQUATHAVEN_UNITTESTS_GATEWAY_ENGINEFIXTURE_H
#define KUMQUATHAVEN_UNITTESTS_GATEWAY_ENGINEFIXTURE_H

#include "peerupdate.h"
#include "servers.h"

#include <string>
#include <vector>

namespace gatewaytest {

using namespace kumquathaven;
using namespace kumquathaven::gateway;
using std::chrono::milliseconds;

inline const std::string model = "m";

inline TimePoint at(int ms)
{
    return TimePoint(std::chrono::hours(1)) + milliseconds(ms);
}

inline deployment::ListedServer server(const std::string &id, const std::string &service,
                                       std::uint64_t version)
{
    deployment::ListedServer it;
    it.id = id;
    it.service = service;
    it.address = {"127.0.0.1", 1};
    it.slots = 32;
    if (version > 0)
        it.weights[model] = version;
    return it;
}

/// Returns the events of an update as another instance decodes them.
inline std::vector<PeerUpdate> decoded(const PeerUpdate &update)
{
    std::vector<PeerUpdate> updates;
    for (const overlay::Event &it : encodeEvents(update))
        updates.push_back(orElse(
            [&] {
                return decodeEvent(it.bytes, "peer");
            },
            [](const Error &) {
                return PeerUpdate();
            }));
    return updates;
}

/// A plan with an engine service, a store and a plain service, and a request with a shared prompt.
struct EngineFixture
{
    EngineFixture()
    {
        deployment::Service engines;
        engines.name = "engines";
        engines.engine.emplace();
        engines.engine->tokenBytes = 327680;
        engines.engine->linkMbps = 550000;
        plan.services["engines"] = engines;
        deployment::Service store;
        store.name = "store";
        store.store.emplace();
        store.store->address = "127.0.0.2:1";
        store.store->linkMbps = 900000;
        plan.services["store"] = store;
        plan.services["app"].name = "app";
        route.services = {{"engines", 1}};
        route.kind = deployment::RequestKind::Streaming;
        route.objective = milliseconds(800);
        head.model = model;
        head.requestId = "r1";
        head.promptTokens = 17000;
        head.prompt = {{"shared", 13300}, {"own", 3700}};
    }

    PickRequest request(TimePoint now) const
    {
        return {&plan, &route, &head, nullptr, {}, now + std::chrono::seconds(8), false, {}};
    }

    void list(Servers &servers, std::size_t n, std::uint64_t version, TimePoint now) const
    {
        std::vector<deployment::ListedServer> all;
        for (std::size_t i = 0; i < n; ++i)
            all.push_back(server("e" + std::to_string(i), "engines", version));
        applyList(servers, all, now);
    }

    deployment::Plan plan;
    deployment::Route route;
    deployment::CallerHead head;
};

} // namespace gatewaytest

#endif // KUMQUATHAVEN_UNITTESTS_GATEWAY_ENGINEFIXTURE_H
