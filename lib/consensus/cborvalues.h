// Validating reader of CBOR objects received from other processes. Missing or invalid fields are
// recorded instead of thrown.

#ifndef KUMQUATHAVEN_CONSENSUS_CBORVALUES_H
#define KUMQUATHAVEN_CONSENSUS_CBORVALUES_H

#include "kumquathaven/consensus/configuration.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace kumquathaven::consensus {

/// Converts a member to an array of its instance name and storage identity.
nlohmann::json toJson(const MemberId &member);

/// Reads the fields of one object. After the first missing or invalid field, isValid() is false and
/// all functions return empty values. The object must outlive the reader.
class ValueReader
{
public:
    explicit ValueReader(const nlohmann::json &value);

    std::uint64_t number(const char *field);
    bool flag(const char *field);
    /// Returns \p otherwise if the object has no such field.
    bool flagOr(const char *field, bool otherwise);
    std::string text(const char *field, std::size_t maxBytes);
    std::string bytes(const char *field, std::size_t maxBytes);
    const nlohmann::json &array(const char *field, std::size_t maxItems);
    MemberId member(const char *field, std::size_t maxInstanceBytes);
    /// Reads a member from \p value, for example an item of an array.
    MemberId memberFrom(const nlohmann::json &value, std::size_t maxInstanceBytes);

    /// Marks the object as invalid if \p condition is false.
    void require(bool condition) { m_valid = m_valid && condition; }
    /// Marks the object as invalid and too large if \p condition is false.
    void requireBound(bool condition);

    bool isValid() const { return m_valid; }
    bool isTooLarge() const { return m_tooLarge; }

private:
    const nlohmann::json &find(const char *field);

    const nlohmann::json &m_value;
    bool m_valid;
    bool m_tooLarge = false;
};

} // namespace kumquathaven::consensus

#endif // KUMQUATHAVEN_CONSENSUS_CBORVALUES_H
