#include "kumquathaven/base/outcome.h"

#include "kumquathaven/base/enumnames.h"

namespace kumquathaven {

namespace {

constexpr std::array<EnumName<Outcome>, 3> outcomeNames{{
    {Outcome::NotRun, "notRun"},
    {Outcome::Ran, "ran"},
    {Outcome::Unknown, "unknown"},
}};

} // namespace

std::string_view outcomeName(Outcome outcome)
{
    return nameOf(outcomeNames, outcome);
}

std::optional<Outcome> outcomeFromName(std::string_view name)
{
    return valueOf(outcomeNames, name);
}

} // namespace kumquathaven
