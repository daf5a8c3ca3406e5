#include "keyindex.h"

#include <Poco/DigestEngine.h>
#include <Poco/SHA2Engine.h>

namespace kumquathaven::entry {

std::string sha256Hex(const std::string &text)
{
    Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
    engine.update(text);
    return Poco::DigestEngine::digestToHex(engine.digest());
}

const catalogue::Key *KeyIndex::find(const std::shared_ptr<const catalogue::Catalogue> &catalogue,
                                     const std::string &sha256)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (catalogue != m_catalogue) {
        m_byHash.clear();
        for (const auto &[name, key] : catalogue->keys)
            m_byHash.emplace(key.sha256, &key);
        m_catalogue = catalogue;
    }
    const auto found = m_byHash.find(sha256);
    return found == m_byHash.end() ? nullptr : found->second;
}

} // namespace kumquathaven::entry
