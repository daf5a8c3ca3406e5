// Reads and writes the JSON fields that commands, answers and snapshots of the ledger share.

#ifndef KUMQUATHAVEN_LIB_LEDGER_FIELDREADER_H
#define KUMQUATHAVEN_LIB_LEDGER_FIELDREADER_H

#include "kumquathaven/base/error.h"
#include "kumquathaven/ledger/ledger.h"

#include <nlohmann/json.hpp>

#include <string>

namespace kumquathaven::ledger {

/// The step that all decoding errors of the ledger carry.
inline constexpr const char *decodeStep = "ledger.decode";

/// Reads the fields of one object. After reading a field that is missing or has the wrong type,
/// hasFailed() returns true and the values returned are empty.
class FieldReader
{
public:
    explicit FieldReader(const nlohmann::json &value);

    bool hasFailed() const { return m_failed; }
    void markFailed() { m_failed = true; }

    /// Reads a field of any type.
    const nlohmann::json &child(const char *field);
    std::uint64_t number(const char *field);
    /// Reads a signed number of microseconds.
    Duration duration(const char *field);
    bool flag(const char *field);
    /// Reads text of at most maxNameBytes bytes.
    std::string name(const char *field);
    /// Reads a byte string of any length.
    std::string bytes(const char *field);

    Runner runner(const char *field);
    RequestKey requestKey(const char *field);
    StoredAnswer storedAnswer(const char *field);

private:
    /// Calls \p read with a reader of the nested object \p field. If reading that object fails,
    /// this reader has failed too.
    template <typename Read>
    auto object(const char *field, Read read);

    const nlohmann::json &m_value;
    bool m_failed = false;
};

nlohmann::json toJson(const Runner &runner);
nlohmann::json toJson(const RequestKey &key);
nlohmann::json toJson(const StoredAnswer &answer);

/// Returns the error for bytes that do not encode \p what, for example "the command".
Error malformedError(ErrorCode code, const char *what, const std::string &peer);

} // namespace kumquathaven::ledger

#endif // KUMQUATHAVEN_LIB_LEDGER_FIELDREADER_H
