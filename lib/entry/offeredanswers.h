// The holder's side: sends answers that this instance runs or keeps to instances that ask.

#ifndef KUMQUATHAVEN_LIB_ENTRY_OFFEREDANSWERS_H
#define KUMQUATHAVEN_LIB_ENTRY_OFFEREDANSWERS_H

#include "jointable.h"
#include "kumquathaven/answers/fetchedanswer.h"

#include <functional>
#include <map>
#include <string>
#include <utility>

namespace kumquathaven::entry {

/// Used by one thread.
class OfferedAnswers
{
public:
    /// Sends a message to an instance. Returns false if it cannot be sent.
    using Send = std::function<bool(const std::string &to, const answers::FleetMessage &message)>;

    OfferedAnswers(JoinTable &joins, Send send)
        : m_joins(joins)
        , m_send(std::move(send))
    { }

    /// Answers a fetch at once with what there is.
    void fetch(const std::string &peer, const answers::Fetch &fetch, TimePoint now);
    /// Ends a fetch.
    void end(const std::string &peer, const answers::FetchEnd &end);
    /// Sends what is new, and a heartbeat where nothing is.
    void pump(TimePoint now);

    bool isIdle() const { return m_readers.empty(); }

private:
    struct RemoteReader
    {
        Part part;
        std::uint64_t sequence = 0;
        bool hasHead = false;
        TimePoint sentAt{};
    };
    using ReaderName = std::pair<std::string, std::uint64_t>;

    bool advance(const ReaderName &name, RemoteReader &reader, TimePoint now);

    JoinTable &m_joins;
    Send m_send;
    const answers::FetchLimits m_limits;
    std::map<ReaderName, RemoteReader> m_readers;
};

} // namespace kumquathaven::entry

#endif // KUMQUATHAVEN_LIB_ENTRY_OFFEREDANSWERS_H
