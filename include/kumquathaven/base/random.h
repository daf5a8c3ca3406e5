// A seeded random number generator whose sequence is the same on every machine.

#ifndef KUMQUATHAVEN_BASE_RANDOM_H
#define KUMQUATHAVEN_BASE_RANDOM_H

#include <cassert>
#include <cstdint>

namespace kumquathaven {

/// The SplitMix64 generator. Functions that make decisions take one as an argument, so that a run
/// can be repeated from its seed.
class Random
{
public:
    explicit Random(std::uint64_t seed)
        : m_state(seed)
    { }

    /// Returns 64 random bits.
    std::uint64_t next()
    {
        m_state += 0x9e3779b97f4a7c15ULL;
        std::uint64_t z = m_state;
        z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
        z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
        return z ^ (z >> 31);
    }

    /// Returns a number from 0 to \p n - 1. \p n must not be zero.
    std::uint64_t below(std::uint64_t n)
    {
        assert(n > 0 && "the range is empty");
        return next() % n;
    }

    /// Returns a number from 0 up to but not including 1.
    double uniform() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }

private:
    std::uint64_t m_state;
};

} // namespace kumquathaven

#endif // KUMQUATHAVEN_BASE_RANDOM_H
