// The entries to send to: fixed addresses, or those that GET /v1/entries names.

#ifndef KUMQUATHAVEN_TOOLS_KUMQUATLOAD_ENTRYLIST_H
#define KUMQUATHAVEN_TOOLS_KUMQUATLOAD_ENTRYLIST_H

#include "kumquathaven/base/time.h"
#include "kumquathaven/settings/settings.h"

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace kumquathaven::load {

/// An entry as it is named to callers.
struct NamedEntry
{
    settings::Address address;
    std::uint32_t weight = 1;
};

/// An answer that says which entries to use.
struct NamedEntries
{
    std::vector<NamedEntry> entries;
    /// How long the answer may be kept.
    Duration ttl{0};
};

/// Reads the body of an answer to GET /v1/entries. Returns nothing if it is not well formed, names
/// no entry, or names one outside of the loopback.
std::optional<NamedEntries> readEntries(const std::string &body);

/// Returns the entry at a place from 0 to 1 along the weights.
const settings::Address &pickByWeight(const std::vector<NamedEntry> &entries, double place);

bool isLoopback(const settings::Address &address);

/// Shared by all callers of a load.
class EntryList
{
public:
    /// With \p asks the addresses are only asked which entries to use; otherwise they are used.
    EntryList(std::vector<settings::Address> addresses, bool asks);

    /// Returns the entry for a call. \p draw decides which one.
    settings::Address pick(std::uint64_t draw);

    /// Takes note that an address refused a connection: it is left out until the next answer.
    void avoid(const settings::Address &address);

private:
    void ask(TimePoint now);

    const std::vector<settings::Address> m_addresses;
    const bool m_asks;
    std::mutex m_mutex;
    std::vector<NamedEntry> m_entries;
    TimePoint m_nextAsk{};
};

} // namespace kumquathaven::load

#endif // KUMQUATHAVEN_TOOLS_KUMQUATLOAD_ENTRYLIST_H
