// What a spender knows and asks of one bucket.

#ifndef KUMQUATHAVEN_LIB_LIMITS_ACCOUNT_H
#define KUMQUATHAVEN_LIB_LIMITS_ACCOUNT_H

#include "kumquathaven/limits/spender.h"

#include <cstdint>
#include <string>

namespace kumquathaven::limits {

/// Returns the tokens that were granted and neither spent, returned nor reserved.
std::uint64_t unspent(const Account &account);

/// Returns the unspent tokens that may be spent now: none once the session's life has ended.
std::uint64_t spendable(const Account &account, TimePoint now);

/// Moves the average use, in tokens a second, up to the present.
void decayUsage(Account &account, TimePoint now);

/// Counts tokens as used now.
void addUsage(Account &account, std::uint64_t tokens, TimePoint now);

/// Returns the tokens that the recent use of an account is expected to need.
std::uint64_t sliceSize(const Spender &spender, const Account &account);

/// What waiting requests of an account lack.
struct Shortage
{
    std::uint64_t first = 0;
    std::uint64_t all = 0;
};

Shortage shortageOf(const Spender &spender, const Account &account, TimePoint now);

/// Tells the home what became of the tokens, and asks for what is lacking and a slice ahead.
void sendTokenRequest(Spender &spender, const std::string &bucket, Account &account, TimePoint now,
                      Effects &effects);

/// Begins a new session under a term. With \p carries it starts with the tokens still held, if
/// the former session lives.
void openSession(Spender &spender, Account &account, const Term &term, bool carries, TimePoint now);

/// Returns the account of a bucket, made if there is none, with the group of the present epoch.
Account &accountOf(Spender &spender, const std::string &bucket, TimePoint now);

/// Gives up refunds of the oldest running requests, which count as spent from then on. Returns the
/// tokens given up.
std::uint64_t dropClaims(Account &account, std::uint64_t tokens);

/// Returns whether the newest ask was not answered yet.
bool isAwaitingAnswer(const Account &account);

/// Returns the unspent tokens beyond \p keep to the home.
void returnUnspent(Account &account, std::uint64_t keep);

/// Counts an ask without a useful answer, and from the second one on turns to the next member.
void turnToNext(Account &account);

/// Returns whether the account may be forgotten.
bool isIdle(const Account &account, TimePoint now);

} // namespace kumquathaven::limits

#endif // KUMQUATHAVEN_LIB_LIMITS_ACCOUNT_H
