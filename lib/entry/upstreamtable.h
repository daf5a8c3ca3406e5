// The upstreams that may serve a request, and what this instance has running on each.

#ifndef KUMQUATHAVEN_LIB_ENTRY_UPSTREAMTABLE_H
#define KUMQUATHAVEN_LIB_ENTRY_UPSTREAMTABLE_H

#include "callerrequest.h"

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace kumquathaven::entry {

/// A chosen upstream and the reason, which callers and spans show.
struct Choice
{
    catalogue::Upstream upstream;
    std::string reason;
    /// The router's number for the attempt; zero if routing takes no part in it.
    std::uint64_t ticket = 0;
    /// When the attempt is given up if its answer has not begun.
    std::optional<TimePoint> giveUpAt{};
};

/// Returns the serving upstreams that the catalogue allows for a request.
std::vector<const catalogue::Upstream *> allowedUpstreams(const catalogue::Catalogue &catalogue,
                                                          const CallerRequest &request);

/// Counts of running requests by upstream, shared by all request threads.
class UpstreamTable
{
public:
    /// Chooses the upstream with the fewest running requests that is not in \p tried, the nearest
    /// by rendezvous hashing among equals, and counts the request as running there.
    std::optional<Choice> choose(const catalogue::Catalogue &catalogue,
                                 const CallerRequest &request, const std::set<std::string> &tried);

    /// Counts a request as running on an upstream that was chosen elsewhere.
    void began(const std::string &upstream);

    /// Ends the count that choose() or began() made.
    void finished(const std::string &upstream);

    /// Returns running requests by upstream.
    std::map<std::string, std::uint32_t> running() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::uint32_t> m_running;
};

} // namespace kumquathaven::entry

#endif // KUMQUATHAVEN_LIB_ENTRY_UPSTREAMTABLE_H
