// SHA-256 over a list of texts.

#ifndef KUMQUATHAVEN_BASE_DIGEST_H
#define KUMQUATHAVEN_BASE_DIGEST_H

#include <memory>
#include <string>
#include <string_view>

struct evp_md_ctx_st;

namespace kumquathaven {

/// Digests texts in the order in which they are added.
class Digest
{
public:
    /// Throws std::bad_alloc if there is no memory for the state.
    Digest();

    /// Adds a text with its length, so that no two lists of texts give the same bytes.
    void add(std::string_view text);

    /// Returns the first 128 bits as 32 lower-case hexadecimal digits. The digest must not be used
    /// afterwards.
    std::string finish();

private:
    std::unique_ptr<evp_md_ctx_st, void (*)(evp_md_ctx_st *)> m_context;
};

} // namespace kumquathaven

#endif // KUMQUATHAVEN_BASE_DIGEST_H
