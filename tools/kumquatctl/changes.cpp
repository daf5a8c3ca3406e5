#include "changes.h"

#include "entryfile.h"

#include "kumquathaven/catalogue/names.h"

#include <Poco/DigestEngine.h>
#include <Poco/SHA2Engine.h>

#include <cstdio>
#include <random>

namespace kumquathaven::ctl {

namespace {

using nlohmann::json;

constexpr int changeIdWords = 4;
constexpr int keyWords = 8;
constexpr const char *keyPrefix = "kh-";

/// Returns words of 32 random bits from the system's generator in hexadecimal.
std::string randomHex(int words)
{
    std::random_device device;
    std::string text;
    for (int n = 0; n < words; ++n) {
        char word[9];
        std::snprintf(word, sizeof(word), "%08x", device());
        text += word;
    }
    return text;
}

std::string sha256Of(const std::string &text)
{
    Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
    engine.update(text);
    return Poco::DigestEngine::digestToHex(engine.digest());
}

Result<std::string> kindList(const std::string &kind)
{
    if (valueOf(catalogue::entryKindNames, kind))
        return kind + "s";
    return fail(usage("\"" + kind
                      + "\" is no kind of entry; there are customer, key, upstream "
                        "and route"));
}

} // namespace

Error usage(const std::string &message)
{
    return {ErrorCode::InvalidRequest, "usage", {}, message, Outcome::NotRun, {}};
}

Result<json> bodyOf(const ControlReply &reply)
{
    constexpr int firstErrorStatus = 300;
    if (reply.status < firstErrorStatus)
        return reply.body;
    Error error{ErrorCode::Internal, "control", {}, reply.body.dump(), Outcome::NotRun, {}};
    const json &source =
        reply.body.is_object() && reply.body.contains("error") ? reply.body["error"] : reply.body;
    if (source.is_object()) {
        error.message = source.value("message", error.message);
        const std::string code = source.value("code", std::string());
        for (int n = 0; n <= static_cast<int>(ErrorCode::Internal); ++n) {
            if (errorCodeName(static_cast<ErrorCode>(n)) == code)
                error.code = static_cast<ErrorCode>(n);
        }
    }
    return fail(error);
}

Result<json> sendChange(const Arguments &arguments, json change)
{
    const std::string changeId =
        arguments.changeId.empty() ? randomHex(changeIdWords) : arguments.changeId;
    change["changeId"] = changeId;
    if (arguments.expectedRevision)
        change["expectedRevision"] = *arguments.expectedRevision;
    ControlClient client(arguments.control, arguments.timeout);
    std::optional<Error> problem;
    json answer = orElse(
        [&]() -> Result<json> {
            BOOST_LEAF_AUTO(reply, client.callLeader("POST", "/v1/changes", change));
            return bodyOf(reply);
        },
        [&](const Error &error) {
            problem = error;
            return json();
        });
    if (!problem)
        return answer;
    if (problem->outcome == Outcome::Unknown)
        problem->message += "; whether the change was accepted is not known: run the command again "
                            "with --change-id "
            + changeId;
    return fail(*problem);
}

void printAnswer(const Arguments &arguments, const json &answer, const std::string &text)
{
    if (arguments.asJson)
        std::printf("%s\n", answer.dump().c_str());
    else
        std::printf("%s (revision %s)\n", text.c_str(), answer["revision"].dump().c_str());
}

Result<void> apply(const Arguments &arguments)
{
    if (arguments.words.size() != 2)
        return fail(usage("apply needs one file"));
    BOOST_LEAF_AUTO(entries, readEntryFile(arguments.words[1]));
    if (entries.is_object())
        entries.erase("revision");
    BOOST_LEAF_AUTO(
        answer,
        sendChange(arguments,
                   {{"kind", "put"}, {"entries", entries}, {"replace", arguments.replace}}));
    printAnswer(arguments, answer, "applied");
    return {};
}

Result<void> put(const Arguments &arguments)
{
    if (arguments.words.size() != 3)
        return fail(usage("put needs a kind and a file"));
    BOOST_LEAF_AUTO(list, kindList(arguments.words[1]));
    BOOST_LEAF_AUTO(entry, readEntryFile(arguments.words[2]));
    json entries;
    entries[list] = json::array({entry});
    BOOST_LEAF_AUTO(answer, sendChange(arguments, {{"kind", "put"}, {"entries", entries}}));
    printAnswer(arguments, answer, "put");
    return {};
}

Result<void> remove(const Arguments &arguments)
{
    if (arguments.words.size() != 3)
        return fail(usage("remove needs a kind and a name"));
    BOOST_LEAF_CHECK(kindList(arguments.words[1]));
    BOOST_LEAF_AUTO(
        answer,
        sendChange(
            arguments,
            {{"kind", "remove"}, {"entryKind", arguments.words[1]}, {"name", arguments.words[2]}}));
    printAnswer(arguments, answer, "removed " + arguments.words[1] + " " + arguments.words[2]);
    return {};
}

Result<void> grantKey(const Arguments &arguments)
{
    if (arguments.words.size() != 3 || arguments.customer.empty())
        return fail(usage("key grant needs a name and --customer"));
    const std::string secret = keyPrefix + randomHex(keyWords);
    json key{{"name", arguments.words[2]},
             {"owner", arguments.owner.empty() ? arguments.customer : arguments.owner},
             {"customer", arguments.customer},
             {"sha256", sha256Of(secret)}};
    if (!arguments.serviceClass.empty())
        key["class"] = arguments.serviceClass;
    BOOST_LEAF_AUTO(answer, sendChange(arguments, {{"kind", "grantKey"}, {"key", key}}));
    if (arguments.asJson) {
        answer["name"] = arguments.words[2];
        answer["key"] = secret;
        std::printf("%s\n", answer.dump().c_str());
    } else {
        std::printf("%s\n", secret.c_str());
        std::fprintf(stderr, "granted key %s (revision %s); it is shown this once\n",
                     arguments.words[2].c_str(), answer["revision"].dump().c_str());
    }
    return {};
}

Result<void> withdrawKey(const Arguments &arguments)
{
    if (arguments.words.size() != 3)
        return fail(usage("key withdraw needs a name"));
    BOOST_LEAF_AUTO(answer,
                    sendChange(arguments,
                               {{"kind", "withdrawKey"},
                                {"name", arguments.words[2]},
                                {"cutsStreams", arguments.cutsStreams}}));
    printAnswer(arguments, answer, "withdrew key " + arguments.words[2]);
    return {};
}

Result<void> drain(const Arguments &arguments)
{
    if (arguments.words.size() != 2)
        return fail(usage("drain needs the name of an entry instance"));
    BOOST_LEAF_AUTO(
        answer,
        sendChange(
            arguments,
            {{"kind", "drain"}, {"name", arguments.words[1]}, {"drained", !arguments.undo}}));
    printAnswer(arguments, answer,
                (arguments.undo ? "takes callers again: " : "drained: ") + arguments.words[1]);
    return {};
}

} // namespace kumquathaven::ctl
