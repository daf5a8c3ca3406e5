#include "runnerwatch.h"

namespace kumquathaven::control {

std::vector<ledger::Runner> RunnerWatch::departed(const std::set<ledger::Runner> &busy,
                                                  const catalogue::Instances &instances,
                                                  Duration lease, TimePoint now)
{
    std::map<ledger::Runner, TimePoint> missing;
    std::vector<ledger::Runner> result;
    for (const ledger::Runner &it : busy) {
        const auto listed = instances.entries.find(it.instance);
        if (listed != instances.entries.end() && listed->second.incarnation == it.incarnation)
            continue;
        const auto known = m_missingSince.find(it);
        const TimePoint since = known == m_missingSince.end() ? now : known->second;
        missing[it] = since;
        if (now - since > lease)
            result.push_back(it);
    }
    m_missingSince = std::move(missing);
    return result;
}

} // namespace kumquathaven::control
