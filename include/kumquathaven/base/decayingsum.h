// A sum with exponential decay.

#ifndef KUMQUATHAVEN_BASE_DECAYINGSUM_H
#define KUMQUATHAVEN_BASE_DECAYINGSUM_H

#include "kumquathaven/base/time.h"

namespace kumquathaven {

/// A sum whose value halves with each half-life.
struct DecayingSum
{
    /// The value at the time of the last update.
    double sum = 0;
    /// The time of the last update.
    TimePoint updatedAt{};
};

/// Returns the value of a sum at the time \p now. A time before the last update counts as that
/// time.
double valueAt(const DecayingSum &sum, TimePoint now, Duration halfLife);

/// Adds a value, which may be negative, to a sum. The result does not fall below zero.
void add(DecayingSum &sum, double value, TimePoint now, Duration halfLife);

/// Returns the rate of additions, in units per second, that keeps a sum at its present value.
double ratePerSecond(const DecayingSum &sum, TimePoint now, Duration halfLife);

} // namespace kumquathaven

#endif // KUMQUATHAVEN_BASE_DECAYINGSUM_H
