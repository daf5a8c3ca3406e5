// The handshake in which both ends of a link prove that they know the shared secret.

#ifndef KUMQUATHAVEN_WIRE_HANDSHAKE_H
#define KUMQUATHAVEN_WIRE_HANDSHAKE_H

#include "kumquathaven/base/result.h"

#include <string>
#include <string_view>

namespace kumquathaven::wire {

/// Maximum size of a message before the peer has proven that it knows the secret.
constexpr std::size_t maxHandshakeBytes = 4096;

/// The first message that each end sends: its instance name and a nonce.
struct Hello
{
    std::string name;
    std::string nonce;
};

/// Returns a new nonce from the system's random number generator.
std::string makeNonce();

/// Returns the proof that \p self knows \p secret. \p outgoing says whether \p self opened the
/// connection. The proof covers both nonces and the direction, so that a replayed or reflected
/// proof is not valid.
std::string makeProof(const std::string &secret, const Hello &self, const std::string &peerNonce,
                      bool outgoing);

/// Converts the first message to and from CBOR. Decoding fails with InvalidRequest; the error names
/// \p peer.
std::string encodeHello(const Hello &hello);
Result<Hello> decodeHello(std::string_view bytes, const std::string &peer);

/// Compares two strings in a time that does not depend on where they differ, against timing
/// attacks.
bool equalInConstantTime(std::string_view a, std::string_view b);

} // namespace kumquathaven::wire

#endif // KUMQUATHAVEN_WIRE_HANDSHAKE_H
