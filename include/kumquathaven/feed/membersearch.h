// The search of an entry instance for a control member that gives fresh proofs, as a state machine
// without threads, sockets or clocks.
//
// Members are tried side by side, so that the time to find a sound one does not grow with the
// number of members that are dead, replaced, frozen or cut off. Load: an instance that loses its
// member opens one link where the next member answers, and at most one link to each known member.

#ifndef KUMQUATHAVEN_FEED_MEMBERSEARCH_H
#define KUMQUATHAVEN_FEED_MEMBERSEARCH_H

#include "kumquathaven/base/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace kumquathaven::feed {

/// Times of a search.
struct SearchTimes
{
    /// Delay after which further members are tried besides those that have not answered.
    Duration attemptDelay = std::chrono::milliseconds(250);
    /// A link that has not opened by then is requested anew, since a lost packet may have delayed
    /// it.
    Duration connectTimeout = std::chrono::seconds(1);
    /// Interval between two probes of one member.
    Duration probeInterval = std::chrono::milliseconds(250);
    /// A member is sound if its proof is at most this old, or newer than one that it gave before.
    Duration maxProofAge = std::chrono::milliseconds(750);
    /// How long a followed member that answers may take to become sound again before another sound
    /// member is preferred to it. Covers the interval at which members renew their proofs.
    Duration followedGrace = std::chrono::milliseconds(300);
    /// Without a followed member, the best open link is followed after this time although its
    /// member is not sound.
    Duration settleTime = std::chrono::milliseconds(750);
    /// How long a member that failed is tried after the others.
    Duration failureMemory = std::chrono::seconds(60);
};

/// A member that takes part in a search.
struct SearchAttempt
{
    TimePoint startedAt{};
    bool isOpen = false;
    TimePoint probedAt{};
    /// Sending times of the unanswered probes over the present connection, by number.
    std::map<std::uint64_t, TimePoint> probes = {};
    /// Time of the newest proof; the default value means that there is none.
    TimePoint provenAt{};
    bool isSound = false;
};

/// The search and what it remembers between two searches. Members are identified by their
/// addresses, as "host:port".
struct MemberSearch
{
    /// Name of the searching instance, from which its order of members is derived.
    std::string instance;
    SearchTimes times;
    /// Whether the control state lists a member, by address. Members that only the settings name
    /// are tried last.
    std::map<std::string, bool> members = {};
    /// When a member failed last.
    std::map<std::string, TimePoint> failedAt = {};
    bool isActive = false;
    TimePoint beganAt{};
    /// When the first member other than the followed one was found to be sound.
    TimePoint foundAt{};
    /// Number of rounds in which members were added: one member, two more, and all others.
    std::size_t rounds = 0;
    /// The member that is followed; empty if there is none.
    std::string followed = {};
    std::map<std::string, SearchAttempt> attempts = {};
    /// Probes have numbers of their own, so that their answers are not taken for those to others.
    std::uint64_t lastProbe = 1ULL << 63U;
};

/// A request for a proof to send to a member.
struct Probe
{
    std::string member;
    std::uint64_t number = 0;
};

/// Links to close, to open and to send probes over, in the order of the members.
struct SearchStep
{
    std::vector<std::string> disconnect = {};
    std::vector<std::string> connect = {};
    std::vector<Probe> probes = {};
    /// The member to follow from now on, whose link is open; empty: no change. The link to the
    /// former one is among those to close.
    std::string follow = {};
};

/// Sets the known members: those that the control state lists and those of the settings. Links that
/// are already requested stay.
void setMembers(MemberSearch &search, const std::vector<std::string> &listed,
                const std::vector<std::string> &configured);

/// Begins a search, unless one is under way. The followed member, if its link is open, is probed
/// like the others and stays followed until another member is found to be sound.
SearchStep beginSearch(MemberSearch &search, TimePoint now);

/// Records that the link to a member has opened.
SearchStep recordOpened(MemberSearch &search, const std::string &member, TimePoint now);

/// Records that the link to a member has closed. If the member was followed, a search begins.
SearchStep recordClosed(MemberSearch &search, const std::string &member, TimePoint now);

/// Records a member's proof that \p age ago it held the newest state. An answer to anything but a
/// probe over the present connection is ignored.
SearchStep recordProof(MemberSearch &search, const std::string &member, std::uint64_t number,
                       Duration age, TimePoint now);

/// Adds members whose turn has come and sends due probes. To be called every few tens of
/// milliseconds.
SearchStep reviewSearch(MemberSearch &search, TimePoint now);

} // namespace kumquathaven::feed

#endif // KUMQUATHAVEN_FEED_MEMBERSEARCH_H
