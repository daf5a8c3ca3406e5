// Finds the key of the catalogue that a caller shows.

#ifndef KUMQUATHAVEN_LIB_ENTRY_KEYINDEX_H
#define KUMQUATHAVEN_LIB_ENTRY_KEYINDEX_H

#include "kumquathaven/catalogue/catalogue.h"

#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

namespace kumquathaven::entry {

/// Returns the SHA-256 of a text in lower-case hexadecimal.
std::string sha256Hex(const std::string &text);

/// The keys of one catalogue by their hash. Built once for each revision and shared by all threads.
class KeyIndex
{
public:
    /// Returns the key with this hash in \p catalogue, withdrawn or not, or nullptr. The result
    /// lives as long as the catalogue.
    const catalogue::Key *find(const std::shared_ptr<const catalogue::Catalogue> &catalogue,
                               const std::string &sha256);

private:
    std::mutex m_mutex;
    std::shared_ptr<const catalogue::Catalogue> m_catalogue;
    std::unordered_map<std::string, const catalogue::Key *> m_byHash;
};

} // namespace kumquathaven::entry

#endif // KUMQUATHAVEN_LIB_ENTRY_KEYINDEX_H
