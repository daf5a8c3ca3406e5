// The ways of queueing that the storm measurement compares, behind one interface.

#ifndef KUMQUATHAVEN_STORM_QUEUE_H
#define KUMQUATHAVEN_STORM_QUEUE_H

#include "kumquathaven/admission/controller.h"

#include <memory>

namespace storm {

using kumquathaven::TimePoint;
using kumquathaven::admission::Capacity;
using kumquathaven::admission::Decisions;
using kumquathaven::admission::Policy;
using kumquathaven::admission::Request;
using kumquathaven::admission::RequestId;

/// A queue before a fixed number of places.
class Queue
{
public:
    virtual ~Queue() = default;
    virtual Decisions arrive(const Request &request, TimePoint now) = 0;
    virtual Decisions finish(RequestId id, std::uint64_t tokens, TimePoint now) = 0;
    virtual Decisions cancel(RequestId id, std::uint64_t tokens, TimePoint now) = 0;
    virtual Decisions resize(Capacity capacity, TimePoint now) = 0;
    virtual Decisions advance(TimePoint now) = 0;
};

/// Returns the library's admission under a policy. With \p knowsRetries false, every attempt counts
/// as a first one.
std::unique_ptr<Queue> makeAdmission(const Policy &policy, bool knowsRetries);

/// Returns the baseline: one line in the order of arrival, refused at the end when full, with
/// Retry-After of one second.
std::unique_ptr<Queue> makeFirstCome(std::size_t maxWaiting);

} // namespace storm

#endif // KUMQUATHAVEN_STORM_QUEUE_H
