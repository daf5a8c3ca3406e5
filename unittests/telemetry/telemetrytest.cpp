#include "kumquathaven/telemetry/metrics.h"
#include "kumquathaven/telemetry/trace.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <string>
#include <thread>
#include <vector>

using namespace kumquathaven::telemetry;

TEST_CASE("counters and histograms appear in the exposition")
{
    Metrics metrics;
    metrics.counter("requests_total", "requests", {{"class", "quick"}}).add(3);
    metrics.gauge("streams", "streams").set(2);
    auto &histogram = metrics.histogram("first_token_seconds", "time to first token");
    for (const double it : {0.00001, 0.01, 0.02, 5000.0})
        histogram.observe(it);
    const std::string text = metrics.exposition();
    CHECK(text.find("requests_total{class=\"quick\"} 3") != std::string::npos);
    CHECK(text.find("streams 2") != std::string::npos);
    CHECK(text.find("first_token_seconds_count 4") != std::string::npos);
    CHECK(text.find("first_token_seconds_bucket{le=\"+Inf\"} 4") != std::string::npos);
}

TEST_CASE("the series of one name are bounded")
{
    Metrics metrics;
    for (int n = 0; n < 5000; ++n)
        metrics.counter("c", "help", {{"n", std::to_string(n)}}).add();
    const std::string text = metrics.exposition();
    CHECK(std::count(text.begin(), text.end(), '\n') < 2100);
}

TEST_CASE("many threads observe one histogram")
{
    Metrics metrics;
    auto &histogram = metrics.histogram("h", "help");
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int n = 0; n < 4; ++n)
        threads.emplace_back([&] {
            for (int k = 0; k < 1000; ++k)
                histogram.observe(0.001 * k);
        });
    for (auto &it : threads)
        it.join();
    CHECK(metrics.exposition().find("h_count 4000") != std::string::npos);
}

TEST_CASE("traceparent headers are read strictly")
{
    const std::string good = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
    const auto context = parseTraceparent(good);
    REQUIRE(context.has_value());
    CHECK(formatTraceparent(*context) == good);
    const auto child = childContext(context);
    CHECK(child.traceId == context->traceId);
    CHECK(child.spanId != context->spanId);
    const std::vector<std::string> bad{
        "",
        "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7",
        "01-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
        "00-4BF92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
        "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
        "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01",
        "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-zz",
    };
    for (const auto &it : bad) {
        CAPTURE(it);
        CHECK_FALSE(parseTraceparent(it).has_value());
    }
}

TEST_CASE("the process tells what it takes")
{
    const Metrics metrics;
    const std::string text = metrics.exposition();
    const auto valueOf = [&](const std::string &name) {
        const std::size_t at = text.find("\n" + name + " ");
        return at == std::string::npos ? -1 : std::stod(text.substr(at + name.size() + 2));
    };
    CHECK(valueOf("kumquathaven_process_resident_bytes") > 1e6);
    CHECK(valueOf("kumquathaven_process_cpu_seconds_total") >= 0);
}

TEST_CASE("a span is one line of OTLP/JSON")
{
    Span span;
    span.context = childContext(std::nullopt);
    span.name = "upstream.call";
    span.attributes = {{"upstream", "e1"}};
    const std::string line = toOtlpJson(span, "entry-1");
    CHECK(line.find('\n') == std::string::npos);
    const auto parsed = nlohmann::json::parse(line);
    const auto &item = parsed["resourceSpans"][0]["scopeSpans"][0]["spans"][0];
    CHECK(item["name"] == "upstream.call");
    CHECK(item["attributes"][0]["key"] == "upstream");
}
