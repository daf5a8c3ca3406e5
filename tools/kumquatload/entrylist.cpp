#include "entrylist.h"

#include "kumquathaven/runtime/httpclient.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace kumquathaven::load {

namespace {

using nlohmann::json;

constexpr runtime::CallTimeouts askTimeouts{std::chrono::seconds(1), std::chrono::seconds(1)};
constexpr std::size_t maxAnswerBytes = std::size_t(64) * 1024;
constexpr Duration retryInterval = std::chrono::milliseconds(200);

std::optional<NamedEntry> readEntry(const json &value)
{
    if (!value.is_object() || !value.contains("address") || !value["address"].is_string())
        return std::nullopt;
    NamedEntry entry;
    entry.address = settings::parseAddress(value["address"].get<std::string>());
    if (value.contains("weight") && value["weight"].is_number_unsigned())
        entry.weight = value["weight"].get<std::uint32_t>();
    if (entry.address.port == 0 || !isLoopback(entry.address))
        return std::nullopt;
    return entry;
}

std::optional<NamedEntries> fetchEntries(const settings::Address &address)
{
    const std::string body = orElse(
        [&]() -> Result<std::string> {
            BOOST_LEAF_AUTO(
                reply,
                runtime::fetch(address, "GET", "/v1/entries", {}, {}, askTimeouts, maxAnswerBytes));
            return reply.status == 200 ? reply.body : std::string();
        },
        [](const Error &) {
            return std::string();
        });
    return readEntries(body);
}

} // namespace

bool isLoopback(const settings::Address &address)
{
    return address.host.rfind("127.", 0) == 0;
}

std::optional<NamedEntries> readEntries(const std::string &body)
{
    const json value = json::parse(body, nullptr, false);
    if (!value.is_object() || !value.contains("entries") || !value["entries"].is_array())
        return std::nullopt;
    if (!value.contains("ttlSeconds") || !value["ttlSeconds"].is_number())
        return std::nullopt;
    NamedEntries named;
    named.ttl = fromSeconds(value["ttlSeconds"].get<double>());
    for (const json &it : value["entries"]) {
        const auto entry = readEntry(it);
        if (!entry)
            return std::nullopt;
        named.entries.push_back(*entry);
    }
    if (named.entries.empty())
        return std::nullopt;
    return named;
}

const settings::Address &pickByWeight(const std::vector<NamedEntry> &entries, double place)
{
    double left = 0;
    for (const NamedEntry &it : entries)
        left += it.weight;
    left *= place;
    for (const NamedEntry &it : entries) {
        left -= it.weight;
        if (left < 0)
            return it.address;
    }
    return entries.back().address;
}

EntryList::EntryList(std::vector<settings::Address> addresses, bool asks)
    : m_addresses(std::move(addresses))
    , m_asks(asks)
{
    for (const auto &it : m_addresses)
        m_entries.push_back({it, 1});
}

settings::Address EntryList::pick(std::uint64_t draw)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (!m_asks)
        return m_entries[draw % m_entries.size()].address;
    const TimePoint now = monotonicNow();
    if (now >= m_nextAsk)
        ask(now);
    constexpr double scale = 0x1.0p-53;
    return pickByWeight(m_entries, static_cast<double>(draw >> 11) * scale);
}

void EntryList::avoid(const settings::Address &address)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (!m_asks || m_entries.size() < 2)
        return;
    const auto isSame = [&](const NamedEntry &it) {
        return it.address.host == address.host && it.address.port == address.port;
    };
    m_entries.erase(std::remove_if(m_entries.begin(), m_entries.end(), isSame), m_entries.end());
}

void EntryList::ask(TimePoint now)
{
    for (const auto &it : m_addresses) {
        auto named = fetchEntries(it);
        if (!named)
            continue;
        m_entries = std::move(named->entries);
        m_nextAsk = now + named->ttl;
        return;
    }
    // What was named last is better than nothing.
    m_nextAsk = now + retryInterval;
}

} // namespace kumquathaven::load
