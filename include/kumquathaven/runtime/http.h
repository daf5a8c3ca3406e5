// The parts of HTTP that servers and clients of ours share, free of any library's types.

#ifndef KUMQUATHAVEN_RUNTIME_HTTP_H
#define KUMQUATHAVEN_RUNTIME_HTTP_H

#include "kumquathaven/http/fields.h"

#include <string>

namespace kumquathaven::runtime {

using http::HeaderFields;
using http::headerValue;
using http::sameFieldName;

/// A request whose body was read whole.
struct HttpRequest
{
    std::string method;
    std::string path;
    /// What follows the question mark, undecoded.
    std::string query;
    HeaderFields headers;
    std::string body;
    /// Address of the other side, "host:port".
    std::string peer;
};

/// An answer that is sent whole.
struct HttpReply
{
    int status = 200;
    std::string contentType = "application/json";
    HeaderFields headers;
    std::string body;
};

} // namespace kumquathaven::runtime

#endif // KUMQUATHAVEN_RUNTIME_HTTP_H
