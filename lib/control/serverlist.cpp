#include "serverlist.h"

#include "kumquathaven/runtime/httpclient.h"
#include "kumquathaven/telemetry/log.h"

namespace kumquathaven::control {

namespace {

constexpr std::size_t maxListPages = 400;
constexpr std::size_t maxAnswerBytes = std::size_t{4} * 1024 * 1024;

runtime::CallTimeouts callTimeouts()
{
    runtime::CallTimeouts timeouts;
    timeouts.connect = std::chrono::milliseconds(300);
    timeouts.silence = std::chrono::milliseconds(700);
    timeouts.total = std::chrono::seconds(2);
    return timeouts;
}

} // namespace

void ServerList::refresh(Duration interval)
{
    const TimePoint now = monotonicNow();
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_isReading || (m_triedAt != TimePoint{} && now - m_triedAt < interval))
            return;
        m_isReading = true;
        m_triedAt = now;
    }
    auto reading = orElse(
        [&]() -> Result<std::shared_ptr<const ServerReading>> {
            BOOST_LEAF_AUTO(servers, read());
            return std::shared_ptr<const ServerReading>(
                std::make_shared<ServerReading>(ServerReading{std::move(servers), now}));
        },
        [](const Error &error) {
            telemetry::logLine(telemetry::LogLevel::Warn, "serverList",
                               "the server list could not be read", {{"reason", describe(error)}});
            return std::shared_ptr<const ServerReading>();
        });
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_isReading = false;
    if (reading)
        m_newest = std::move(reading);
}

std::shared_ptr<const ServerReading> ServerList::newest() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_newest;
}

Result<std::vector<deployment::ListedServer>> ServerList::read() const
{
    const settings::Address &address = m_settings.platform->serverList;
    std::vector<deployment::ListedServer> servers;
    std::string page;
    for (std::size_t n = 0; n < maxListPages; ++n) {
        BOOST_LEAF_AUTO(reply,
                        runtime::fetch(address, "GET", m_dialect.servers.listPath(page), {}, {},
                                       callTimeouts(), maxAnswerBytes));
        if (reply.status != 200)
            return fail({ErrorCode::Unavailable,
                         "serverList.read",
                         settings::toString(address),
                         "status " + std::to_string(reply.status),
                         Outcome::NotRun,
                         {}});
        BOOST_LEAF_AUTO(read, m_dialect.servers.readListPage(reply.body));
        for (deployment::ListedServer &it : read.servers)
            servers.push_back(std::move(it));
        page = read.nextPage;
        if (page.empty())
            break;
    }
    return Result<std::vector<deployment::ListedServer>>(std::move(servers));
}

} // namespace kumquathaven::control
