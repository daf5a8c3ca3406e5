#include "kumquathaven/quarantine/subject.h"

#include "kumquathaven/base/digest.h"
#include "kumquathaven/base/hash.h"
#include "kumquathaven/base/hex.h"

#include <cstddef>

namespace kumquathaven::quarantine {

namespace {

constexpr std::size_t maxPartName = 32;
constexpr char separator = ':';
constexpr std::string_view requestPrefix = "request:";

} // namespace

std::string partName(std::string_view id)
{
    if (id.size() <= maxPartName && id.find(separator) == std::string_view::npos)
        return std::string(id);
    return "hash:" + toHex(stableHash(id));
}

std::string requestName(const RequestIdentity &request)
{
    Digest digest;
    for (const std::string_view it :
         {request.host, request.method, request.target, request.customer, request.body})
        digest.add(it);
    if (request.body.empty()) {
        for (const std::string_view it : request.promptParts)
            digest.add(it);
    }
    return std::string(requestPrefix) + digest.finish();
}

SubjectKind kindOf(std::string_view name)
{
    const bool isRequest = name.substr(0, requestPrefix.size()) == requestPrefix;
    return isRequest ? SubjectKind::Request : SubjectKind::Part;
}

} // namespace kumquathaven::quarantine
