// A strict reader for the fields of one JSON object that records the first error.

#ifndef KUMQUATHAVEN_CATALOGUE_FIELDS_H
#define KUMQUATHAVEN_CATALOGUE_FIELDS_H

#include "kumquathaven/base/enumnames.h"
#include "kumquathaven/base/result.h"

#include <nlohmann/json.hpp>

#include <limits>
#include <set>
#include <string>
#include <vector>

namespace kumquathaven::catalogue {

/// Whether a field may be missing.
enum class Presence { Required, Optional };

/// Reads the fields of one JSON object. Each read function stores the value of one field in \p out,
/// or leaves \p out unchanged if the field is missing or not valid; finish() returns the first
/// error.
class Fields
{
public:
    /// Reads from \p value, which must outlive this object. \p subject names the JSON object in
    /// errors, for example: customer "acme".
    Fields(const nlohmann::json &value, std::string subject);

    /// Reads a string of at most 4096 bytes.
    void text(const std::string &field, std::string &out, Presence presence = Presence::Optional);
    /// Reads a name: 1 to 128 letters, digits, ".", "_" and "-".
    void name(const std::string &field, std::string &out, Presence presence = Presence::Required);
    /// Reads an optional boolean.
    void flag(const std::string &field, bool &out);
    /// Reads an optional list of at most 4096 strings.
    void texts(const std::string &field, std::vector<std::string> &out);

    /// Reads an integer from \p least to \p most.
    template <typename Number>
    void number(const std::string &field, Number &out, Number minValue = 0,
                Number maxValue = std::numeric_limits<Number>::max(),
                Presence presence = Presence::Optional)
    {
        const nlohmann::json *value = find(field, presence);
        if (!value)
            return;
        if (value->is_number_unsigned()) {
            const auto n = value->get<std::uint64_t>();
            if (n >= minValue && n <= maxValue) {
                out = static_cast<Number>(n);
                return;
            }
        }
        reject(field,
               "must be a whole number from " + std::to_string(minValue) + " to "
                   + std::to_string(maxValue));
    }

    /// Reads the name of an enumeration value.
    template <typename Enum, std::size_t N>
    void choice(const std::string &field, Enum &out, const std::array<EnumName<Enum>, N> &names,
                Presence presence = Presence::Optional)
    {
        const nlohmann::json *value = find(field, presence);
        if (!value)
            return;
        if (value->is_string()) {
            if (const auto found = valueOf(names, value->get_ref<const std::string &>())) {
                out = *found;
                return;
            }
        }
        std::string allowed;
        for (const auto &it : names)
            allowed += (allowed.empty() ? "" : ", ") + std::string(it.second);
        reject(field, "must be one of " + allowed);
    }

    /// Returns the unchecked value of a field, or null if the field is missing.
    const nlohmann::json *find(const std::string &field, Presence presence);

    /// Records an error of a field, unless an earlier error is recorded.
    void reject(const std::string &field, const std::string &what);

    /// Fails with the first recorded error, or if the object has a field that was never read.
    Result<void> finish();

    /// Fails with the first recorded error. Fields that were never read are skipped, since a later
    /// version may have added them.
    Result<void> finishKnown() const;

private:
    const nlohmann::json &m_value;
    std::string m_subject;
    std::set<std::string> m_readFields;
    std::string m_error;
};

/// Returns the description of an object in errors: its kind and, if it has one, its name.
std::string subjectOf(const std::string &kind, const nlohmann::json &value);

} // namespace kumquathaven::catalogue

#endif // KUMQUATHAVEN_CATALOGUE_FIELDS_H
