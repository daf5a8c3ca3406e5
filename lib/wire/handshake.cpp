#include "handshake.h"

#include "kumquathaven/wire/cbor.h"

#include <Poco/HMACEngine.h>
#include <Poco/SHA2Engine.h>
#include <nlohmann/json.hpp>

#include <random>

namespace kumquathaven::wire {

namespace {

constexpr int nonceWords = 4;
constexpr std::size_t maxNameBytes = 256;
constexpr std::size_t maxNonceBytes = 64;

/// SHA-256 with the default constructor and the sizes that HMACEngine requires.
class Sha256 : public Poco::SHA2Engine
{
public:
    enum { BLOCK_SIZE = 64, DIGEST_SIZE = 32 }; // NOLINT(readability-identifier-naming)
    Sha256()
        : Poco::SHA2Engine(Poco::SHA2Engine::SHA_256)
    { }
};

} // namespace

std::string makeNonce()
{
    std::random_device device;
    std::string nonce;
    for (int n = 0; n < nonceWords; ++n)
        nonce += std::to_string(device()) + ".";
    return nonce;
}

std::string makeProof(const std::string &secret, const Hello &self, const std::string &peerNonce,
                      bool outgoing)
{
    Poco::HMACEngine<Sha256> engine(secret);
    engine.update(outgoing ? std::string("outgoing") : std::string("accepted"));
    for (const std::string &part : {self.name, self.nonce, peerNonce})
        engine.update(std::to_string(part.size()) + ":" + part);
    return Poco::DigestEngine::digestToHex(engine.digest());
}

std::string encodeHello(const Hello &hello)
{
    return toCbor(nlohmann::json::array({hello.name, hello.nonce}));
}

Result<Hello> decodeHello(std::string_view bytes, const std::string &peer)
{
    BOOST_LEAF_AUTO(value, fromCbor(bytes, "wire.handshake", peer));
    const bool wellFormed =
        value.is_array() && value.size() == 2 && value[0].is_string() && value[1].is_string();
    if (wellFormed) {
        Hello hello{value[0].get<std::string>(), value[1].get<std::string>()};
        if (!hello.name.empty() && hello.name.size() <= maxNameBytes
            && hello.nonce.size() <= maxNonceBytes)
            return hello;
    }
    return fail({ErrorCode::InvalidRequest,
                 "wire.handshake",
                 peer,
                 "not a valid hello message",
                 Outcome::NotRun,
                 {}});
}

bool equalInConstantTime(std::string_view a, std::string_view b)
{
    if (a.size() != b.size())
        return false;
    unsigned difference = 0;
    for (std::size_t n = 0; n < a.size(); ++n)
        difference |= static_cast<unsigned char>(a[n]) ^ static_cast<unsigned char>(b[n]);
    return difference == 0;
}

} // namespace kumquathaven::wire
