#include "kumquathaven/base/digest.h"

#include "kumquathaven/base/hex.h"

#include <openssl/evp.h>

#include <array>
#include <cstdint>
#include <cstring>
#include <new>

namespace kumquathaven {

Digest::Digest()
    : m_context(EVP_MD_CTX_new(), EVP_MD_CTX_free)
{
    if (!m_context || EVP_DigestInit_ex(m_context.get(), EVP_sha256(), nullptr) != 1)
        throw std::bad_alloc();
}

void Digest::add(std::string_view text)
{
    const std::uint64_t length = text.size();
    EVP_DigestUpdate(m_context.get(), &length, sizeof(length));
    EVP_DigestUpdate(m_context.get(), text.data(), text.size());
}

std::string Digest::finish()
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
    EVP_DigestFinal_ex(m_context.get(), bytes.data(), nullptr);
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    std::memcpy(&high, bytes.data(), sizeof(high));
    std::memcpy(&low, bytes.data() + sizeof(high), sizeof(low));
    return toHex(high) + toHex(low);
}

} // namespace kumquathaven
