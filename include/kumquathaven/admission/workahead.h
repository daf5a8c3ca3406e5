// Estimates the work that is served before a request that arrives now.

#ifndef KUMQUATHAVEN_ADMISSION_WORKAHEAD_H
#define KUMQUATHAVEN_ADMISSION_WORKAHEAD_H

#include "kumquathaven/admission/waitingwork.h"

namespace kumquathaven::admission {

/// Tokens that are served before a request.
struct WorkAhead
{
    double tokens = 0;
    /// The part of these tokens that belongs to the request's own class.
    double sameClassTokens = 0;
};

/// Returns the tokens that are served before a request that arrives now: those of waiting requests,
/// and those of requests that will arrive within \p horizonSeconds and overtake it. Both count as
/// far as class and fairness between customers put them before the request.
WorkAhead workAhead(const WaitingWork &work, const Policy &policy, const Request &request,
                    double horizonSeconds, TimePoint now);

} // namespace kumquathaven::admission

#endif // KUMQUATHAVEN_ADMISSION_WORKAHEAD_H
