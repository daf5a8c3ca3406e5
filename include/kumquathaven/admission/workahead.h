// Estimates the work that is served before a request that arrives now.

#ifndef KUMQUATHAVEN_ADMISSION_WORKAHEAD_H
#define KUMQUATHAVEN_ADMISSION_WORKAHEAD_H

#include "kumquathaven/admission/waitingwork.h"

namespace kumquathaven::admission {

/// Tokens that are served before a request.
struct WorkAhead
{
    double tokens = 0;
    /// The part of them that has the request's own class.
    double sameClassTokens = 0;
};

/// Returns the work before a request that arrives now: what waits, and what will arrive within
/// \p horizonSeconds and overtake it, each as far as class and fairness between customers put it
/// before the request.
WorkAhead workAhead(const WaitingWork &work, const Policy &policy, const Request &request,
                    double horizonSeconds, TimePoint now);

} // namespace kumquathaven::admission

#endif // KUMQUATHAVEN_ADMISSION_WORKAHEAD_H
