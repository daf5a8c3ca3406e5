// The operators' command line.

#include "commands.h"
#include "explain.h"

#include <popt.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string>

using namespace kumquathaven;

namespace {

// Exit codes, which scripts may rely on.
constexpr int exitDone = 0;
constexpr int exitRefused = 1;
constexpr int exitUsage = 2;
constexpr int exitConflict = 3;
constexpr int exitUnavailable = 4;
constexpr int exitUnknown = 5;

constexpr const char *controlVariable = "KUMQUATHAVEN_CONTROL";
constexpr const char *defaultControl = "127.0.0.1:7300";

constexpr const char *helpText = R"(usage: kumquatctl [OPTION...] COMMAND

Commands:
  apply FILE                 put all entries of a catalogue file (YAML or JSON), or none
  get [KIND [NAME]]          show the catalogue, the entries of a kind, or one entry
  put KIND FILE              put one entry; FILE - is standard input
  remove KIND NAME           remove one entry
  key grant NAME             grant a key; prints it, this once
  key withdraw NAME          withdraw a key for good
  status [WHAT]              members, instances, upstreams, customers, or all
  orders                     what engines are ordered to serve, and how far they are
  rollout start SERVICE      move the traffic of a route to servers with the release of --release,
                             step by step, and back if it is bad or not done within --limit
  rollout status [SERVICE]   the last rollout of each route, or of one
  rollout abort SERVICE      move the traffic back to the former release
  drain INSTANCE             send callers away from an entry instance
  quarantine ENTRY           requests and parts of prompts that an entry refuses since they crash
                             servers; ENTRY is the operators' address of any entry
  quarantine ENTRY lift SUBJECT
                             let a request, or those with a part, run again on all entries
  members status             the control members and what the leader knows of them
  members add INSTANCE       admit a new control member
  members remove INSTANCE    remove a control member
  members replace INSTANCE   admit a member that came back with an empty data folder
  explain ID FILE...         tell one request's story from log files of several processes
KIND is customer, key, upstream or route.

Options:
  -c, --control LIST         operators' addresses of the control members, host:port with commas
                             between (default: $KUMQUATHAVEN_CONTROL, or 127.0.0.1:7300)
  -o, --output FORMAT        text or json
  -t, --timeout SECONDS      how long to try (default 10)
  -e, --expect REVISION      refuse the change if the catalogue has another revision
      --change-id ID         send a change again whose answer was lost: it counts once
      --replace              apply: remove customers, upstreams and routes not in the file
      --customer NAME        key grant: whose key it is
      --owner TEAM           key grant: who answers for it (default: the customer)
      --class CLASS          key grant: quick, standard or patient
      --cut-streams          key withdraw: end streams that were admitted before
      --release RELEASE      rollout start: the release to move to
      --limit TIME           rollout start: its time limit with a unit: 90s, 10m, 2h
      --undo                 drain: let callers come back
  -h, --help                 show this text

Exit codes:
  0  done
  1  refused: the entry is invalid or does not exist
  2  the command line is wrong
  3  conflict: another revision, or a name that is taken
  4  control cannot be reached or has no leader; nothing was changed
  5  no answer: whether it was done is not known; the message says how to ask again

Examples:
  export KUMQUATHAVEN_CONTROL=10.0.0.1:7300,10.0.0.2:7300,10.0.0.3:7300
  kumquatctl apply catalogue.yaml
  kumquatctl --customer rounds key grant rounds-tablets
  kumquatctl --cut-streams key withdraw rounds-tablets
  echo '{name: rounds, owner: rounds-team, weight: 2}' | kumquatctl put customer -
  kumquatctl --output json get route | jq .
  kumquatctl --expect 41 remove upstream engine-7
  kumquatctl --release v2 --limit 10m rollout start chat
  kumquatctl status members
  kumquatctl quarantine 10.0.1.1:7400 lift 5c1e07a2
  kumquatctl explain 9c41d07be2a35f68 entry-*.log control-*.log
)";

int exitCodeOf(const Error &error)
{
    if (error.step == "usage")
        return exitUsage;
    if (error.outcome == Outcome::Unknown)
        return exitUnknown;
    switch (error.code) {
    case ErrorCode::Conflict:
        return exitConflict;
    case ErrorCode::Unavailable:
    case ErrorCode::NotLeader:
    case ErrorCode::NoUpstream:
    case ErrorCode::Timeout:
    case ErrorCode::Overloaded:
        return exitUnavailable;
    default:
        return exitRefused;
    }
}

std::vector<settings::Address> parseMembers(const std::string &list)
{
    std::vector<settings::Address> members;
    std::size_t begin = 0;
    while (begin <= list.size()) {
        const std::size_t end = std::min(list.find(',', begin), list.size());
        const settings::Address address = settings::parseAddress(list.substr(begin, end - begin));
        if (address.port == 0)
            return {};
        members.push_back(address);
        begin = end + 1;
    }
    return members;
}

