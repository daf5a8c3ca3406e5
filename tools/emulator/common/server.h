// What every stand-in needs of HTTP: a server that runs until a signal, and short ways to read and
// answer.

#ifndef KUMQUATHAVEN_STANDINS_COMMON_SERVER_H
#define KUMQUATHAVEN_STANDINS_COMMON_SERVER_H

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <deque>
#include <functional>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

namespace standins {

using Request = Poco::Net::HTTPServerRequest;
using Response = Poco::Net::HTTPServerResponse;
using Json = nlohmann::json;
using Handler = std::function<void(Request &, Response &)>;

/// Listens on "host:port" (port 0 takes a free one), prints "listening on host:port" and serves
/// until SIGTERM or SIGINT. Returns the exit code of the program.
int serve(const std::string &listen, const Handler &handler);

/// Returns the body of a request, at most 64 MiB of it.
std::string readBody(Request &request);

/// Returns the value of a query parameter, or the default.
std::string queryValue(const Request &request, const std::string &name,
                       const std::string &otherwise = {});

/// Returns the path without the query.
std::string pathOf(const Request &request);

void sendJson(Response &response, int status, const Json &body);
void sendText(Response &response, int status, const std::string &body);

/// Answers with the error shape of the usual interface.
void sendError(Response &response, int status, const std::string &message);

/// Returns whether the client has closed its side of the connection.
bool clientGone(Request &request);

/// Closes the connection without a further byte.
void cutConnection(Request &request);

/// Sends bytes past the response, as a peer that breaks the protocol would.
void writeRaw(Request &request, const std::string &bytes);

/// The last requests, for tests that must know what reached an upstream.
class Seen
{
public:
    void record(const Request &request, const std::string &body);
    Json toJson() const;

private:
    mutable std::mutex m_mutex;
    std::deque<Json> m_last;
};

/// Returns a random number that differs with each start of a process.
std::uint64_t drawIncarnation();

} // namespace standins

#endif // KUMQUATHAVEN_STANDINS_COMMON_SERVER_H
