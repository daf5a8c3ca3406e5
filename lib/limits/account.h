// Operations on a spender's account of one bucket, and the requests it sends for more tokens.

#ifndef KUMQUATHAVEN_LIB_LIMITS_ACCOUNT_H
#define KUMQUATHAVEN_LIB_LIMITS_ACCOUNT_H

#include "kumquathaven/limits/spender.h"

#include <cstdint>
#include <string>

namespace kumquathaven::limits {

/// Returns the granted tokens that are neither spent, returned nor reserved.
std::uint64_t unspent(const Account &account);

/// Returns the unspent tokens that may be spent at \p now. There are none once the session has
/// expired.
std::uint64_t spendable(const Account &account, TimePoint now);

/// Decays the average use, in tokens per second, to the present time.
void decayUsage(Account &account, TimePoint now);

/// Adds tokens that are reserved now to the average use and to the average cost of a request.
void addUsage(Account &account, std::uint64_t tokens, TimePoint now);

/// Returns the size of the slice that an account should hold, in tokens: the use expected within
/// Config::sliceHorizon, or zero if that is less than an average request.
std::uint64_t sliceSize(const Spender &spender, const Account &account);

/// Tokens that are missing for the waiting requests of an account.
struct Shortage
{
    /// For the oldest request that cannot run.
    std::uint64_t first = 0;
    /// For all requests together.
    std::uint64_t all = 0;
};

/// Returns how many tokens are missing for the waiting requests of an account.
Shortage shortageOf(const Spender &spender, const Account &account, TimePoint now);

/// Reports to the home how the tokens were used, and requests the missing tokens and a slice for
/// the requests to come.
void sendTokenRequest(Spender &spender, const std::string &bucket, Account &account, TimePoint now,
                      Effects &effects);

/// Starts a new session under a term. With \p carries it starts with the tokens of the former
/// session that are still held, unless that session has expired.
void openSession(Spender &spender, Account &account, const Term &term, bool carries, TimePoint now);

/// Returns the account of a bucket with the group of the present epoch. Creates the account if it
/// does not exist.
Account &accountOf(Spender &spender, const std::string &bucket, TimePoint now);

/// Waives up to \p tokens of the refunds that running requests may still bring, oldest request
/// first, and takes them off the reserved tokens. Waived tokens are never refunded: they count as
/// spent. Returns the number of tokens waived.
std::uint64_t waiveRefunds(Account &account, std::uint64_t tokens);

/// Returns whether the newest request to the home has not been answered yet.
bool isAwaitingAnswer(const Account &account);

/// Marks the unspent tokens beyond \p keep as returned. The next report gives them to the home.
void returnUnspent(Account &account, std::uint64_t keep);

/// Counts a request without a useful answer, and switches to the group's next member from the
/// second one on.
void switchToNextMember(Account &account);

/// Returns whether the account may be dropped.
bool isIdle(const Account &account, TimePoint now);

} // namespace kumquathaven::limits

#endif // KUMQUATHAVEN_LIB_LIMITS_ACCOUNT_H
