// Estimates the service rate that is available to requests of a rank.

#ifndef KUMQUATHAVEN_LIB_ADMISSION_WAITESTIMATE_H
#define KUMQUATHAVEN_LIB_ADMISSION_WAITESTIMATE_H

#include "kumquathaven/admission/controller.h"

namespace kumquathaven::admission {

/// Returns the tokens per second that earlier ranks leave for a rank. The result is at least the
/// minimum share of the rank's class.
double spareRate(const State &state, Rank rank, TimePoint now);

} // namespace kumquathaven::admission

#endif // KUMQUATHAVEN_LIB_ADMISSION_WAITESTIMATE_H
