#include "kumquathaven/answers/relay.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace kumquathaven::answers {

namespace {

constexpr const char *endEvent = "data: [DONE]\n\n";

std::string dataEvent(const std::string &data)
{
    return "data: " + data + "\n\n";
}

/// Returns how many bytes of \p text, a part of the current attempt's text, the caller already has,
/// or nothing if it differs from the caller's text.
std::optional<std::size_t> matchKnownText(Relay &relay, const std::string &text)
{
    if (relay.mode == RelayMode::Forward)
        return 0;
    const std::size_t n = std::min(text.size(), relay.text.size() - relay.comparedBytes);
    if (relay.text.compare(relay.comparedBytes, n, text, 0, n) != 0)
        return std::nullopt;
    relay.comparedBytes += n;
    return n;
}

/// Returns whether a chunk without new text carries something that the caller does not have yet.
bool hasNewContent(const Relay &relay, const Chunk &chunk)
{
    if (chunk.finishes)
        return !relay.finished;
    if (chunk.hasRole)
        return !relay.roleSent;
    return !relay.anySent || chunk.completionTokens || chunk.hasOtherContent;
}

/// Records that a chunk with the new text \p text was sent to the caller.
void recordSent(Relay &relay, const Chunk &chunk, const std::string &text)
{
    relay.anySent = true;
    relay.roleSent = relay.roleSent || chunk.hasRole;
    relay.finished = relay.finished || chunk.finishes;
    relay.sentOtherContent = relay.sentOtherContent || chunk.hasOtherContent;
    relay.tokens = relay.check.tokens;
    relay.hasFullText =
        relay.hasFullText && relay.text.size() + text.size() <= relay.limits.maxTextBytes;
    if (relay.hasFullText)
        relay.text += text;
    else
        relay.text.clear();
    relay.comparedBytes = relay.text.size();
}

/// Forwards one chunk, or the part of it that the caller does not have yet.
StreamFault forwardChunk(Relay &relay, const SseEvent &event, const Chunk &chunk,
                         RelayOutput &output)
{
    const auto knownBytes = matchKnownText(relay, chunk.text);
    if (!knownBytes)
        return StreamFault::OtherText;
    const bool stillSkipping = relay.comparedBytes < relay.text.size();
    if (stillSkipping && chunk.finishes)
        return StreamFault::OtherText;
    if (chunk.hasOtherContent && relay.recoveries > 0)
        return StreamFault::OtherText;
    const std::string text = chunk.text.substr(*knownBytes);
    if (text.empty() && (stillSkipping || !hasNewContent(relay, chunk)))
        return StreamFault::None;
    std::optional<std::string> replacement;
    if (*knownBytes > 0)
        replacement = text;
    output.events.push_back(dataEvent(rewriteChunk(event.data, relay.callerId, replacement)));
    recordSent(relay, chunk, text);
    return StreamFault::None;
}

/// Returns whether an answer that was resumed has the token count that the last engine reported. If
/// the counts differ, the answer may have a gap or a repetition.
bool lengthMatches(const Relay &relay)
{
    const bool wasResumed = relay.resumedFrom > 0;
    return !wasResumed || !relay.check.reportedTokens
        || *relay.check.reportedTokens == relay.tokens;
}

StreamFault handleEvent(Relay &relay, const SseEvent &event, RelayOutput &output)
{
    const CheckedEvent checked = check(relay.check, event);
    if (checked.fault != StreamFault::None)
        return checked.fault;
    if (!checked.done)
        return forwardChunk(relay, event, checked.chunk, output);
    if (!lengthMatches(relay))
        return StreamFault::WrongLength;
    output.events.emplace_back(endEvent);
    relay.complete = true;
    output.complete = true;
    return StreamFault::None;
}

Recovery endWithError(const Relay &relay, const char *message)
{
    Recovery recovery;
    recovery.error = Error{ErrorCode::UpstreamFailed,
                           "answer.relay",
                           {},
                           std::string(message) + ": " + std::string(streamFaultName(relay.fault)),
                           relay.anySent ? Outcome::Ran : Outcome::Unknown,
                           {}};
    recovery.events.push_back(errorEvent(*recovery.error, relay.callerId));
    return recovery;
}

/// Returns whether any other attempt could complete the caller's answer.
bool canContinue(const Relay &relay)
{
    const bool attemptsAgree =
        relay.fault != StreamFault::OtherText && relay.fault != StreamFault::WrongLength;
    return attemptsAgree && !relay.sentOtherContent;
}

} // namespace

RelayOutput feed(Relay &relay, std::string_view bytes)
{
    RelayOutput output;
    if (relay.fault != StreamFault::None) {
        output.fault = relay.fault;
        return output;
    }
    for (const SseEvent &it : relay.parser.feed(bytes)) {
        relay.fault = handleEvent(relay, it, output);
        if (relay.fault != StreamFault::None)
            break;
    }
    if (relay.fault == StreamFault::None && relay.parser.tooLarge())
        relay.fault = StreamFault::TooLarge;
    output.fault = relay.fault;
    return output;
}

StreamFault endAttempt(Relay &relay)
{
    if (relay.fault == StreamFault::None)
        relay.fault = faultAtEnd(relay.check);
    return relay.fault;
}

Recovery recover(const Relay &relay, bool repeatable, const std::vector<Candidate> &candidates)
{
    Recovery recovery;
    if (relay.complete) {
        recovery.kind = RecoveryKind::Complete;
        return recovery;
    }
    if (!canContinue(relay))
        return endWithError(relay, "the answer cannot be continued");
    if (relay.finished) {
        recovery.kind = RecoveryKind::Complete;
        recovery.events.emplace_back(endEvent);
        return recovery;
    }
    if (!repeatable)
        return endWithError(relay, "the request may not run again");
    if (relay.recoveries >= relay.limits.maxRecoveries)
        return endWithError(relay, "the answer failed too often");
    for (const Candidate &it : candidates) {
        if (relay.tokens == 0 || !it.canResume || it.weightsVersion != relay.weightsVersion)
            continue;
        recovery.kind = RecoveryKind::Resume;
        recovery.upstream = it.upstream;
        recovery.resumeFrom = relay.tokens;
        return recovery;
    }
    if (candidates.empty() || !relay.hasFullText)
        return endWithError(relay, "no engine can continue the answer");
    recovery.kind = RecoveryKind::Rerun;
    recovery.upstream = candidates.front().upstream;
    return recovery;
}

void startAttempt(Relay &relay, const Recovery &recovery, const std::string &upstreamId,
                  const std::string &weightsVersion)
{
    relay.parser = SseParser();
    relay.check = StreamCheck();
    relay.check.expectedId = upstreamId;
    relay.check.tokens = recovery.resumeFrom;
    relay.mode =
        recovery.kind == RecoveryKind::Resume ? RelayMode::Forward : RelayMode::SkipMatching;
    relay.comparedBytes = recovery.kind == RecoveryKind::Resume ? relay.text.size() : 0;
    relay.resumedFrom = recovery.resumeFrom;
    relay.fault = StreamFault::None;
    if (relay.tokens == 0)
        relay.weightsVersion = weightsVersion;
    ++relay.recoveries;
}

std::string errorEvent(const Error &error, const std::string &requestId)
{
    const nlohmann::ordered_json body = {{"error",
                                          {{"code", errorCodeName(error.code)},
                                           {"message", error.message},
                                           {"step", error.step},
                                           {"outcome", outcomeName(error.outcome)},
                                           {"requestId", requestId}}}};
    return "event: error\n"
        + dataEvent(body.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace));
}

} // namespace kumquathaven::answers
