// Decides which requests may start now, from the free slots and tokens and the requests that wait
// before them.

#ifndef KUMQUATHAVEN_LIB_ADMISSION_STARTABLE_H
#define KUMQUATHAVEN_LIB_ADMISSION_STARTABLE_H

#include "kumquathaven/admission/controller.h"

namespace kumquathaven::admission {

/// Returns the number of slots that a class and the later classes may hold together.
std::uint32_t maxSlotsOf(const State &state, std::size_t serviceClass);

/// Returns the classes that may start a request now.
StartableClasses startableNow(const State &state);

/// Returns whether a request with the given tokens fits within the token capacity beside the
/// running requests. A request always fits if none is running.
bool tokensFit(const State &state, std::uint64_t tokens);

/// Returns whether a request can start at once: a slot is free for it, no waiting request is served
/// before it and its customer is below its limit of running requests. A retry may use only slots
/// that need no retry budget.
bool startsAtOnce(const State &state, const Request &request);

} // namespace kumquathaven::admission

#endif // KUMQUATHAVEN_LIB_ADMISSION_STARTABLE_H
