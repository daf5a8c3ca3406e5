#include "kumquathaven/answers/completionstream.h"

#include "kumquathaven/base/enumnames.h"

#include <nlohmann/json.hpp>

namespace kumquathaven::answers {

namespace {

using Json = nlohmann::ordered_json;

constexpr std::string_view endMark = "[DONE]";

constexpr std::array<EnumName<StreamFault>, 10> streamFaultNames{{
    {StreamFault::None, "none"},
    {StreamFault::Malformed, "malformed"},
    {StreamFault::OtherRequest, "otherRequest"},
    {StreamFault::OutOfOrder, "outOfOrder"},
    {StreamFault::AfterEnd, "afterEnd"},
    {StreamFault::UpstreamError, "upstreamError"},
    {StreamFault::TooLarge, "tooLarge"},
    {StreamFault::Cut, "cut"},
    {StreamFault::OtherText, "otherText"},
    {StreamFault::WrongLength, "wrongLength"},
}};

CheckedEvent faulty(StreamFault fault)
{
    CheckedEvent event;
    event.fault = fault;
    return event;
}

/// Returns a member, or nullptr if it is missing or null.
const Json *member(const Json &object, const char *name)
{
    const auto it = object.find(name);
    return it == object.end() || it->is_null() ? nullptr : &*it;
}

/// Reads a text member into \p out, which stays unchanged if the member is missing or null. Returns
/// false if the member is of another type.
bool readText(const Json &object, const char *name, std::string &out)
{
    const Json *value = member(object, name);
    if (value == nullptr)
        return true;
    if (!value->is_string())
        return false;
    out = value->get<std::string>();
    return true;
}

/// Reads the delta of a chat completion chunk. Returns false if the value is malformed.
bool readDelta(const Json &delta, Chunk &chunk)
{
    if (!delta.is_object() || !readText(delta, "content", chunk.text))
        return false;
    for (const auto &it : delta.items()) {
        if (it.key() == "role")
            chunk.hasRole = true;
        else if (it.key() != "content" && !it.value().is_null())
            chunk.hasOtherContent = true;
    }
    return true;
}

bool readChoice(const Json &choice, Chunk &chunk)
{
    if (!choice.is_object())
        return false;
    std::string reason;
    if (!readText(choice, "finish_reason", reason) || !readText(choice, "text", chunk.text))
        return false;
    const Json *index = member(choice, "index");
    chunk.hasOtherContent = index != nullptr && *index != 0;
    chunk.finishes = !reason.empty() && !chunk.hasOtherContent;
    const Json *delta = member(choice, "delta");
    return delta == nullptr || readDelta(*delta, chunk);
}

bool readUsage(const Json &usage, Chunk &chunk)
{
    if (!usage.is_object())
        return false;
    const Json *tokens = member(usage, "completion_tokens");
    if (tokens == nullptr)
        return true;
    if (!tokens->is_number_unsigned())
        return false;
    chunk.completionTokens = tokens->get<std::uint64_t>();
    return true;
}

/// Reads a completion chunk. Returns false if the value is malformed.
bool readChunk(const Json &value, Chunk &chunk)
{
    const Json *choices = member(value, "choices");
    if (choices == nullptr || !choices->is_array() || !readText(value, "id", chunk.id))
        return false;
    const Json *usage = member(value, "usage");
    if (usage != nullptr && !readUsage(*usage, chunk))
        return false;
    if (choices->empty())
        return true;
    if (!readChoice(choices->front(), chunk))
        return false;
    chunk.hasOtherContent = chunk.hasOtherContent || choices->size() > 1;
    return true;
}

/// Returns whether \p id ends with \p end. Engines that adopt the request's id put a prefix of
/// their own before it.
bool endsWith(const std::string &id, const std::string &end)
{
    return id.size() >= end.size() && id.compare(id.size() - end.size(), end.size(), end) == 0;
}

/// Adds a chunk's tokens to the count. Returns OutOfOrder if the chunk has text but does not
/// increase the count.
StreamFault countTokens(StreamCheck &stream, const Chunk &chunk)
{
    if (chunk.completionTokens)
        stream.reportedTokens = chunk.completionTokens;
    if (chunk.text.empty())
        return StreamFault::None;
    const std::uint64_t after = chunk.completionTokens.value_or(stream.tokens + 1);
    if (after <= stream.tokens)
        return StreamFault::OutOfOrder;
    stream.tokens = after;
    return StreamFault::None;
}

} // namespace

std::string_view streamFaultName(StreamFault fault)
{
    return nameOf(streamFaultNames, fault);
}

CheckedEvent check(StreamCheck &stream, const SseEvent &event)
{
    if (stream.done)
        return faulty(StreamFault::AfterEnd);
    if (event.data == endMark) {
        if (!stream.finished)
            return faulty(StreamFault::Cut);
        stream.done = true;
        CheckedEvent end;
        end.done = true;
        return end;
    }
    const Json value = Json::parse(event.data, nullptr, false);
    if (!value.is_object())
        return faulty(StreamFault::Malformed);
    if (event.name == "error" || member(value, "error") != nullptr)
        return faulty(StreamFault::UpstreamError);
    CheckedEvent result;
    if (!readChunk(value, result.chunk))
        return faulty(StreamFault::Malformed);
    const Chunk &chunk = result.chunk;
    if (stream.expectedId.empty())
        stream.expectedId = chunk.id;
    if (!endsWith(chunk.id, stream.expectedId))
        return faulty(StreamFault::OtherRequest);
    if (stream.finished && (!chunk.text.empty() || chunk.finishes) && !chunk.hasOtherContent)
        return faulty(StreamFault::AfterEnd);
    result.fault = countTokens(stream, chunk);
    stream.finished = stream.finished || chunk.finishes;
    return result;
}

StreamFault faultAtEnd(const StreamCheck &stream)
{
    return stream.done ? StreamFault::None : StreamFault::Cut;
}

std::string rewriteChunk(const std::string &data, const std::string &id,
                         const std::optional<std::string> &text)
{
    Json value = Json::parse(data, nullptr, false);
    if (!value.is_object())
        return data;
    if (!id.empty())
        value["id"] = id;
    if (text && !value["choices"].empty()) {
        Json &choice = value["choices"].front();
        if (choice.contains("delta"))
            choice["delta"]["content"] = *text;
        else
            choice["text"] = *text;
    }
    return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace kumquathaven::answers
