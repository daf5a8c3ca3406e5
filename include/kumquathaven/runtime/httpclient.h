// One HTTP call to an upstream or another instance, with a streamed answer.

#ifndef KUMQUATHAVEN_RUNTIME_HTTPCLIENT_H
#define KUMQUATHAVEN_RUNTIME_HTTPCLIENT_H

#include "kumquathaven/base/result.h"
#include "kumquathaven/base/time.h"
#include "kumquathaven/runtime/http.h"
#include "kumquathaven/settings/settings.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace kumquathaven::runtime {

/// What a wait for more of an answer brought.
enum class ReadState { Data, End, Timeout };

/// The next part of an answer.
struct ReadPart
{
    ReadState state = ReadState::Timeout;
    std::string data;
};

/// Longest waits of one call.
struct CallTimeouts
{
    Duration connect = std::chrono::seconds(2);
    /// Longest silence inside one part of the answer.
    Duration silence = std::chrono::seconds(60);
    /// Longest wait for room while sending. The longest silence if it is not set.
    std::optional<Duration> send{};
    /// Longest time from the connection to the end of the answer, however its bytes arrive. No
    /// limit if it is not set.
    std::optional<Duration> total{};
};

/// A call on a connection of its own, so that answers can not be crossed. Closing it cancels the
/// call. Used by one thread.
class HttpCall
{
public:
    HttpCall(settings::Address address, CallTimeouts timeouts);
    ~HttpCall();
    HttpCall(const HttpCall &) = delete;
    HttpCall &operator=(const HttpCall &) = delete;

    /// Connects. Fails with NoUpstream and outcome NotRun.
    Result<void> connect();

    /// Sends the request. A failure has outcome Unknown, since some bytes may have arrived.
    Result<void> send(const std::string &method, const std::string &path,
                      const HeaderFields &headers, const std::string &body);

    /// Waits up to \p timeout for the answer's first byte. Returns whether it is there.
    Result<bool> waitForHead(Duration timeout);

    /// Reads status and headers. Fails with UpstreamFailed and outcome Unknown.
    Result<void> readHead();

    /// Status and headers of the answer, after readHead().
    int status() const;
    const HeaderFields &headers() const;

    /// Waits up to \p timeout for more of the body. Fails with UpstreamFailed and outcome Unknown
    /// if the connection ends before the length or the chunks of the body do.
    Result<ReadPart> read(Duration timeout);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

/// Returns whether the process at an address refuses connections, as one does that has ended. An
/// address that neither accepts nor refuses within \p timeout does not.
bool refusesConnections(const settings::Address &address, Duration timeout);

/// Makes a whole call and returns the answer, at most \p maxBytes of body. \p maySend is asked once
/// the connection stands, directly before the first byte is sent; if it returns false, the call
/// fails with Cancelled and outcome NotRun.
Result<HttpReply> fetch(const settings::Address &address, const std::string &method,
                        const std::string &path, const HeaderFields &headers,
                        const std::string &body, CallTimeouts timeouts, std::size_t maxBytes,
                        const std::function<bool()> &maySend = {});

} // namespace kumquathaven::runtime

#endif // KUMQUATHAVEN_RUNTIME_HTTPCLIENT_H
