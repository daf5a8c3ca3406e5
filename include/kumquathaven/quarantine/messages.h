// How instances write what they tell each other about crashes and what caused them.

#ifndef KUMQUATHAVEN_QUARANTINE_MESSAGES_H
#define KUMQUATHAVEN_QUARANTINE_MESSAGES_H

#include "kumquathaven/quarantine/quarantine.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>

namespace kumquathaven::quarantine {

/// Write and read one piece of news. The readers return false if the value is malformed.
nlohmann::json toJson(const CrashReport &report);
nlohmann::json toJson(const AnsweredSubject &answered);
bool readCrash(const nlohmann::json &value, CrashReport &out);
bool readAnswered(const nlohmann::json &value, AnsweredSubject &out);

/// Encodes a verdict without its generation and its remaining lifetime, so that the bytes do not
/// change on their way. Times are those of the wall clock, in milliseconds since 1970.
std::string encodeVerdict(const SubjectVerdict &verdict, TimePoint now, std::uint64_t wallNow);

/// Decodes a verdict. The error is InvalidRequest and names \p peer.
Result<SubjectVerdict> decodeVerdict(std::string_view bytes, const std::string &peer, TimePoint now,
                                     std::uint64_t wallNow);

/// Returns what an instance knows as JSON text for operators: the verdicts, and the suspects under
/// which servers crashed, with ages and times in seconds.
std::string describeEvidence(const Evidence &evidence, TimePoint now);

/// Encodes and decodes all news in one message between two instances.
std::string encodeNews(const QuarantineNews &news, TimePoint now, std::uint64_t wallNow);
Result<QuarantineNews> decodeNews(std::string_view bytes, const std::string &peer, TimePoint now,
                                  std::uint64_t wallNow);

} // namespace kumquathaven::quarantine

#endif // KUMQUATHAVEN_QUARANTINE_MESSAGES_H
