// Names of what can crash servers: parts of prompts that requests share, and requests that are sent
// again.

#ifndef KUMQUATHAVEN_QUARANTINE_SUBJECT_H
#define KUMQUATHAVEN_QUARANTINE_SUBJECT_H

#include "kumquathaven/base/enumnames.h"

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace kumquathaven::quarantine {

enum class SubjectKind {
    /// A part of a prompt. Requests that differ share it.
    Part,
    /// A request, whatever its id, its deadline and its instance are.
    Request,
};

constexpr std::array<EnumName<SubjectKind>, 2> subjectKindNames = {{
    {SubjectKind::Part, "part"},
    {SubjectKind::Request, "request"},
}};

/// What two requests have in common if one repeats the other.
struct RequestIdentity
{
    std::string_view host;
    std::string_view method;
    /// Path and query.
    std::string_view target;
    /// Empty on routes that are open to all.
    std::string_view customer;
    std::string_view body;
    /// Ids of all parts of the prompt. They tell requests without a body apart.
    std::vector<std::string_view> promptParts;
};

/// Returns the name under which a part is recorded: its id, or a hash of an id that is too long or
/// could be another name.
std::string partName(std::string_view id);

/// Returns the name under which a request is recorded: a digest of its identity.
std::string requestName(const RequestIdentity &request);

/// Returns the kind of the subject that a name stands for.
SubjectKind kindOf(std::string_view name);

} // namespace kumquathaven::quarantine

#endif // KUMQUATHAVEN_QUARANTINE_SUBJECT_H
