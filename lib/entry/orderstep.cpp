#include "orderstep.h"

#include "kumquathaven/admission/retrymemory.h"
#include "kumquathaven/base/hash.h"
#include "upstreamstep.h"

#include <algorithm>

namespace kumquathaven::entry {

namespace {

// Requests that one instance runs on an upstream whose catalogue entry sets no limit.
constexpr std::uint32_t defaultUpstreamSlots = 64;

/// Returns what this instance may run at a time on the upstreams that may serve the request.
admission::Capacity capacityFor(const Passage &passage)
{
    admission::Capacity capacity;
    for (const auto *it : allowedUpstreams(*passage.snapshot.catalogue, passage.request)) {
        const std::uint32_t slots = it->head.limits.maxConcurrent;
        capacity.slots += slots > 0 ? slots : defaultUpstreamSlots;
    }
    return capacity;
}

admission::Request admissionRequest(Passage &passage)
{
    const CallerRequest &request = passage.request;
    admission::Request out;
    out.customer = request.customer;
    const auto &customers = passage.snapshot.catalogue->customers;
    const auto customer = customers.find(request.customer);
    if (customer != customers.end()) {
        out.weight = customer->second.weight;
        out.maxRunning = customer->second.head.limits.maxConcurrent;
    }
    out.serviceClass = request.serviceClass;
    out.attempt =
        request.attempt > 0 ? admission::AttemptKind::Retry : admission::AttemptKind::First;
    out.identity = admission::workIdentity({request.customer,
                                            request.idempotencyKey,
                                            {},
                                            stableHash(request.target + "\n" + request.body)});
    out.startBy = request.deadline;
    out.upstreamWait = passage.state.router.observedWait(*passage.snapshot.catalogue, request);
    out.tokens =
        std::max<std::uint64_t>(1, std::uint64_t(request.promptTokens) + request.maxOutputTokens);
    return out;
}

std::uint64_t usedTokens(const admission::Request &request, const AttemptReport &report)
{
    if (report.usage)
        return std::uint64_t(report.usage->prompt) + report.usage->completion;
    return report.error && report.error->outcome == Outcome::NotRun ? 0 : request.tokens;
}

/// A place in a gate, given back at the end of its life.
class Place
{
public:
    Place(OrderGate &gate, admission::RequestId id, std::uint64_t tokens)
        : m_gate(gate)
        , m_id(id)
        , m_tokens(tokens)
    { }
    ~Place() { m_gate.leave(m_id, m_tokens, m_isWhole); }
    Place(const Place &) = delete;
    Place &operator=(const Place &) = delete;

    void settle(std::uint64_t tokens, bool isWhole)
    {
        m_tokens = tokens;
        m_isWhole = isWhole;
    }

private:
    OrderGate &m_gate;
    admission::RequestId m_id;
    std::uint64_t m_tokens;
    bool m_isWhole = false;
};

} // namespace

AttemptReport serveInOrder(Passage &passage, AnswerSink &sink)
{
    OrderGate &gate = passage.state.order.gate(passage.request.route->head.name);
    const admission::Capacity capacity = capacityFor(passage);
    // Without any upstream the next step says so at once.
    if (capacity.slots == 0)
        return serveByUpstreams(passage, sink);
    gate.resize(capacity);
    const admission::Request request = admissionRequest(passage);
    const auto entrance = gate.enter(request, [&sink] {
        return sink.gone();
    });
    AttemptReport report;
    if (entrance.error) {
        const bool isGone = entrance.error->code == ErrorCode::Cancelled;
        report.end = isGone ? AttemptEnd::CallerGone : AttemptEnd::Failed;
        report.error = entrance.error;
        passage.state.metrics
            .counter("kumquathaven_admission_refused_total", "requests refused by admission",
                     {{"step", entrance.error->step}})
            .add();
        return report;
    }
    Place place(gate, entrance.id, request.tokens);
    report = serveByUpstreams(passage, sink);
    place.settle(usedTokens(request, report), report.end == AttemptEnd::Complete);
    if (report.end == AttemptEnd::Failed && report.error && !report.error->retryAfter) {
        admission::Request next = request;
        next.upstreamWait =
            passage.state.router.observedWait(*passage.snapshot.catalogue, passage.request);
        report.error->retryAfter = gate.comeBackAfter(next);
    }
    return report;
}

} // namespace kumquathaven::entry
