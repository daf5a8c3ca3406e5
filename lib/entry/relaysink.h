// Passes completion streams through a relay that can go on after an engine's failure.

#ifndef KUMQUATHAVEN_LIB_ENTRY_RELAYSINK_H
#define KUMQUATHAVEN_LIB_ENTRY_RELAYSINK_H

#include "answersink.h"
#include "kumquathaven/answers/relay.h"

namespace kumquathaven::entry {

/// A sink between the attempts of one request and its caller. Whole answers, and streams that are
/// not completions, pass unchanged.
class RelaySink : public AnswerSink
{
public:
    /// \p isCompletion is whether a stream is one of completion chunks.
    RelaySink(AnswerSink &caller, const std::string &requestId, bool isCompletion);

    bool begin(const std::string &contentType, const runtime::HeaderFields &headers) override;
    void expectId(const std::string &id) override { m_relay.check.expectedId = id; }
    bool events(const std::string &bytes) override;
    bool whole(const runtime::HttpReply &reply) override;
    bool gone() override { return m_caller.gone(); }
    /// Says whether the present attempt handed over a part.
    bool hasBegun() const override { return m_attemptBegun; }

    /// Returns whether the caller has a part of a completion stream.
    bool streams() const { return m_callerBegun && m_isCompletion; }
    /// Returns whether another attempt may hand over an answer. A stream that is not one of
    /// completion chunks cannot be continued, since two runs of it cannot be compared.
    bool canContinue() const { return !m_callerBegun || m_isCompletion; }
    /// Returns the relay, for the decisions after an attempt.
    answers::Relay &relay() { return m_relay; }
    /// Starts the next attempt.
    void nextAttempt(const answers::Recovery &recovery, const std::string &attemptId,
                     const std::string &weightsVersion);
    /// Hands over pieces that a recovery decided on.
    void hand(const std::vector<std::string> &events);

private:
    AnswerSink &m_caller;
    answers::Relay m_relay;
    bool m_isCompletion;
    bool m_callerBegun = false;
    bool m_attemptBegun = false;
    /// Whether a further attempt follows one that handed over a part of a stream that cannot be
    /// continued. Nothing of that attempt reaches the caller.
    bool m_isClosed = false;
    bool m_callerGone = false;
};

} // namespace kumquathaven::entry

#endif // KUMQUATHAVEN_LIB_ENTRY_RELAYSINK_H
