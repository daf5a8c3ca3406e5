#include "kumquathaven/quarantine/subject.h"

#include "kumquathaven/base/hash.h"
#include "kumquathaven/base/hex.h"

#include <openssl/evp.h>

#include <array>
#include <cstdint>
#include <cstring>
#include <memory>
#include <new>

namespace kumquathaven::quarantine {

namespace {

constexpr std::size_t maxPartName = 32;
constexpr char separator = ':';
constexpr std::string_view requestPrefix = "request:";

/// SHA-256 over a list of texts.
class Digest
{
public:
    Digest()
        : m_context(EVP_MD_CTX_new(), EVP_MD_CTX_free)
    {
        if (!m_context || EVP_DigestInit_ex(m_context.get(), EVP_sha256(), nullptr) != 1)
            throw std::bad_alloc();
    }

    /// Adds a text with its length, so that no two lists of texts give the same bytes.
    void add(std::string_view text)
    {
        const std::uint64_t length = text.size();
        EVP_DigestUpdate(m_context.get(), &length, sizeof(length));
        EVP_DigestUpdate(m_context.get(), text.data(), text.size());
    }

    std::array<unsigned char, EVP_MAX_MD_SIZE> finish()
    {
        std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
        EVP_DigestFinal_ex(m_context.get(), bytes.data(), nullptr);
        return bytes;
    }

private:
    std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> m_context;
};

} // namespace

std::string partName(std::string_view id)
{
    if (id.size() <= maxPartName && id.find(separator) == std::string_view::npos)
        return std::string(id);
    return "hash:" + toHex(stableHash(id));
}

std::string requestName(const RequestIdentity &request)
{
    Digest digest;
    for (const std::string_view it :
         {request.host, request.method, request.target, request.customer, request.body})
        digest.add(it);
    if (request.body.empty()) {
        for (const std::string_view it : request.promptParts)
            digest.add(it);
    }
    const auto bytes = digest.finish();
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    std::memcpy(&high, bytes.data(), sizeof(high));
    std::memcpy(&low, bytes.data() + sizeof(high), sizeof(low));
    return std::string(requestPrefix) + toHex(high) + toHex(low);
}

SubjectKind kindOf(std::string_view name)
{
    const bool isRequest = name.substr(0, requestPrefix.size()) == requestPrefix;
    return isRequest ? SubjectKind::Request : SubjectKind::Part;
}

} // namespace kumquathaven::quarantine
