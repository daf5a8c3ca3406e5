#include "commanderrors.h"

namespace kumquathaven::control {

namespace {

constexpr Duration retryInterval = std::chrono::milliseconds(200);

} // namespace

Error notLeader(const std::string &step, const std::string &leader)
{
    return {ErrorCode::NotLeader,
            step,
            leader,
            leader.empty() ? "no leader is known" : "another member leads",
            Outcome::NotRun,
            retryInterval};
}

} // namespace kumquathaven::control
