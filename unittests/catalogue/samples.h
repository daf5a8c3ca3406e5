// Sample entries and changes for the tests of the catalogue.

#ifndef KUMQUATHAVEN_UNITTESTS_CATALOGUE_SAMPLES_H
#define KUMQUATHAVEN_UNITTESTS_CATALOGUE_SAMPLES_H

#include "kumquathaven/catalogue/state.h"

#include <string>

namespace kumquathaven::catalogue {

inline Customer sampleCustomer(const std::string &name, std::uint32_t weight = 1)
{
    Customer customer;
    customer.head = {name, "team", ServiceClass::Standard, {}};
    customer.weight = weight;
    return customer;
}

inline Key sampleKey(const std::string &name, const std::string &customer, char digit)
{
    Key key;
    key.head = {name, "team", ServiceClass::Quick, {}};
    key.customer = customer;
    key.sha256 = std::string(64, digit);
    return key;
}

inline Upstream sampleUpstream(const std::string &name, UpstreamKind kind = UpstreamKind::Engine)
{
    Upstream upstream;
    upstream.head = {name, "team", ServiceClass::Standard, {}};
    upstream.kind = kind;
    upstream.address = "10.0.0.1:8000";
    upstream.model = kind == UpstreamKind::Engine ? "m" : "";
    return upstream;
}

inline Route sampleRoute(const std::string &name, const std::string &model)
{
    Route route;
    route.head = {name, "team", ServiceClass::Standard, {}};
    route.model = model;
    return route;
}

inline Instance sampleInstance(const std::string &name, std::uint64_t incarnation,
                               InstanceState state = InstanceState::Serving)
{
    Instance instance;
    instance.name = name;
    instance.state = state;
    instance.incarnation = incarnation;
    return instance;
}

inline Change putCustomer(const std::string &changeId, const std::string &name,
                          std::uint32_t weight = 1)
{
    PutEntries put;
    put.entries.customers[name] = sampleCustomer(name, weight);
    return {changeId, {}, put};
}

} // namespace kumquathaven::catalogue

#endif // KUMQUATHAVEN_UNITTESTS_CATALOGUE_SAMPLES_H
