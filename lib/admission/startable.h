// Which requests may start now: by free slots and tokens, and by what waits before them.

#ifndef KUMQUATHAVEN_LIB_ADMISSION_STARTABLE_H
#define KUMQUATHAVEN_LIB_ADMISSION_STARTABLE_H

#include "kumquathaven/admission/controller.h"

namespace kumquathaven::admission {

/// Returns the slots that a class and those after it may hold together.
std::uint32_t maxSlotsOf(const State &state, std::size_t serviceClass);

/// Returns the classes that may start a request now.
StartableClasses startableNow(const State &state);

/// Returns whether the tokens of a request fit beside those that run. One request alone always
/// fits.
bool tokensFit(const State &state, std::uint64_t tokens);

/// Returns whether nothing that waits is before a request and a slot is free for it, for a retry
/// one that needs no budget.
bool startsAtOnce(const State &state, const Request &request);

} // namespace kumquathaven::admission

#endif // KUMQUATHAVEN_LIB_ADMISSION_STARTABLE_H
