#include "ioerror.h"

#include <system_error>
#include <utility>

namespace kumquathaven::storage {

Result<void> checkIo(int code, const char *step, const std::string &path)
{
    if (code == 0)
        return {};
    return fail({ErrorCode::Storage,
                 step,
                 path,
                 std::generic_category().message(code),
                 Outcome::Unknown,
                 {}});
}

boost::leaf::error_id failCorrupt(const char *step, const std::string &path, std::string message)
{
    return fail({ErrorCode::Corrupt, step, path, std::move(message), Outcome::NotRun, {}});
}

} // namespace kumquathaven::storage
