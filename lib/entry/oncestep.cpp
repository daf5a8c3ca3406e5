#include "oncestep.h"

#include "keyindex.h"
#include "runonce.h"
#include "sharestep.h"

#include "kumquathaven/ledger/codec.h"

namespace kumquathaven::entry {

namespace {

/// Keeps a copy of the answer. The request goes on to its end when its caller has gone, since a
/// repeat must find the answer.
class KeepingSink : public AnswerSink
{
public:
    explicit KeepingSink(AnswerSink &sink)
        : m_sink(sink)
    { }

    bool begin(const std::string &contentType, const runtime::HeaderFields &headers) override
    {
        m_answer.status = 200;
        m_answer.contentType = contentType;
        m_begun = true;
        m_sink.begin(contentType, headers);
        return true;
    }
    bool events(const std::string &bytes) override
    {
        keep(bytes);
        m_sink.events(bytes);
        return true;
    }
    bool whole(const runtime::HttpReply &reply) override
    {
        m_answer.status = reply.status;
        m_answer.contentType = reply.contentType;
        keep(reply.body);
        m_begun = true;
        m_sink.whole(reply);
        return true;
    }
    bool gone() override { return false; }
    bool hasBegun() const override { return m_begun; }

    const ledger::StoredAnswer &answer() const { return m_answer; }

private:
    void keep(const std::string &bytes)
    {
        const bool fits = m_answer.body.size() + bytes.size() <= ledger::Bounds{}.maxBodyBytes;
        if (fits && !m_answer.bodyDropped) {
            m_answer.body += bytes;
            return;
        }
        m_answer.body.clear();
        m_answer.bodyDropped = true;
    }

    AnswerSink &m_sink;
    ledger::StoredAnswer m_answer;
    bool m_begun = false;
};

std::string fingerprintOf(const CallerRequest &request)
{
    return sha256Hex(request.method + "\n" + request.target + "\n" + request.contentType + "\n"
                     + request.body);
}

AttemptReport refused(Error error)
{
    AttemptReport report;
    report.error = std::move(error);
    return report;
}

AttemptReport replay(const Passage &passage, const ledger::StoredAnswer &stored, AnswerSink &sink)
{
    const runtime::HeaderFields headers = {{"x-request-id", passage.request.requestId},
                                           {"x-kumquathaven-replayed", "true"}};
    AttemptReport report;
    report.end = AttemptEnd::Complete;
    if (!sink.whole({stored.status, stored.contentType, headers, stored.body})) {
        report.end = AttemptEnd::CallerGone;
        report.error = Error{ErrorCode::Cancelled,  "entry.replay", {},
                             "the caller has gone", Outcome::Ran,   {}};
    }
    return report;
}

} // namespace

AttemptReport serveOnce(Passage &passage, AnswerSink &sink)
{
    const CallerRequest &request = passage.request;
    RunOnce *runOnce = passage.state.runOnce;
    if (request.route->repeatable || request.idempotencyKey.empty() || !runOnce)
        return serveWithinShare(passage, sink);
    if (request.idempotencyKey.size() > ledger::maxNameBytes)
        return refused({ErrorCode::InvalidRequest,
                        "entry.once",
                        {},
                        "the idempotency key is too long",
                        Outcome::NotRun,
                        {}});
    const Permission permission =
        runOnce->ask({request.customer, request.idempotencyKey}, fingerprintOf(request));
    if (permission.refusal)
        return refused(*permission.refusal);
    if (permission.stored)
        return replay(passage, *permission.stored, sink);
    KeepingSink keeping(sink);
    AttemptReport report = serveWithinShare(passage, keeping);
    const Outcome outcome = report.error ? report.error->outcome : Outcome::Ran;
    ledger::StoredAnswer answer = keeping.answer();
    // An answer that ended in an error is not one that a repeat may be given.
    answer.bodyDropped = answer.bodyDropped || report.error.has_value();
    runOnce->finish(permission.number, outcome, answer);
    return report;
}

} // namespace kumquathaven::entry
