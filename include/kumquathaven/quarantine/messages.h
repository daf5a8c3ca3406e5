// How instances write what they tell each other about crashes and parts of prompts.

#ifndef KUMQUATHAVEN_QUARANTINE_MESSAGES_H
#define KUMQUATHAVEN_QUARANTINE_MESSAGES_H

#include "kumquathaven/quarantine/partquarantine.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>

namespace kumquathaven::quarantine {

/// Write and read one piece of news. The readers return false if the value is malformed.
nlohmann::json toJson(const CrashReport &report);
nlohmann::json toJson(const AnsweredPart &part);
bool readCrash(const nlohmann::json &value, CrashReport &out);
bool readAnswered(const nlohmann::json &value, AnsweredPart &out);

/// Encodes a verdict without its generation and its remaining lifetime, so that the bytes do not
/// change on their way. Times are those of the wall clock, in milliseconds since 1970.
std::string encodeVerdict(const PartVerdict &verdict, TimePoint now, std::uint64_t wallNow);

/// Decodes a verdict. The error is InvalidRequest and names \p peer.
Result<PartVerdict> decodeVerdict(std::string_view bytes, const std::string &peer, TimePoint now,
                                  std::uint64_t wallNow);

/// Returns what an instance knows as JSON text for operators: the verdicts, and the parts under
/// which servers crashed, with ages and times in seconds.
std::string describeParts(const Evidence &evidence, TimePoint now);

/// Encodes and decodes all news in one message between two instances.
std::string encodeNews(const QuarantineNews &news, TimePoint now, std::uint64_t wallNow);
Result<QuarantineNews> decodeNews(std::string_view bytes, const std::string &peer, TimePoint now,
                                  std::uint64_t wallNow);

} // namespace kumquathaven::quarantine

#endif // KUMQUATHAVEN_QUARANTINE_MESSAGES_H
