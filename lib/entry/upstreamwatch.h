// Reads the cache events and load reports of a share of the engines, on one thread.

#ifndef KUMQUATHAVEN_LIB_ENTRY_UPSTREAMWATCH_H
#define KUMQUATHAVEN_LIB_ENTRY_UPSTREAMWATCH_H

#include "kumquathaven/catalogue/view.h"
#include "kumquathaven/runtime/stopsignal.h"

#include <cstddef>

namespace kumquathaven::entry {

class Router;

/// Which engines a duty watches: those whose place in the catalogue leaves this rest.
struct WatchShare
{
    std::size_t rest = 0;
    std::size_t of = 1;
};

/// Runs until the signal is set. The duty with rest 0 also reviews the upstreams' health.
void watchUpstreams(Router &router, const catalogue::View &view, WatchShare share,
                    const runtime::StopSignal &stop);

} // namespace kumquathaven::entry

#endif // KUMQUATHAVEN_LIB_ENTRY_UPSTREAMWATCH_H