/// Texts that popt allocates.
struct Options
{
    char *control = nullptr;
    char *output = nullptr;
    double timeout = 10;
    long long expected = -1;
    char *changeId = nullptr;
    int replace = 0;
    char *customer = nullptr;
    char *owner = nullptr;
    char *serviceClass = nullptr;
    char *release = nullptr;
    char *limit = nullptr;
    int cutsStreams = 0;
    int undo = 0;
    int help = 0;
};

std::string take(char *text)
{
    std::string copy(text ? text : "");
    std::free(text);
    return copy;
}

int wrongUsage(const std::string &message)
{
    std::fprintf(stderr, "kumquatctl: %s\nTry kumquatctl --help\n", message.c_str());
    return exitUsage;
}

int runCommand(Options &options, std::vector<std::string> words)
{
    ctl::Arguments arguments;
    const char *variable = std::getenv(controlVariable);
    std::string control = take(options.control);
    if (control.empty())
        control = variable ? variable : defaultControl;
    const std::string output = take(options.output);
    arguments.control = parseMembers(control);
    arguments.asJson = output == "json";
    arguments.timeout = fromSeconds(options.timeout);
    if (options.expected >= 0)
        arguments.expectedRevision = static_cast<std::uint64_t>(options.expected);
    arguments.changeId = take(options.changeId);
    arguments.replace = options.replace != 0;
    arguments.cutsStreams = options.cutsStreams != 0;
    arguments.undo = options.undo != 0;
    arguments.customer = take(options.customer);
    arguments.owner = take(options.owner);
    arguments.serviceClass = take(options.serviceClass);
    arguments.release = take(options.release);
    arguments.limit = take(options.limit);
    arguments.words = std::move(words);
    if (arguments.control.empty())
        return wrongUsage("--control must be host:port with commas between, not \"" + control
                          + "\"");
    if (!output.empty() && output != "json" && output != "text")
        return wrongUsage("--output must be text or json");
    const bool explains = !arguments.words.empty() && arguments.words.front() == "explain";
    return orElse(
        [&]() -> Result<int> {
            // The only command that asks no control member.
            BOOST_LEAF_CHECK(explains ? ctl::runExplain(arguments.words, arguments.asJson)
                                      : ctl::run(arguments));
            return exitDone;
        },
        [&](const Error &error) {
            if (error.step == "usage")
                return wrongUsage(error.message);
            std::fprintf(stderr, "kumquatctl: %s\n", describe(error).c_str());
            return exitCodeOf(error);
        });
}

} // namespace

int main(int argc, const char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    Options options;
    const poptOption table[] = {
        {"control", 'c', POPT_ARG_STRING, &options.control, 0, nullptr, nullptr},
        {"output", 'o', POPT_ARG_STRING, &options.output, 0, nullptr, nullptr},
        {"timeout", 't', POPT_ARG_DOUBLE, &options.timeout, 0, nullptr, nullptr},
        {"expect", 'e', POPT_ARG_LONGLONG, &options.expected, 0, nullptr, nullptr},
        {"change-id", 0, POPT_ARG_STRING, &options.changeId, 0, nullptr, nullptr},
        {"replace", 0, POPT_ARG_NONE, &options.replace, 0, nullptr, nullptr},
        {"customer", 0, POPT_ARG_STRING, &options.customer, 0, nullptr, nullptr},
        {"owner", 0, POPT_ARG_STRING, &options.owner, 0, nullptr, nullptr},
        {"class", 0, POPT_ARG_STRING, &options.serviceClass, 0, nullptr, nullptr},
        {"release", 0, POPT_ARG_STRING, &options.release, 0, nullptr, nullptr},
        {"limit", 0, POPT_ARG_STRING, &options.limit, 0, nullptr, nullptr},
        {"cut-streams", 0, POPT_ARG_NONE, &options.cutsStreams, 0, nullptr, nullptr},
        {"undo", 0, POPT_ARG_NONE, &options.undo, 0, nullptr, nullptr},
        {"help", 'h', POPT_ARG_NONE, &options.help, 0, nullptr, nullptr},
        POPT_TABLEEND};
    poptContext context = poptGetContext("kumquatctl", argc, argv, table, 0);
    const int rc = poptGetNextOpt(context);
    std::string problem;
    if (rc < -1)
        problem =
            std::string(poptBadOption(context, POPT_BADOPTION_NOALIAS)) + ": " + poptStrerror(rc);
    std::vector<std::string> words;
    while (const char *word = poptGetArg(context))
        words.emplace_back(word);
    poptFreeContext(context);
    if (options.help != 0) {
        std::printf("%s", helpText);
        return exitDone;
    }
    if (!problem.empty())
        return wrongUsage(problem);
    return runCommand(options, std::move(words));
}
