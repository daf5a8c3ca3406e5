#include "kumquathaven/http/message.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>

#include <array>
#include <cstdio>
#include <limits>
#include <utility>

namespace kumquathaven::http {

namespace {

namespace beast = boost::beast;
using beast::error_code;
using beast::string_view;

std::string text(string_view view)
{
    return {view.data(), view.size()};
}

constexpr int statusSwitchingProtocols = 101;

/// Collects what the library's parser reports.
template <bool isRequest>
class Collector : public beast::http::basic_parser<isRequest>
{
public:
    Head head;
    std::string *body = nullptr;
    bool hasHead = false;
    std::size_t maxFields = 0;

private:
    void on_request_impl(beast::http::verb, string_view method, string_view target, int version,
                         error_code &ec) override
    {
        head.method = text(method);
        head.target = text(target);
        setVersion(version, ec);
    }

    void on_response_impl(int code, string_view reason, int version, error_code &ec) override
    {
        // An upgrade is never asked for, and nothing behind its answer is HTTP.
        if (!isStatus(code) || code == statusSwitchingProtocols)
            ec = beast::http::error::bad_status;
        head.status = code;
        head.reason = text(reason);
        if (!ec)
            setVersion(version, ec);
    }

    void on_field_impl(beast::http::field name, string_view nameText, string_view value,
                       error_code &ec) override
    {
        // Fields behind a chunked body decide nothing and are not passed on.
        if (hasHead)
            return;
        if (head.fields.size() == maxFields) {
            ec = beast::http::error::header_limit;
            return;
        }
        const bool isOtherCoding =
            name == beast::http::field::transfer_encoding && !beast::iequals(value, "chunked");
        if (isOtherCoding) {
            ec = beast::http::error::bad_transfer_encoding;
            return;
        }
        head.fields.emplace_back(text(nameText), text(value));
    }

    void on_header_impl(error_code &) override
    {
        hasHead = true;
        head.keepsAlive = this->keep_alive();
        head.endsWithConnection = !isRequest && this->need_eof();
        // The length counts from the head on, also if no byte of the body is there yet.
        if (const auto length = this->content_length())
            head.contentLength = *length;
    }

    void on_body_init_impl(boost::optional<std::uint64_t> const &, error_code &) override { }

    std::size_t on_body_impl(string_view bytes, error_code &) override { return append(bytes); }

    void on_chunk_header_impl(std::uint64_t, string_view, error_code &) override { }

    std::size_t on_chunk_body_impl(std::uint64_t, string_view bytes, error_code &) override
    {
        return append(bytes);
    }

    void on_finish_impl(error_code &) override { }

    std::size_t append(string_view bytes)
    {
        if (body)
            body->append(bytes.data(), bytes.size());
        return bytes.size();
    }

