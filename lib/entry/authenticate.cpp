#include "authenticate.h"

#include <algorithm>
#include <array>

namespace kumquathaven::entry {

namespace {

constexpr Duration staleRetryAfter = std::chrono::seconds(1);

Error refusal(ErrorCode code, const std::string &message)
{
    return {code, "entry.authenticate", {}, message, Outcome::NotRun, {}};
}

// Applies the shortest of the deadlines that route, key and customer set.
void applyDeadline(CallerRequest &request, const std::array<std::uint32_t, 3> &limits)
{
    std::uint32_t shortest = 0;
    for (const auto it : limits) {
        if (it > 0 && (shortest == 0 || it < shortest))
            shortest = it;
    }
    if (shortest > 0)
        request.deadline = request.arrivedAt + std::chrono::milliseconds(shortest);
}

} // namespace

Result<void> authenticate(CallerRequest &request, const catalogue::Key *key,
                          const catalogue::Snapshot &snapshot, TimePoint now,
                          Duration freshnessBound)
{
    const auto &route = *request.route;
    if (route.openToAll) {
        applyDeadline(request, {route.head.limits.deadlineMs, 0, 0});
        return {};
    }
    if (snapshot.replaced) {
        Error error = refusal(ErrorCode::Unavailable,
                              "another process took this instance's name; ask another entry");
        error.retryAfter = staleRetryAfter;
        return fail(std::move(error));
    }
    if (!catalogue::isFresh(snapshot, now, freshnessBound)) {
        Error error = refusal(ErrorCode::StaleConfiguration,
                              "the instance can not tell at present whether a key stands");
        error.retryAfter = staleRetryAfter;
        return fail(std::move(error));
    }
    if (key == nullptr)
        return fail(refusal(ErrorCode::Unauthenticated, "no key was shown, or it is not known"));
    if (key->withdrawn)
        return fail(refusal(ErrorCode::Unauthenticated, "the key was withdrawn"));
    const auto customer = snapshot.catalogue->customers.find(key->customer);
    if (customer == snapshot.catalogue->customers.end())
        return fail(refusal(ErrorCode::Forbidden, "the key's customer is not in the catalogue"));
    request.customer = key->customer;
    request.keyName = key->head.name;
    // The less urgent of the two: a key can not make patient work quick.
    request.serviceClass = std::max(route.head.serviceClass, key->head.serviceClass);
    applyDeadline(request,
                  {route.head.limits.deadlineMs, key->head.limits.deadlineMs,
                   customer->second.head.limits.deadlineMs});
    return {};
}

} // namespace kumquathaven::entry
