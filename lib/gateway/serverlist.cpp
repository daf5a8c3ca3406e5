#include "serverlist.h"

#include "kumquathaven/telemetry/log.h"

#include <algorithm>
#include <utility>

namespace kumquathaven::gateway {

namespace {

/// Minimum time between two reads. A leaving server must be noticed well within the time for which
/// it goes on serving.
constexpr Duration minInterval = std::chrono::seconds(1);
/// Share of the calls accepted by the platform that all instances together may use.
constexpr double usedShare = 0.5;
constexpr Duration pageTimeout = std::chrono::milliseconds(800);
constexpr Duration retryInterval = std::chrono::milliseconds(500);
constexpr std::uint32_t maxPages = 400;
/// A page of the list has some tens of kilobytes.
constexpr std::uint64_t maxPageBytes = std::uint64_t{4} * 1024 * 1024;

} // namespace

ServerListReader::ServerListReader(
    Gateway &gateway, std::function<void(const std::vector<deployment::ListedServer> &)> onList)
    : m_gateway(gateway)
    , m_onList(std::move(onList))
{ }

ServerListReader::~ServerListReader()
{
    if (m_call)
        m_call->cancel();
}

/// Returns the time between two reads. All readers read at the same rate, so that together they
/// stay within the platform's limit.
Duration ServerListReader::interval() const
{
    const double calls = m_gateway.settings.platform->listCallsPerSecond * usedShare;
    const double readers = std::max(1U, m_readers);
    const double pages = std::max(1U, m_pages);
    return std::max(minInterval, fromSeconds(readers * pages / calls));
}

void ServerListReader::tick(TimePoint now, std::uint32_t readers)
{
    if (m_call) {
        if (now - m_requestedAt > pageTimeout) {
            std::exchange(m_call, nullptr)->cancel();
            failed("no answer in time");
        }
        return;
    }
    if (now < m_nextReadAt || readers == 0)
        return;
    m_readers = readers;
    m_servers.clear();
    m_page.clear();
    m_pages = 0;
    m_unparsed = 0;
    requestPage();
}

void ServerListReader::requestPage()
{
    const TimePoint now = monotonicNow();
    m_requestedAt = now;
    m_body.clear();
    m_status = 0;
    CallRequest request;
    request.address = m_gateway.settings.platform->serverList;
    request.maxBodyBytes = maxPageBytes;
    request.bytes = http::requestHead("GET", m_gateway.dialect.servers.listPath(m_page),
                                      {{"Host", settings::toString(request.address)}});
    CallEvents events;
    events.head = [this](const http::Head &head, const deployment::AnswerHead &) {
        m_status = head.status;
    };
    events.body = [this](std::string_view bytes) {
        m_body.append(bytes);
    };
    events.done = [this] {
        m_call.reset();
        handlePage();
    };
    events.failed = [this](CallFailure) {
        m_call.reset();
        failed("the call to the platform failed");
    };
    m_call = std::make_shared<UpstreamCall>(m_gateway.loop, m_gateway.pool,
                                            m_gateway.dialect.requests.readAnswer);
    const auto call = m_call;
    call->start(std::move(request), std::move(events), now);
}

void ServerListReader::handlePage()
{
    if (m_status != 200) {
        failed("status " + std::to_string(m_status));
        return;
    }
    const std::string problem = orElse(
        [&]() -> Result<std::string> {
            BOOST_LEAF_AUTO(page, m_gateway.dialect.servers.readListPage(m_body));
            for (deployment::ListedServer &it : page.servers)
                m_servers.push_back(std::move(it));
            m_unparsed += page.unreadableEntries;
            m_page = page.nextPage;
            return std::string();
        },
        [](const Error &error) {
            return describe(error);
        });
    if (!problem.empty()) {
        failed(problem);
        return;
    }
    if (!m_page.empty() && ++m_pages < maxPages) {
        requestPage();
        return;
    }
    ++m_pages;
    m_nextReadAt = monotonicNow() + interval();
    if (std::exchange(m_isFailing, false))
        telemetry::logLine(telemetry::LogLevel::Info, "list", "list read again after failures",
                           {{"servers", std::to_string(m_servers.size())}});
    if (m_unparsed > 0)
        m_gateway.metrics
            .counter("kumquathaven_list_entries_unread_total", "entries of the list not understood")
            .add(m_unparsed);
    m_onList(m_servers);
}

void ServerListReader::failed(const std::string &reason)
{
    m_lastFailureAt = monotonicNow();
    m_nextReadAt = m_lastFailureAt + std::max(retryInterval, interval() / 2);
    m_gateway.metrics
        .counter("kumquathaven_list_failures_total", "readings of the list that failed")
        .add();
    if (!std::exchange(m_isFailing, true))
        telemetry::logLine(telemetry::LogLevel::Warn, "list", "cannot read the list",
                           {{"reason", reason}});
}

} // namespace kumquathaven::gateway
