// Names of the values of the catalogue's enumerations in files, messages and commands.

#ifndef KUMQUATHAVEN_CATALOGUE_NAMES_H
#define KUMQUATHAVEN_CATALOGUE_NAMES_H

#include "kumquathaven/base/enumnames.h"
#include "kumquathaven/catalogue/catalogue.h"
#include "kumquathaven/catalogue/instances.h"

namespace kumquathaven::catalogue {

/// The kinds of catalogue entries.
enum class EntryKind { Customer, Key, Upstream, Route };

constexpr std::array<EnumName<EntryKind>, 4> entryKindNames{{
    {EntryKind::Customer, "customer"},
    {EntryKind::Key, "key"},
    {EntryKind::Upstream, "upstream"},
    {EntryKind::Route, "route"},
}};

constexpr std::array<EnumName<ServiceClass>, 3> serviceClassNames{{
    {ServiceClass::Quick, "quick"},
    {ServiceClass::Standard, "standard"},
    {ServiceClass::Patient, "patient"},
}};

constexpr std::array<EnumName<UpstreamKind>, 4> upstreamKindNames{{
    {UpstreamKind::Engine, "engine"},
    {UpstreamKind::Service, "service"},
    {UpstreamKind::KvStore, "kvStore"},
    {UpstreamKind::WeightStore, "weightStore"},
}};

constexpr std::array<EnumName<UpstreamState>, 2> upstreamStateNames{{
    {UpstreamState::Serving, "serving"},
    {UpstreamState::Leaving, "leaving"},
}};

constexpr std::array<EnumName<RolloutState>, 3> rolloutStateNames{{
    {RolloutState::Running, "running"},
    {RolloutState::Complete, "complete"},
    {RolloutState::RolledBack, "rolledBack"},
}};

constexpr std::array<EnumName<InstanceState>, 3> instanceStateNames{{
    {InstanceState::Starting, "starting"},
    {InstanceState::Serving, "serving"},
    {InstanceState::Leaving, "leaving"},
}};

} // namespace kumquathaven::catalogue

#endif // KUMQUATHAVEN_CATALOGUE_NAMES_H
