// Fuzzes the parser and the relay of completion streams. The first byte selects the position at
// which the remaining input is split in two; the split must not change the parsed events.

#include "kumquathaven/answers/relay.h"

#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

using namespace kumquathaven::answers;

namespace {

std::string relayTwoParts(std::string_view first, std::string_view second)
{
    Relay relay;
    relay.callerId = "caller";
    relay.weightsVersion = "1";
    std::string out;
    for (const std::string_view part : {first, second}) {
        for (const std::string &it : feed(relay, part).events)
            out += it;
    }
    endAttempt(relay);
    const Recovery recovery = recover(relay, true, {{"engine", "1", true}});
    for (const std::string &it : recovery.events)
        out += it;
    if (recovery.kind != RecoveryKind::Resume && recovery.kind != RecoveryKind::Rerun)
        return out;
    startAttempt(relay, recovery, relay.check.expectedId, "1");
    for (const std::string &it : feed(relay, first).events)
        out += it;
    return out;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size == 0)
        return 0;
    const std::string_view bytes(reinterpret_cast<const char *>(data) + 1, size - 1);
    const std::size_t splitAt = bytes.empty() ? 0 : data[0] % bytes.size();
    SseParser unsplitParser;
    SseParser splitParser;
    const auto events = unsplitParser.feed(bytes);
    auto splitEvents = splitParser.feed(bytes.substr(0, splitAt));
    for (const SseEvent &it : splitParser.feed(bytes.substr(splitAt)))
        splitEvents.push_back(it);
    if (events.size() != splitEvents.size())
        std::abort();
    for (std::size_t n = 0; n < events.size(); ++n) {
        if (events[n].data != splitEvents[n].data || events[n].name != splitEvents[n].name)
            std::abort();
    }
    relayTwoParts(bytes.substr(0, splitAt), bytes.substr(splitAt));
    return 0;
}
