#include "joinedanswer.h"

namespace kumquathaven::entry {

namespace {

constexpr const char *joinedField = "x-kumquathaven-joined";

bool isStream(const answers::AnswerHead &head)
{
    return head.contentType.compare(0, 17, "text/event-stream") == 0;
}

} // namespace

bool JoinedAnswer::handOver(const answers::ReadResult &result)
{
    m_isKept = m_isFirst ? result.state == answers::AnswerState::Complete : m_isKept;
    m_isFirst = false;
    if (!result.head)
        return true;
    if (!isStream(*result.head)) {
        for (const std::string &it : result.chunks)
            m_body += it;
        if (result.state != answers::AnswerState::Complete)
            return true;
        return m_sink.whole(
            {result.head->status, result.head->contentType, headers(*result.head), m_body});
    }
    if (!m_sink.hasBegun() && !m_sink.begin(result.head->contentType, headers(*result.head)))
        return false;
    for (const std::string &it : result.chunks) {
        if (!m_sink.events(it))
            return false;
    }
    return true;
}

/// Returns the headers of the answer under the reader's own request id.
runtime::HeaderFields JoinedAnswer::headers(const answers::AnswerHead &head) const
{
    runtime::HeaderFields fields{{"x-request-id", m_request.requestId},
                                 {joinedField, m_isKept ? "kept" : "running"}};
    for (const auto &it : head.headers) {
        if (!runtime::sameFieldName(it.first, "x-request-id")
            && !runtime::sameFieldName(it.first, joinedField))
            fields.push_back(it);
    }
    return fields;
}

AttemptReport failedJoin(const CallerRequest &request, Error error, bool hasBegun)
{
    AttemptReport report;
    report.end = hasBegun ? AttemptEnd::Cut : AttemptEnd::Failed;
    error.peer = request.route->head.name;
    report.error = std::move(error);
    return report;
}

AttemptReport callerGone()
{
    AttemptReport report;
    report.end = AttemptEnd::CallerGone;
    report.error =
        Error{ErrorCode::Cancelled, "entry.join", {}, "the caller has gone", Outcome::Unknown, {}};
    return report;
}

AttemptReport otherBody(const CallerRequest &request)
{
    return failedJoin(request,
                      {ErrorCode::Conflict,
                       "entry.join",
                       {},
                       "the Idempotency-Key was used with another request",
                       Outcome::NotRun,
                       {}},
                      false);
}

} // namespace kumquathaven::entry
