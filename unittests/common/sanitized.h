// Whether the tests run under a sanitizer, which makes them some fifteen times slower.

#ifndef KUMQUATHAVEN_UNITTESTS_COMMON_SANITIZED_H
#define KUMQUATHAVEN_UNITTESTS_COMMON_SANITIZED_H

namespace kumquathaven::testing {

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr bool isSanitized = true;
#elif defined(__has_feature)
#if __has_feature(address_sanitizer) || __has_feature(thread_sanitizer)
constexpr bool isSanitized = true;
#else
constexpr bool isSanitized = false;
#endif
#else
constexpr bool isSanitized = false;
#endif

} // namespace kumquathaven::testing

#endif // KUMQUATHAVEN_UNITTESTS_COMMON_SANITIZED_H
