// Converts the result of a call that may fail into a value that a test can compare.

#ifndef KUMQUATHAVEN_UNITTESTS_COMMON_CODEOF_H
#define KUMQUATHAVEN_UNITTESTS_COMMON_CODEOF_H

#include "kumquathaven/base/result.h"

#include <optional>

namespace kumquathaven::testing {

/// Calls \p attempt and returns the error code of its failure, or nothing if it succeeded.
template <typename Attempt>
std::optional<ErrorCode> codeOf(Attempt &&attempt)
{
    return orElse(
        [&]() -> Result<std::optional<ErrorCode>> {
            BOOST_LEAF_CHECK(attempt());
            return std::optional<ErrorCode>();
        },
        [](const Error &error) {
            return std::optional<ErrorCode>(error.code);
        });
}

} // namespace kumquathaven::testing

#endif // KUMQUATHAVEN_UNITTESTS_COMMON_CODEOF_H
