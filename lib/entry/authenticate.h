// Decides for which customer a request runs.

#ifndef KUMQUATHAVEN_LIB_ENTRY_AUTHENTICATE_H
#define KUMQUATHAVEN_LIB_ENTRY_AUTHENTICATE_H

#include "callerrequest.h"
#include "kumquathaven/catalogue/view.h"

namespace kumquathaven::entry {

/// Fills in customer, class and deadline from the key that the caller showed. \p key is the
/// catalogue's entry for it, or nullptr if there is none. Fails with StaleConfiguration when the
/// proof is too old to know whether a key stands, and with Unauthenticated for an unknown or
/// withdrawn key; a route that is open to all needs neither key nor proof.
Result<void> authenticate(CallerRequest &request, const catalogue::Key *key,
                          const catalogue::Snapshot &snapshot, TimePoint now,
                          Duration freshnessBound);

} // namespace kumquathaven::entry

#endif // KUMQUATHAVEN_LIB_ENTRY_AUTHENTICATE_H
