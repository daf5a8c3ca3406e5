// JSON conversion of declarations and of the weights that servers were ordered to serve.

#include "entries.h"
#include "fields.h"

#include "kumquathaven/catalogue/json.h"

namespace kumquathaven::catalogue {

namespace {

// Twice the design size of 10,000 servers.
constexpr std::size_t maxServers = 20'000;

} // namespace

nlohmann::json toJson(const Declaration &declaration)
{
    return {{"version", declaration.version},
            {"text", declaration.text ? *declaration.text : std::string()}};
}

Result<Declaration> declarationFromJson(const nlohmann::json &value)
{
    Declaration declaration;
    Fields fields(value, "declaration");
    fields.number("version", declaration.version, std::uint64_t{1});
    const nlohmann::json *text = fields.find("text", Presence::Required);
    if (text && text->is_string()
        && text->get_ref<const std::string &>().size() <= maxDeclarationBytes)
        declaration.text = std::make_shared<const std::string>(text->get<std::string>());
    else
        fields.reject("text",
                      "must be a string of at most " + std::to_string(maxDeclarationBytes)
                          + " bytes");
    BOOST_LEAF_CHECK(fields.finish());
    return declaration;
}

nlohmann::json toJson(const std::vector<ServerWeights> &servers)
{
    nlohmann::json list = nlohmann::json::array();
    for (const ServerWeights &it : servers) {
        list.push_back({{"server", it.server},
                        {"model", it.model},
                        {"version", it.version},
                        {"isLoading", it.isLoading}});
    }
    return list;
}

Result<std::vector<ServerWeights>> serverWeightsFromJson(const nlohmann::json &value)
{
    if (!value.is_array() || value.size() > maxServers)
        return fail({ErrorCode::InvalidRequest,
                     "catalogue.read",
                     {},
                     "server weights must be a list of at most " + std::to_string(maxServers),
                     Outcome::NotRun,
                     {}});
    std::vector<ServerWeights> servers;
    for (const nlohmann::json &it : value) {
        ServerWeights server;
        Fields fields(it, "server weights");
        fields.text("server", server.server, Presence::Required);
        fields.text("model", server.model, Presence::Required);
        fields.number("version", server.version);
        fields.flag("isLoading", server.isLoading);
        BOOST_LEAF_CHECK(fields.finish());
        servers.push_back(std::move(server));
    }
    return Result<std::vector<ServerWeights>>(std::move(servers));
}

} // namespace kumquathaven::catalogue
