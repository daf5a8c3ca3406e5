// Directory in which a home records the instance that holds the running or kept answer to work.
//
// The home only points to the holder. The holder itself checks whether it has the answer and which
// customer owns it, so a stale or lost record costs at most another run of repeatable work.

#ifndef KUMQUATHAVEN_ANSWERS_DIRECTORY_H
#define KUMQUATHAVEN_ANSWERS_DIRECTORY_H

#include "kumquathaven/answers/answerstore.h"

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace kumquathaven::answers {

/// Returns the home of the work: among \p instances, the one with the highest rendezvous rank that
/// is not excluded. Returns an empty string if there is none.
std::string homeOf(const std::vector<std::string> &instances, const WorkKey &key,
                   const std::set<std::string> &excluded);

/// Limits of a directory.
struct DirectoryLimits
{
    std::size_t maxRecords = 50'000;
    /// Lifetime of a record. It covers the longest run plus the time for which its answer is kept.
    Duration recordLifetime = std::chrono::minutes(20);
};

/// The instance that holds the answer to some work.
struct HolderRecord
{
    std::string holder;
    TimePoint expiresAt{};
    /// Distinguishes the record's current position in the order from its earlier ones.
    std::uint64_t sequence = 0;
};

/// A position in a customer's order of records.
struct RecordPosition
{
    std::string work;
    std::uint64_t sequence = 0;
};

/// Records of one customer. The order runs from oldest to newest. It may also contain stale
/// positions, whose records have moved or were removed.
struct CustomerRecords
{
    std::map<std::string, HolderRecord> byWork;
    std::deque<RecordPosition> order;
};

/// The records of one home.
struct Directory
{
    DirectoryLimits limits;
    std::map<std::string, CustomerRecords> customers;
    std::size_t count = 0;
    std::uint64_t lastSequence = 0;
};

/// Returns the holder of the work. If there is none, or only \p staleHolder, where the claimant
/// found no answer, then \p claimant becomes the holder and the result is empty. If this exceeds
/// the maximum number of records, the customer with the most records loses its oldest one.
std::string claim(Directory &directory, const WorkKey &key, const std::string &claimant,
                  const std::string &staleHolder, TimePoint now);

/// Removes expired records.
void expire(Directory &directory, TimePoint now);

} // namespace kumquathaven::answers

#endif // KUMQUATHAVEN_ANSWERS_DIRECTORY_H
