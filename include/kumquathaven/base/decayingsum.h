// A sum in which older parts count less.

#ifndef KUMQUATHAVEN_BASE_DECAYINGSUM_H
#define KUMQUATHAVEN_BASE_DECAYINGSUM_H

#include "kumquathaven/base/time.h"

namespace kumquathaven {

/// A sum whose parts lose half their weight with each half-life.
struct DecayingSum
{
    double sum = 0;
    TimePoint updatedAt{};
};

/// Returns the value of a sum at a later time.
double valueAt(const DecayingSum &sum, TimePoint now, Duration halfLife);

/// Adds to a sum. The result does not fall below zero.
void add(DecayingSum &sum, double value, TimePoint now, Duration halfLife);

/// Returns the events per second that keep a sum at its present value.
double ratePerSecond(const DecayingSum &sum, TimePoint now, Duration halfLife);

} // namespace kumquathaven

#endif // KUMQUATHAVEN_BASE_DECAYINGSUM_H
