#include "pocoexchange.h"

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocket.h>

#include <algorithm>
#include <cerrno>
#include <sys/socket.h>

namespace kumquathaven::runtime {

PocoExchange::PocoExchange(Poco::Net::HTTPServerRequestImpl &request,
                           Poco::Net::HTTPServerResponse &response)
    : m_poco(request)
    , m_response(response)
{
    m_request.method = request.getMethod();
    const std::string &uri = request.getURI();
    const std::size_t mark = uri.find('?');
    m_request.path = uri.substr(0, mark);
    m_request.query = mark == std::string::npos ? "" : uri.substr(mark + 1);
    m_request.peer = request.clientAddress().toString();
    for (const auto &it : request)
        m_request.headers.emplace_back(it.first, it.second);
}

std::optional<Error> PocoExchange::readBody(const ServerBounds &bounds)
{
    if (m_request.headers.size() > bounds.maxHeaderFields)
        return broken(ErrorCode::InvalidRequest, "too many header fields");
    if (m_poco.hasContentLength()
        && m_poco.getContentLength64() > static_cast<Poco::Int64>(bounds.maxBodyBytes))
        return broken(ErrorCode::TooLarge, tooLargeText(bounds));
    const TimePoint deadline = monotonicNow() + bounds.wholeRequest;
    std::streambuf &buf = *m_poco.stream().rdbuf();
    while (buf.sgetc() != std::char_traits<char>::eof()) {
        const std::size_t old = m_request.body.size();
        const auto n = std::max<std::streamsize>(1, buf.in_avail());
        m_request.body.resize(old + static_cast<std::size_t>(n));
        buf.sgetn(m_request.body.data() + old, n);
        if (m_request.body.size() > bounds.maxBodyBytes)
            return broken(ErrorCode::TooLarge, tooLargeText(bounds));
        if (monotonicNow() > deadline)
            return broken(ErrorCode::Timeout, "the request took too long to arrive");
    }
    if (m_poco.hasContentLength()
        && m_request.body.size() != static_cast<std::size_t>(m_poco.getContentLength64()))
        return broken(ErrorCode::InvalidRequest, "the body ended early");
    return std::nullopt;
}

bool PocoExchange::reply(const HttpReply &reply)
{
    // The caller would take a second head for a part of the answer that has started.
    if (hasReplied()) {
        abandon();
        return false;
    }
    setHead(reply.status, reply.contentType, reply.headers);
    try {
        m_response.setContentLength64(static_cast<Poco::Int64>(reply.body.size()));
        std::ostream &out = m_response.send();
        out.write(reply.body.data(), static_cast<std::streamsize>(reply.body.size()));
        out.flush();
        return out.good();
    } catch (const Poco::Exception &) {
        return false;
    }
}

bool PocoExchange::startStream(int status, const std::string &contentType,
                               const HeaderFields &headers)
{
    setHead(status, contentType, headers);
    m_response.setChunkedTransferEncoding(true);
    try {
        // A flush before the first part would write an empty chunk, which ends the answer.
        m_out = &m_response.send();
    } catch (const Poco::Exception &) {
        return false;
    }
    return m_out->good();
}

bool PocoExchange::write(const std::string &part)
{
    if (part.empty())
        return m_out->good();
    try {
        m_out->write(part.data(), static_cast<std::streamsize>(part.size()));
        m_out->flush();
    } catch (const Poco::Exception &) {
        return false;
    }
    return m_out->good();
}

bool PocoExchange::callerGone()
{
    char byte = 0;
    const auto n = ::recv(m_poco.socket().impl()->sockfd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

void PocoExchange::abandon()
{
    m_response.setKeepAlive(false);
    try {
        m_poco.socket().shutdown();
    } catch (const Poco::Exception &) {
        // The caller closed it at the same moment.
    }
}

std::string PocoExchange::tooLargeText(const ServerBounds &bounds)
{
    return "the body has more than " + std::to_string(bounds.maxBodyBytes) + " bytes";
}

Error PocoExchange::broken(ErrorCode code, const std::string &message)
{
    m_response.setKeepAlive(false);
    return {code, "http.read", m_request.peer, message, Outcome::NotRun, {}};
}

void PocoExchange::setHead(int status, const std::string &contentType, const HeaderFields &headers)
{
    m_response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    m_response.setContentType(contentType);
    for (const auto &it : headers)
        m_response.set(it.first, it.second);
}

} // namespace kumquathaven::runtime
