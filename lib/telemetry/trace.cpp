#include "kumquathaven/telemetry/trace.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <fstream>
#include <random>

namespace kumquathaven::telemetry {

namespace {

constexpr std::size_t ringCapacity = 4096;
constexpr std::size_t traceIdDigits = 32;
constexpr std::size_t spanIdDigits = 16;
constexpr Duration pollInterval = std::chrono::milliseconds(200);

bool isLowerHex(const std::string &text)
{
    return std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
    });
}

bool isAllZero(const std::string &text)
{
    return text.find_first_not_of('0') == std::string::npos;
}

std::string randomHex(std::size_t digits)
{
    static thread_local std::mt19937_64 generator(std::random_device{}());
    static constexpr std::string_view alphabet = "0123456789abcdef";
    std::string text;
    while (text.size() < digits) {
        std::uint64_t bits = generator();
        for (int n = 0; n < 16 && text.size() < digits; ++n, bits >>= 4)
            text += alphabet[bits & 0xfU];
    }
    return text;
}

std::string unixNanos(std::chrono::system_clock::time_point time)
{
    using std::chrono::nanoseconds;
    return std::to_string(std::chrono::duration_cast<nanoseconds>(time.time_since_epoch()).count());
}

nlohmann::json attribute(const std::string &key, const std::string &value)
{
    return {{"key", key}, {"value", {{"stringValue", value}}}};
}

} // namespace

std::optional<TraceContext> parseTraceparent(const std::string &header)
{
    // version "-" trace id "-" span id "-" flags
    constexpr std::size_t length = 55;
    if (header.size() != length || header.compare(0, 3, "00-") != 0 || header[35] != '-'
        || header[52] != '-')
        return std::nullopt;
    TraceContext context;
    context.traceId = header.substr(3, traceIdDigits);
    context.spanId = header.substr(36, spanIdDigits);
    const std::string flags = header.substr(53);
    if (!isLowerHex(context.traceId + context.spanId + flags) || isAllZero(context.traceId)
        || isAllZero(context.spanId))
        return std::nullopt;
    context.sampled = (std::stoi(flags, nullptr, 16) & 1) != 0;
    return context;
}

std::string formatTraceparent(const TraceContext &context)
{
    return "00-" + context.traceId + "-" + context.spanId + (context.sampled ? "-01" : "-00");
}

TraceContext childContext(const std::optional<TraceContext> &parent)
{
    TraceContext context;
    context.traceId = parent ? parent->traceId : randomHex(traceIdDigits);
    context.spanId = randomHex(spanIdDigits);
    context.sampled = !parent || parent->sampled;
    return context;
}

std::string toOtlpJson(const Span &span, const std::string &instance)
{
    nlohmann::json attributes = nlohmann::json::array();
    for (const auto &it : span.attributes)
        attributes.push_back(attribute(it.first, it.second));
    constexpr int kindServer = 2;
    constexpr int statusError = 2;
    const nlohmann::json item = {
        {"traceId", span.context.traceId},
        {"spanId", span.context.spanId},
        {"parentSpanId", span.parentSpanId},
        {"name", span.name},
        {"kind", kindServer},
        {"startTimeUnixNano", unixNanos(span.start)},
        {"endTimeUnixNano", unixNanos(span.end)},
        {"attributes", attributes},
        {"status", {{"code", span.failed ? statusError : 0}}},
    };
    const nlohmann::json resource = {
        {"attributes",
         {attribute("service.name", "kumquathaven"), attribute("service.instance.id", instance)}}};
    const nlohmann::json scope = {{"scope", {{"name", "kumquathaven"}}},
                                  {"spans", nlohmann::json::array({item})}};
    const nlohmann::json request = {
        {"resourceSpans",
         {{{"resource", resource}, {"scopeSpans", nlohmann::json::array({scope})}}}}};
    return request.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

SpanWriter::SpanWriter(std::string file, std::string instance)
    : m_file(std::move(file))
    , m_instance(std::move(instance))
    , m_ring(ringCapacity)
{
    if (!m_file.empty())
        m_thread = std::thread([this] {
            run();
        });
}

SpanWriter::~SpanWriter()
{
    m_ring.close();
    if (m_thread.joinable())
        m_thread.join();
}

void SpanWriter::write(Span span)
{
    if (m_file.empty() || !span.context.sampled)
        return;
    if (!m_ring.tryPush(std::move(span)))
        ++m_dropped;
}

void SpanWriter::run()
{
    std::ofstream out(m_file, std::ios::app);
    while (true) {
        const auto span = m_ring.pop(pollInterval);
        if (span) {
            out << toOtlpJson(*span, m_instance) << '\n';
            continue;
        }
        out.flush();
        if (m_ring.isClosed())
            return;
    }
}

} // namespace kumquathaven::telemetry
