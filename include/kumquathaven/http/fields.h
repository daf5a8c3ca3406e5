// Header fields, free of any library's types.

#ifndef KUMQUATHAVEN_HTTP_FIELDS_H
#define KUMQUATHAVEN_HTTP_FIELDS_H

#include <string>
#include <utility>
#include <vector>

namespace kumquathaven::http {

/// Header fields in their order. Names are compared without regard to case.
using HeaderFields = std::vector<std::pair<std::string, std::string>>;

/// Returns the first value of a field, or an empty string.
std::string headerValue(const HeaderFields &fields, const std::string &name);

/// Returns whether two field names are the same without regard to case.
bool sameFieldName(const std::string &a, const std::string &b);

} // namespace kumquathaven::http

#endif // KUMQUATHAVEN_HTTP_FIELDS_H
