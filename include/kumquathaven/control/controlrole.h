// The control role: replicates the catalogue and the list of entry instances, feeds both to the
// entries, and serves operators.

#ifndef KUMQUATHAVEN_CONTROL_CONTROLROLE_H
#define KUMQUATHAVEN_CONTROL_CONTROLROLE_H

#include "kumquathaven/base/result.h"
#include "kumquathaven/deployment/dialect.h"
#include "kumquathaven/settings/settings.h"

#include <cstdint>
#include <memory>

namespace kumquathaven::control {

/// Number of the log group that replicates the catalogue and the entry instances.
constexpr std::uint32_t catalogueGroup = 0;

/// Number of the log group that replicates the run-once ledger.
constexpr std::uint32_t ledgerGroup = 1;

/// Owns and runs all duties of one control member.
class ControlRole
{
public:
    /// \p dialect is the dialect of the platform that the settings name, or null if they name none.
    explicit ControlRole(const settings::Settings &settings,
                         const deployment::Dialect *dialect = nullptr);
    ~ControlRole();
    ControlRole(const ControlRole &) = delete;
    ControlRole &operator=(const ControlRole &) = delete;

    /// Opens the data folder and starts every duty. Fails if the folder or an address is in use, or
    /// with Corrupt if the folder is damaged; a damaged folder must be replaced by an empty one.
    Result<void> start();

    /// Stops every duty and server, and waits until they have ended.
    void stop();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace kumquathaven::control

#endif // KUMQUATHAVEN_CONTROL_CONTROLROLE_H
