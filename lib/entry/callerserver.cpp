#include "callerserver.h"

#include "entries.h"
#include "kumquathaven/feed/client.h"
#include "pipeline.h"

#include <nlohmann/json.hpp>

#include <set>

namespace kumquathaven::entry {

namespace {

// Returns the value of one field of a query, undecoded; names of failure domains need no decoding.
std::string queryValue(const std::string &query, const std::string &field)
{
    std::size_t begin = 0;
    while (begin < query.size()) {
        const std::size_t finish = std::min(query.find('&', begin), query.size());
        const std::string item = query.substr(begin, finish - begin);
        begin = finish + 1;
        if (item.compare(0, field.size() + 1, field + "=") == 0)
            return item.substr(field.size() + 1);
    }
    return {};
}

void answerEntries(EntryState &state, runtime::HttpExchange &exchange)
{
    std::string domain = queryValue(exchange.request().query, "failureDomain");
    if (domain.empty())
        domain = state.settings.failureDomain;
    const auto snapshot = state.view.current();
    const auto entries =
        entriesFor(*snapshot.instances, domain, feed::configuredInstance(state.settings));
    exchange.reply({200, "application/json", {}, entriesBody(entries, state.settings.entriesTtl)});
}

void answerModels(EntryState &state, runtime::HttpExchange &exchange)
{
    const auto snapshot = state.view.current();
    std::set<std::string> models;
    for (const auto &[name, route] : snapshot.catalogue->routes) {
        if (!route.model.empty())
            models.insert(route.model);
    }
    nlohmann::json list = nlohmann::json::array();
    for (const auto &it : models)
        list.push_back(
            {{"id", it}, {"object", "model"}, {"created", 0}, {"owned_by", "kumquathaven"}});
    const nlohmann::json body = {{"object", "list"}, {"data", list}};
    exchange.reply({200, "application/json", {}, body.dump()});
}

} // namespace

void handleCaller(EntryState &state, runtime::HttpExchange &exchange)
{
    const auto &request = exchange.request();
    if (request.method == "GET" && request.path == "/v1/entries") {
        answerEntries(state, exchange);
        return;
    }
    if (request.method == "GET" && request.path == "/v1/models") {
        answerModels(state, exchange);
        return;
    }
    serveRequest(state, exchange);
}

} // namespace kumquathaven::entry
