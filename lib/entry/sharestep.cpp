#include "sharestep.h"

#include "fleetlimits.h"
#include "orderstep.h"

#include <algorithm>

namespace kumquathaven::entry {

namespace {

/// Passes an answer on and tells the limits when it begins.
class StartSink : public AnswerSink
{
public:
    StartSink(AnswerSink &sink, FleetLimits &limits, std::uint64_t reservation)
        : m_sink(sink)
        , m_limits(limits)
        , m_reservation(reservation)
    { }

    bool begin(const std::string &contentType, const runtime::HeaderFields &headers) override
    {
        m_limits.startRun(m_reservation);
        return m_sink.begin(contentType, headers);
    }
    bool events(const std::string &bytes) override { return m_sink.events(bytes); }
    bool whole(const runtime::HttpReply &reply) override
    {
        m_limits.startRun(m_reservation);
        return m_sink.whole(reply);
    }
    bool gone() override { return m_sink.gone(); }
    bool hasBegun() const override { return m_sink.hasBegun(); }

private:
    AnswerSink &m_sink;
    FleetLimits &m_limits;
    std::uint64_t m_reservation;
};

/// Returns what a request costs at most. Every request costs something.
limits::Cost costOf(const CallerRequest &request)
{
    const std::uint32_t prompt =
        request.promptTokens > 0 ? request.promptTokens : estimateTokens(request.body);
    return {std::max<std::uint32_t>(1, prompt), request.maxOutputTokens};
}

/// Returns the tokens that count as used. What is not known counts as reserved.
std::uint64_t usedTokens(const AttemptReport &report, const limits::Cost &cost)
{
    const bool ran = !report.error || report.error->outcome != Outcome::NotRun;
    if (!ran)
        return 0;
    if (report.usage)
        return std::uint64_t{report.usage->prompt} + report.usage->completion;
    return cost.total();
}

} // namespace

AttemptReport serveWithinShare(Passage &passage, AnswerSink &sink)
{
    const CallerRequest &request = passage.request;
    const auto draws = drawsOf(*passage.snapshot.catalogue, request.customer, request.keyName);
    FleetLimits *limits = passage.state.limits;
    if (draws.empty() || !limits)
        return serveInOrder(passage, sink);
    const limits::Cost cost = costOf(request);
    const TokenHold hold = limits->reserve(draws, cost);
    if (hold.refusal) {
        AttemptReport report;
        report.error = hold.refusal;
        return report;
    }
    StartSink counting(sink, *limits, hold.reservation);
    AttemptReport report = serveInOrder(passage, counting);
    limits->settle(hold.reservation, usedTokens(report, cost));
    return report;
}

} // namespace kumquathaven::entry
