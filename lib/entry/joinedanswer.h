// Hands an answer of an earlier attempt to a caller, and the ends that such a request may have.

#ifndef KUMQUATHAVEN_LIB_ENTRY_JOINEDANSWER_H
#define KUMQUATHAVEN_LIB_ENTRY_JOINEDANSWER_H

#include "callerrequest.h"
#include "kumquathaven/answers/answerstore.h"
#include "upstreamattempt.h"

#include <string>

namespace kumquathaven::entry {

/// One answer of an earlier attempt on its way to a caller, under the caller's own request id.
class JoinedAnswer
{
public:
    JoinedAnswer(const CallerRequest &request, AnswerSink &sink)
        : m_request(request)
        , m_sink(sink)
    { }

    /// Hands over what was read next. Returns false if the caller has gone.
    bool handOver(const answers::ReadResult &result);

private:
    runtime::HeaderFields headers(const answers::AnswerHead &head) const;

    const CallerRequest &m_request;
    AnswerSink &m_sink;
    std::string m_body;
    bool m_isFirst = true;
    bool m_isKept = false;
};

/// Reports a failure, or a cut answer if a part of it was handed over.
AttemptReport failedJoin(const CallerRequest &request, Error error, bool hasBegun);

/// Reports that the caller has gone.
AttemptReport callerGone();

/// Reports that the request's key was used with another body.
AttemptReport otherBody(const CallerRequest &request);

} // namespace kumquathaven::entry

#endif // KUMQUATHAVEN_LIB_ENTRY_JOINEDANSWER_H
