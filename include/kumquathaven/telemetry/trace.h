// Spans for each hop of a request, after the W3C trace context and OTLP/JSON formats.

#ifndef KUMQUATHAVEN_TELEMETRY_TRACE_H
#define KUMQUATHAVEN_TELEMETRY_TRACE_H

#include "kumquathaven/base/ring.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace kumquathaven::telemetry {

/// The position of a span in its trace.
struct TraceContext
{
    /// 32 hexadecimal digits.
    std::string traceId;
    /// 16 hexadecimal digits: the span that is the parent of the next hop.
    std::string spanId;
    bool sampled = true;
};

/// Reads a traceparent header. Returns nothing if it is malformed or all zero.
std::optional<TraceContext> parseTraceparent(const std::string &header);

/// Returns the traceparent header for the next hop.
std::string formatTraceparent(const TraceContext &context);

/// Returns a context in the same trace with a new span; a new trace if there is no parent.
TraceContext childContext(const std::optional<TraceContext> &parent);

/// One hop's span. Times are wall-clock, since spans of several instances are shown together.
struct Span
{
    TraceContext context;
    std::string parentSpanId;
    std::string name;
    std::chrono::system_clock::time_point start;
    std::chrono::system_clock::time_point end;
    bool failed = false;
    std::vector<std::pair<std::string, std::string>> attributes;
};

/// Returns a span as one OTLP/JSON ExportTraceServiceRequest without line breaks.
std::string toOtlpJson(const Span &span, const std::string &instance);

/// A duty that appends spans to a file. Without a file name it drops them.
class SpanWriter
{
public:
    SpanWriter(std::string file, std::string instance);
    ~SpanWriter();
    SpanWriter(const SpanWriter &) = delete;
    SpanWriter &operator=(const SpanWriter &) = delete;

    /// Hands a span over. Never waits: when the ring is full the span is dropped and counted.
    void write(Span span);

    /// Spans that were dropped since the start.
    std::uint64_t dropped() const { return m_dropped; }

private:
    void run();

    std::string m_file;
    std::string m_instance;
    BoundedRing<Span> m_ring;
    std::atomic<std::uint64_t> m_dropped{0};
    std::thread m_thread;
};

} // namespace kumquathaven::telemetry

#endif // KUMQUATHAVEN_TELEMETRY_TRACE_H
