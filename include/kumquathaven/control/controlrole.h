// The control role: replicates the catalogue and the instances, feeds them to the entries, and
// serves operators.

#ifndef KUMQUATHAVEN_CONTROL_CONTROLROLE_H
#define KUMQUATHAVEN_CONTROL_CONTROLROLE_H

#include "kumquathaven/base/result.h"
#include "kumquathaven/deployment/dialect.h"
#include "kumquathaven/settings/settings.h"

#include <cstdint>
#include <memory>

namespace kumquathaven::control {

/// Log group of the catalogue and the instances.
constexpr std::uint32_t catalogueGroup = 0;

/// Log group of the run-once ledger.
constexpr std::uint32_t ledgerGroup = 1;

/// All duties of one control member.
class ControlRole
{
public:
    /// \p dialect is that of the platform that the settings name; null if they name none.
    explicit ControlRole(const settings::Settings &settings,
                         const deployment::Dialect *dialect = nullptr);
    ~ControlRole();
    ControlRole(const ControlRole &) = delete;
    ControlRole &operator=(const ControlRole &) = delete;

    /// Opens the data folder and starts every duty. Fails if the folder or an address is taken, or
    /// with Corrupt if the folder is damaged: then it must be replaced by an empty one.
    Result<void> start();

    /// Ends every duty.
    void stop();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace kumquathaven::control

#endif // KUMQUATHAVEN_CONTROL_CONTROLROLE_H
