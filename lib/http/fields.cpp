#include "kumquathaven/http/fields.h"

#include <algorithm>

namespace kumquathaven::http {

std::string headerValue(const HeaderFields &fields, const std::string &name)
{
    for (const auto &it : fields) {
        if (sameFieldName(it.first, name))
            return it.second;
    }
    return {};
}

bool sameFieldName(const std::string &a, const std::string &b)
{
    const auto lower = [](char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c;
    };
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [&](char x, char y) {
        return lower(x) == lower(y);
    });
}

} // namespace kumquathaven::http
