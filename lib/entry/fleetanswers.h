// The duty that finds and fetches the answers of keyed work over all entries.

#ifndef KUMQUATHAVEN_LIB_ENTRY_FLEETANSWERS_H
#define KUMQUATHAVEN_LIB_ENTRY_FLEETANSWERS_H

#include "kumquathaven/answers/directory.h"
#include "kumquathaven/answers/fetchedanswer.h"
#include "kumquathaven/base/ring.h"
#include "kumquathaven/catalogue/view.h"
#include "kumquathaven/feed/peerlinks.h"
#include "kumquathaven/runtime/stopsignal.h"
#include "kumquathaven/telemetry/metrics.h"
#include "kumquathaven/wire/hub.h"
#include "offeredanswers.h"

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace kumquathaven::entry {

/// What a search over the entries found.
struct FoundWork
{
    enum class Kind { Nothing, Answer, OtherBody };
    Kind kind = Kind::Nothing;
    /// Another instance was said to hold the work: this is not its first attempt.
    bool wasHeld = false;
    /// Names the fetch in read() and end(), and the instance that sends the answer.
    std::uint64_t fetch = 0;
    std::string holder;
};

/// find(), read() and end() are called by the threads of requests.
class FleetAnswers
{
public:
    /// Sets the handlers of its channel: make it before \p hub starts.
    FleetAnswers(std::string ownName, std::uint64_t incarnation, wire::Hub &hub,
                 feed::PeerLinks &peerLinks, const catalogue::View &view, JoinTable &joins,
                 telemetry::Metrics &metrics);
    FleetAnswers(const FleetAnswers &) = delete;
    FleetAnswers &operator=(const FleetAnswers &) = delete;

    /// Takes messages of other entries and sends what they wait for, until the signal is set.
    void run(const runtime::StopSignal &stop);

    /// Asks the work's home who holds it, and the holder for its answer. If nobody does, or no
    /// answer comes within some tens of milliseconds, nothing is found and this instance is to run
    /// the work.
    FoundWork find(const answers::WorkKey &key, const std::string &bodyFingerprint);
    /// Waits up to \p timeout for more of an answer and returns it.
    answers::ReadResult read(std::uint64_t fetch, Duration timeout);
    /// Ends a fetch.
    void end(const FoundWork &found);
    /// Tells the work's home that this instance runs it, since the holder's answer was lost.
    void runInsteadOf(const answers::WorkKey &key, const std::string &holder);

private:
    struct Received
    {
        std::string peer;
        std::string body;
    };
    /// A question to a home, until its answer is there.
    struct PendingClaim
    {
        std::string home;
        std::optional<std::string> holder;
    };

    void take(const Received &received);
    void takeMessage(const std::string &peer, const answers::FleetMessage &message);
    bool send(const std::string &to, const answers::FleetMessage &message);

    std::optional<std::string> claim(const answers::WorkKey &key, const std::string &insteadOf,
                                     Duration wait);
    std::optional<std::string> holderFrom(std::unique_lock<std::mutex> &lock,
                                          const std::string &home, std::uint64_t number,
                                          Duration wait);
    std::optional<answers::PartKind> fetch(FoundWork &found, const answers::WorkKey &key,
                                           const std::string &bodyFingerprint, Duration wait);
    void noteSilent(const std::string &peer);
    std::set<std::string> silentPeers();

    const std::string m_name;
    feed::PeerLinks &m_peerLinks;
    const catalogue::View &m_view;
    telemetry::Counter &m_claims;
    telemetry::Counter &m_sent;
    telemetry::Counter &m_unanswered;
    telemetry::Counter &m_lostFrames;
    telemetry::Counter &m_malformedFrames;
    telemetry::Histogram &m_searches;
    BoundedRing<Received> m_ring;
    OfferedAnswers m_offered;

    std::mutex m_mutex;
    std::condition_variable m_news;
    std::uint64_t m_lastNumber;
    answers::Directory m_directory;
    std::map<std::uint64_t, PendingClaim> m_pendingClaims;
    std::map<std::uint64_t, answers::FetchedAnswer> m_fetches;
    /// Instances that did not answer in time, and until when they are passed over.
    std::map<std::string, TimePoint> m_silent;
};

} // namespace kumquathaven::entry

#endif // KUMQUATHAVEN_LIB_ENTRY_FLEETANSWERS_H
