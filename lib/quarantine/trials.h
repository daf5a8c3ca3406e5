// Trials of verdicts, as admit() begins them. What else concerns trials is declared in
// kumquathaven/quarantine/evidence.h.

#ifndef KUMQUATHAVEN_LIB_QUARANTINE_TRIALS_H
#define KUMQUATHAVEN_LIB_QUARANTINE_TRIALS_H

#include "kumquathaven/quarantine/evidence.h"

#include <string>

namespace kumquathaven::quarantine {

/// Returns whether this instance may let a request with a convicted subject through now.
bool isTrialDue(const Evidence &evidence, const std::string &subject, TimePoint now);

/// Records that it does.
void beginTrial(Evidence &evidence, const std::string &subject, TimePoint now);

} // namespace kumquathaven::quarantine

#endif // KUMQUATHAVEN_LIB_QUARANTINE_TRIALS_H
