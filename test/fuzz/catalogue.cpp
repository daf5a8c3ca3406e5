// Fuzzes the decoders of catalogue files, changes and snapshots.

#include "kumquathaven/catalogue/json.h"
#include "kumquathaven/catalogue/state.h"
#include "stable.h"

#include <nlohmann/json.hpp>

using namespace kumquathaven;

namespace {

Result<std::string> reencodeChange(std::string_view bytes)
{
    BOOST_LEAF_AUTO(change, catalogue::decodeChange(bytes, "fuzz"));
    return catalogue::encodeChange(change);
}

Result<std::string> reencodeState(std::string_view bytes)
{
    BOOST_LEAF_AUTO(state, catalogue::decodeState(bytes, "fuzz"));
    return catalogue::encodeState(state);
}

Result<std::string> reencodeCatalogue(std::string_view text)
{
    const nlohmann::json value = nlohmann::json::parse(text, nullptr, false);
    BOOST_LEAF_AUTO(read, catalogue::catalogueFromJson(value));
    return catalogue::toJson(read).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view bytes = fuzz::bytesOf(data, size);
    fuzz::checkStable(bytes, reencodeChange);
    fuzz::checkStable(bytes, reencodeState);
    fuzz::checkStable(bytes, reencodeCatalogue);
    return 0;
}
