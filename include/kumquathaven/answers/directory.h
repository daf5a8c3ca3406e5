// Which instance holds the running or kept answer to a piece of keyed work, as known at its home.
//
// The home only points at the holder. Whether an answer is there, and whose it is, the holder
// decides, so a record that is old or lost costs at most another run of repeatable work.

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

/// Returns the home of a piece of work among the instances: the one with the largest rank that is
/// not to be passed over. Empty if there is none.
std::string homeOf(const std::vector<std::string> &instances, const WorkKey &key,
                   const std::set<std::string> &excluded);

/// Bounds of a directory.
struct DirectoryLimits
{
    std::size_t maxRecords = 50'000;
    /// The longest run and the time for which its answer is kept.
    Duration recordLifetime = std::chrono::minutes(20);
};

/// Who holds a piece of work.
struct HolderRecord
{
    std::string holder;
    TimePoint expiresAt{};
    /// Tells the record's present place in the order from its earlier ones.
    std::uint64_t sequence = 0;
};

/// A place in a customer's order of records.
struct RecordPosition
{
    std::string work;
    std::uint64_t sequence = 0;
};

/// Records of one customer. The order has the oldest first, and places that records have left.
struct CustomerRecords
{
    std::map<std::string, HolderRecord> byWork;
    std::deque<RecordPosition> order;
};

/// The whole state of a home.
struct Directory
{
    DirectoryLimits limits;
    std::map<std::string, CustomerRecords> customers;
    std::size_t count = 0;
    std::uint64_t lastSequence = 0;
};

/// Returns who holds a piece of work, or an empty string if \p asker does from now on: nobody held
/// it, or only \p staleHolder, where the asker found no answer. When there are too many records,
/// the customer that has the most loses its oldest.
std::string claim(Directory &directory, const WorkKey &key, const std::string &claimant,
                  const std::string &staleHolder, TimePoint now);

/// Forgets records whose time has passed.
void expire(Directory &directory, TimePoint now);

} // namespace kumquathaven::answers

#endif // KUMQUATHAVEN_ANSWERS_DIRECTORY_H