    void setVersion(int version, error_code &ec)
    {
        constexpr int version10 = 10;
        constexpr int version11 = 11;
        if (version != version10 && version != version11)
            ec = beast::http::error::bad_version;
        head.isVersion11 = version == version11;
    }
};

ParseState stateOf(const error_code &ec)
{
    if (ec == beast::http::error::header_limit)
        return ParseState::HeadTooLarge;
    if (ec == beast::http::error::body_limit)
        return ParseState::BodyTooLarge;
    return ParseState::Malformed;
}

/// Drives one of the two collectors over bytes. Removes from them what was parsed.
template <bool isRequest>
ParseState advance(Collector<isRequest> &parser, std::string_view &bytes, std::string &body)
{
    parser.body = &body;
    while (!parser.is_done()) {
        error_code ec;
        const std::size_t taken =
            parser.put(boost::asio::const_buffer(bytes.data(), bytes.size()), ec);
        bytes.remove_prefix(taken);
        if (ec == beast::http::error::need_more)
            return ParseState::Open;
        if (ec)
            return stateOf(ec);
        if (bytes.empty() && !parser.is_done())
            return ParseState::Open;
    }
    return ParseState::Done;
}

/// A buffer with more than this is released as soon as it is empty.
constexpr std::size_t maxKeptCapacity = 4096;

} // namespace

struct MessageParser::Impl
{
    std::unique_ptr<Collector<true>> request;
    std::unique_ptr<Collector<false>> answer;
    ParseState state = ParseState::Open;
    std::string waiting;
    std::size_t maxWaitingBytes = 0;
    bool hasBegun = false;
};

MessageParser::MessageParser(MessageSide side, MessageBounds bounds)
    : m_impl(std::make_unique<Impl>())
{
    m_impl->maxWaitingBytes = bounds.maxHeadBytes;
    const auto prepare = [&bounds](auto &parser) {
        parser->eager(true);
        parser->header_limit(bounds.maxHeadBytes);
        parser->body_limit(bounds.maxBodyBytes);
        parser->maxFields = bounds.maxFields;
    };
    if (side == MessageSide::Request) {
        m_impl->request = std::make_unique<Collector<true>>();
        prepare(m_impl->request);
    } else {
        m_impl->answer = std::make_unique<Collector<false>>();
        prepare(m_impl->answer);
    }
}

MessageParser::~MessageParser() = default;
MessageParser::MessageParser(MessageParser &&) noexcept = default;
MessageParser &MessageParser::operator=(MessageParser &&) noexcept = default;

ParseState MessageParser::feed(std::string_view bytes, std::string &body)
{
    m_impl->hasBegun = m_impl->hasBegun || !bytes.empty();
    if (m_impl->state != ParseState::Open || (bytes.empty() && m_impl->waiting.empty())) {
        m_impl->waiting.append(bytes);
        return m_impl->state;
    }
    // Most bytes are parsed where they are; only what has to wait is copied.
    const bool isDirect = m_impl->waiting.empty();
    if (!isDirect)
        m_impl->waiting.append(bytes);
    std::string_view rest = isDirect ? bytes : std::string_view(m_impl->waiting);
    m_impl->state = m_impl->request ? advance(*m_impl->request, rest, body)
                                    : advance(*m_impl->answer, rest, body);
    if (isDirect)
        m_impl->waiting.assign(rest);
    else
        m_impl->waiting.erase(0, m_impl->waiting.size() - rest.size());
    if (m_impl->waiting.empty() && m_impl->waiting.capacity() > maxKeptCapacity)
        std::string().swap(m_impl->waiting);
    // Only an unfinished head, the line before a chunk, or a trailer waits for more bytes.
    if (m_impl->state == ParseState::Open && m_impl->waiting.size() > m_impl->maxWaitingBytes)
        m_impl->state = hasHead() ? ParseState::Malformed : ParseState::HeadTooLarge;
    return m_impl->state;
}

ParseState MessageParser::finish()
{
    if (m_impl->state != ParseState::Open)
        return m_impl->state;
    const bool isWhole = m_impl->answer && m_impl->answer->hasHead && m_impl->answer->need_eof()
        && !m_impl->answer->chunked();
    m_impl->state = isWhole ? ParseState::Done : ParseState::Malformed;
    return m_impl->state;
}

void MessageParser::expectNoBody()
{
    if (m_impl->answer)
        m_impl->answer->skip(true);
}

ParseState MessageParser::state() const
{
    return m_impl->state;
}

bool MessageParser::hasHead() const
{
    return m_impl->request ? m_impl->request->hasHead : m_impl->answer->hasHead;
}

const Head &MessageParser::head() const
{
    return m_impl->request ? m_impl->request->head : m_impl->answer->head;
}

bool MessageParser::hasBegun() const
{
    return m_impl->hasBegun;
}

std::size_t MessageParser::heldBytes() const
{
    return m_impl->waiting.capacity();
}

std::string MessageParser::takeRest()
{
    return std::exchange(m_impl->waiting, {});
}

BodyFrame bodyFrameOf(const Head &head)
{
    if (head.endsWithConnection)
        return BodyFrame::Connection;
    const bool isChunked = !headerValue(head.fields, "Transfer-Encoding").empty();
    return isChunked ? BodyFrame::Chunks : BodyFrame::Length;
}

std::string pathOf(const Head &head)
{
    return head.target.substr(0, head.target.find('?'));
}

namespace {

void appendFields(std::string &out, const HeaderFields &fields)
{
    for (const auto &it : fields)
        out.append(it.first).append(": ").append(it.second).append("\r\n");
    out.append("\r\n");
}

} // namespace

std::string requestHead(const std::string &method, const std::string &target,
                        const HeaderFields &fields)
{
    std::string out = method + " " + target + " HTTP/1.1\r\n";
    appendFields(out, fields);
    return out;
}

std::string answerHead(int status, const std::string &reason, const HeaderFields &fields)
{
    std::string out = "HTTP/1.1 " + std::to_string(status) + " "
        + (reason.empty() ? reasonOf(status) : reason) + "\r\n";
    appendFields(out, fields);
    return out;
}

bool isStatus(int number)
{
    constexpr int first = 100;
    constexpr int last = 599;
    return number >= first && number <= last;
}

std::string reasonOf(int status)
{
    const string_view reason =
        beast::http::obsolete_reason(beast::http::int_to_status(static_cast<unsigned>(status)));
    return text(reason);
}

std::string chunk(std::string_view bytes)
{
    std::array<char, 24> size{};
    const int n = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    std::string out;
    out.reserve(static_cast<std::size_t>(n) + bytes.size() + 2);
    out.append(size.data(), static_cast<std::size_t>(n)).append(bytes).append("\r\n");
    return out;
}

} // namespace kumquathaven::http
