// Refusals of requests that did not run, with the delay after which callers should retry.

#ifndef KUMQUATHAVEN_LIB_ADMISSION_REFUSAL_H
#define KUMQUATHAVEN_LIB_ADMISSION_REFUSAL_H

#include "kumquathaven/admission/controller.h"

namespace kumquathaven::admission {

/// Builds the refusal of a request that did not run, and records that the request is expected to be
/// retried. \p step and \p message go into the error; \p waitSeconds is the estimated wait of the
/// request.
Decision refuse(State &state, const Request &request, ErrorCode code, const char *step,
                const char *message, double waitSeconds, TimePoint now);

} // namespace kumquathaven::admission

#endif // KUMQUATHAVEN_LIB_ADMISSION_REFUSAL_H
