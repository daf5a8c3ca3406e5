// The entry role: serves callers and routes their requests to upstreams.

#ifndef KUMQUATHAVEN_ENTRY_ENTRYROLE_H
#define KUMQUATHAVEN_ENTRY_ENTRYROLE_H

#include "kumquathaven/base/result.h"
#include "kumquathaven/settings/settings.h"

#include <memory>

namespace kumquathaven::entry {

/// All duties of one entry instance.
class EntryRole
{
public:
    explicit EntryRole(const settings::Settings &settings);
    ~EntryRole();
    EntryRole(const EntryRole &) = delete;
    EntryRole &operator=(const EntryRole &) = delete;

    /// Starts every duty. Fails if an address is taken.
    Result<void> start();

    /// Announces that the instance leaves, serves callers that hold an older answer for as long as
    /// they may keep it, waits for requests that run, and ends every duty.
    void drainAndStop();

    /// Returns whether an operator asked for a drain through the operators' interface.
    bool drainRequested() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace kumquathaven::entry

#endif // KUMQUATHAVEN_ENTRY_ENTRYROLE_H
