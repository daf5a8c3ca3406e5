// A plain service for tests: counts how often it ran each call, and misbehaves on request. See
// tools/emulator/README.md.

#include "../common/options.h"
#include "../common/server.h"

#include <chrono>
#include <map>
#include <thread>

namespace standins {

namespace {

/// What the service does wrong, set by POST /debug/faults.
struct ServiceFaults
{
    /// Waits this long after running the call and before answering.
    long lateMs = 0;
    /// Closes the connection: "before" running the call, or "after" it. Empty: never.
    std::string cut;
    /// Sends the whole answer twice on the connection.
    bool answerTwice = false;
    /// Refuses with this status without running the call.
    long refuseStatus = 0;
};

/// Counts by the id that a call carries.
class Service
{
public:
    void run(const std::string &id)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        ++m_runs[id];
    }

    Json runs() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return Json(m_runs);
    }

    ServiceFaults faults() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_faults;
    }

    void setFaults(const Json &changes)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_faults.lateMs = changes.value("lateMs", m_faults.lateMs);
        m_faults.cut = changes.value("cut", m_faults.cut);
        m_faults.answerTwice = changes.value("answerTwice", m_faults.answerTwice);
        m_faults.refuseStatus = changes.value("refuseStatus", m_faults.refuseStatus);
    }

    Seen &seen() { return m_seen; }

private:
    mutable std::mutex m_mutex;
    std::map<std::string, long> m_runs;
    ServiceFaults m_faults;
    Seen m_seen;
};

/// Returns the id of a call: the header X-Call-Id, else the body field "id", else "none".
std::string callId(const Request &request, const std::string &body)
{
    if (request.has("X-Call-Id"))
        return request.get("X-Call-Id");
    const Json parsed = Json::parse(body, nullptr, false);
    if (parsed.is_object() && parsed.contains("id") && parsed["id"].is_string())
        return parsed["id"];
    return "none";
}

void call(Service &service, Request &request, Response &response)
{
    const std::string body = readBody(request);
    service.seen().record(request, body);
    const ServiceFaults faults = service.faults();
    if (faults.cut == "before")
        return cutConnection(request);
    if (faults.refuseStatus != 0)
        return sendError(response, static_cast<int>(faults.refuseStatus), "refused");
    const std::string id = callId(request, body);
    service.run(id);
    std::this_thread::sleep_for(std::chrono::milliseconds(faults.lateMs));
    if (faults.cut == "after")
        return cutConnection(request);
    const std::string answer = Json{{"id", id}, {"path", request.getURI()}}.dump();
    response.setContentType("application/json");
    response.setContentLength64(static_cast<Poco::Int64>(answer.size()));
    std::ostream &out = response.send();
    out << answer;
    if (faults.answerTwice) {
        out.flush();
        writeRaw(request,
                 "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                     + std::to_string(answer.size()) + "\r\n\r\n" + answer);
    }
}

void handle(Service &service, Request &request, Response &response)
{
    const std::string path = pathOf(request);
    if (path == "/healthz")
        return sendJson(response, 200, {{"status", "ok"}});
    if (path == "/debug/seen")
        return sendJson(response, 200,
                        {{"requests", service.seen().toJson()}, {"runs", service.runs()}});
    if (path == "/debug/faults") {
        service.setFaults(Json::parse(readBody(request)));
        return sendJson(response, 200, Json::object());
    }
    call(service, request, response);
}

} // namespace

} // namespace standins

int main(int argc, const char **argv)
{
    std::string listen = "127.0.0.1:0";
    standins::readOptions(argc, argv, {{"listen", &listen, "host:port; port 0 takes a free one"}});
    standins::Service service;
    return standins::serve(listen, [&](standins::Request &request, standins::Response &response) {
        standins::handle(service, request, response);
    });
}
