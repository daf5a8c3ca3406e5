// Where the answer of an upstream goes.

#ifndef KUMQUATHAVEN_LIB_ENTRY_ANSWERSINK_H
#define KUMQUATHAVEN_LIB_ENTRY_ANSWERSINK_H

#include "kumquathaven/runtime/httpserver.h"

#include <string>

namespace kumquathaven::entry {

/// Takes an answer part by part, or whole.
class AnswerSink
{
public:
    virtual ~AnswerSink() = default;

    /// Begins a streamed answer. Returns false if the caller has gone.
    virtual bool begin(const std::string &contentType, const runtime::HeaderFields &headers) = 0;
    /// Takes the id that the upstream said its answer belongs to, before begin().
    virtual void expectId(const std::string & /*id*/) { }
    /// Takes whole events of a streamed answer.
    virtual bool events(const std::string &bytes) = 0;
    /// Takes a whole answer that is not streamed.
    virtual bool whole(const runtime::HttpReply &reply) = 0;
    /// Returns whether nobody waits for the answer any more.
    virtual bool gone() = 0;
    /// Returns whether a part of the answer was handed over.
    virtual bool hasBegun() const = 0;
};

/// A sink that hands everything to one caller.
class CallerSink : public AnswerSink
{
public:
    explicit CallerSink(runtime::HttpExchange &exchange)
        : m_exchange(exchange)
    { }

    bool begin(const std::string &contentType, const runtime::HeaderFields &headers) override
    {
        m_hasBegun = true;
        return m_exchange.startStream(200, contentType, headers);
    }
    bool events(const std::string &bytes) override { return m_exchange.write(bytes); }
    bool whole(const runtime::HttpReply &reply) override
    {
        m_hasBegun = true;
        return m_exchange.reply(reply);
    }
    bool gone() override { return m_exchange.callerGone(); }
    bool hasBegun() const override { return m_hasBegun; }

private:
    runtime::HttpExchange &m_exchange;
    bool m_hasBegun = false;
};

} // namespace kumquathaven::entry

#endif // KUMQUATHAVEN_LIB_ENTRY_ANSWERSINK_H
