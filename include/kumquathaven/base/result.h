// Results of operations that can fail, based on Boost.LEAF with Error as the error object.

#ifndef KUMQUATHAVEN_BASE_RESULT_H
#define KUMQUATHAVEN_BASE_RESULT_H

#include "kumquathaven/base/error.h"

#include <boost/leaf.hpp>

#include <utility>

namespace kumquathaven {

/// A value or a failure. The Error of a failure is passed to the innermost orElse() on the stack.
template <typename T>
using Result = boost::leaf::result<T>;

/// Creates a failure, which any function that returns a Result can return.
inline boost::leaf::error_id fail(Error error)
{
    return boost::leaf::new_error(std::move(error));
}

/// Calls \p attempt, a function that returns a Result<T>, and returns its value; on failure returns
/// what \p handler, a function from const Error & to T, returns.
template <typename Attempt, typename Handler>
auto orElse(Attempt &&attempt, Handler &&handler)
{
    return boost::leaf::try_handle_all(
        std::forward<Attempt>(attempt),
        [&](const Error &error) {
            return handler(error);
        },
        [&] {
            return handler(Error{ErrorCode::Internal,
                                 "unknown",
                                 {},
                                 "failure without an error",
                                 Outcome::Unknown,
                                 {}});
        });
}

} // namespace kumquathaven

#endif // KUMQUATHAVEN_BASE_RESULT_H
