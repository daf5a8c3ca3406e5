// Feeds arbitrary bytes to the readers of what instances tell each other about crashes.

#include "kumquathaven/quarantine/messages.h"

#include "stable.h"

using namespace kumquathaven;

namespace {

constexpr TimePoint now{std::chrono::hours(1'000)};
constexpr std::uint64_t wallNow = 1'700'000'000'000;

Result<std::string> newsAgain(std::string_view bytes)
{
    BOOST_LEAF_AUTO(news, quarantine::decodeNews(bytes, "fuzz", now, wallNow));
    return quarantine::encodeNews(news, now, wallNow);
}

Result<std::string> verdictAgain(std::string_view bytes)
{
    BOOST_LEAF_AUTO(verdict, quarantine::decodeVerdict(bytes, "fuzz", now, wallNow));
    return quarantine::encodeVerdict(verdict, now, wallNow);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view bytes = fuzz::bytesOf(data, size);
    fuzz::checkStable(bytes, newsAgain);
    fuzz::checkStable(bytes, verdictAgain);
    return 0;
}
