// Fuzzes the decoders of log group messages and configurations.

#include "kumquathaven/consensus/configuration.h"
#include "kumquathaven/consensus/message.h"
#include "stable.h"

using namespace kumquathaven;

namespace {

Result<std::string> reencodeMessage(std::string_view bytes)
{
    BOOST_LEAF_AUTO(message, consensus::decodeMessage(bytes, consensus::MessageLimits{}));
    return consensus::encode(message);
}

Result<std::string> reencodeConfiguration(std::string_view bytes)
{
    BOOST_LEAF_AUTO(configuration, consensus::decodeConfiguration(bytes));
    return consensus::encode(configuration);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view bytes = fuzz::bytesOf(data, size);
    fuzz::checkStable(bytes, reencodeMessage);
    fuzz::checkStable(bytes, reencodeConfiguration);
    return 0;
}
