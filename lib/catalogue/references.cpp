// Checks of the references between the entries of a catalogue, and of unique values.

#include "kumquathaven/catalogue/state.h"

namespace kumquathaven::catalogue {

namespace {

/// Returns an error that names the entry, the field and what is wrong.
Result<void> invalidField(EntryKind kind, const std::string &name, const std::string &field,
                          const std::string &what)
{
    return fail({ErrorCode::InvalidRequest,
                 "catalogue.check",
                 {},
                 std::string(nameOf(entryKindNames, kind)) + " \"" + name + "\": field \"" + field
                     + "\" " + what,
                 Outcome::NotRun,
                 {}});
}

/// Fails if an earlier entry of the kind has the same value of the field.
Result<void> checkUnique(std::map<std::string, std::string> &namesByValue, EntryKind kind,
                         const std::string &name, const std::string &field,
                         const std::string &value)
{
    const auto [it, isNew] = namesByValue.emplace(value, name);
    if (!isNew)
        return invalidField(kind, name, field,
                            "has the value of " + std::string(nameOf(entryKindNames, kind)) + " \""
                                + it->second + "\", but must be unique");
    return {};
}

Result<void> checkKeys(const Catalogue &catalogue)
{
    std::map<std::string, std::string> namesByValue;
    for (const auto &it : catalogue.keys) {
        const Key &key = it.second;
        if (catalogue.customers.count(key.customer) == 0)
            return invalidField(EntryKind::Key, it.first, "customer",
                                "names customer \"" + key.customer + "\", which does not exist");
        BOOST_LEAF_CHECK(checkUnique(namesByValue, EntryKind::Key, it.first, "sha256", key.sha256));
    }
    return {};
}

Result<void> checkRoute(const Catalogue &catalogue, const Route &route)
{
    for (const std::string &name : route.upstreams) {
        const auto it = catalogue.upstreams.find(name);
        if (it == catalogue.upstreams.end())
            return invalidField(EntryKind::Route, route.head.name, "upstreams",
                                "names upstream \"" + name + "\", which does not exist");
        const bool isForEngines = !route.model.empty();
        const UpstreamKind wanted = isForEngines ? UpstreamKind::Engine : UpstreamKind::Service;
        if (it->second.kind != wanted)
            return invalidField(EntryKind::Route, route.head.name, "upstreams",
                                "names upstream \"" + name + "\", whose kind is not "
                                    + std::string(nameOf(upstreamKindNames, wanted)));
        if (isForEngines && it->second.model != route.model)
            return invalidField(EntryKind::Route, route.head.name, "upstreams",
                                "names upstream \"" + name + "\", whose model is \""
                                    + it->second.model + "\"");
    }
    return {};
}

Result<void> checkRoutes(const Catalogue &catalogue)
{
    std::map<std::string, std::string> models;
    std::map<std::string, std::string> paths;
    for (const auto &it : catalogue.routes) {
        const Route &route = it.second;
        if (route.model.empty())
            BOOST_LEAF_CHECK(
                checkUnique(paths, EntryKind::Route, it.first, "pathPrefix", route.pathPrefix));
        else
            BOOST_LEAF_CHECK(checkUnique(models, EntryKind::Route, it.first, "model", route.model));
        BOOST_LEAF_CHECK(checkRoute(catalogue, route));
    }
    return {};
}

} // namespace

Result<void> checkReferences(const Catalogue &catalogue)
{
    BOOST_LEAF_CHECK(checkKeys(catalogue));
    return checkRoutes(catalogue);
}

} // namespace kumquathaven::catalogue
