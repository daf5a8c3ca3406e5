// Whole histories of instances, servers and requests: a part or a request that crashes servers is
// held back in time, and no sound one ever is.

#include "common/sanitized.h"
#include "kumquathaven/base/random.h"
#include "kumquathaven/quarantine/evidence.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <optional>
#include <queue>
#include <string>
#include <utility>
#include <vector>

using namespace kumquathaven;
using namespace kumquathaven::quarantine;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string crashingPart = "crashing";

struct Load
{
    std::size_t instances = 8;
    std::size_t servers = 18;
    /// Requests a second, and the share of them that crash their servers.
    double rate = 30;
    double share = 0.05;
    /// Number of crashing requests, each of which comes again and again, with parts that sound ones
    /// have too. Zero: no two are alike, and all have the crashing part.
    std::size_t crashingRequests = 0;
    /// Number of sound requests that come again after each interval.
    std::size_t polledRequests = 0;
    Duration pollInterval = seconds(1);
    /// How often a caller repeats a request that failed.
    std::size_t callerRetries = 1;
    /// Number of documents that requests share, the most popular one also with crashing requests.
    std::size_t documents = 250;
    /// Mean time from a request to its first events.
    double waitSeconds = 0.3;
    std::size_t attempts = 2;
    /// Crashes of servers a second for other reasons, and whole domains that are lost: of three, or
    /// of one, which has all servers.
    double crashRate = 0;
    std::size_t domainsLost = 0;
    std::size_t domains = 3;
    /// All servers, or those of each second domain in turn, go down and up again so often, from the
    /// twentieth second on, whatever they are sent.
    std::size_t flaps = 0;
    Duration flapDown = milliseconds(700);
    Duration flapUp = milliseconds(700);
    bool flapsInTurn = false;
    /// Mean time that polled requests take, instead of the one above.
    double polledSeconds = 0;
    /// Polled requests come only from the first flap on, so that none was answered before.
    bool pollsLate = false;
    Duration length = seconds(40);
};

/// What a history showed.
struct Result
{
    std::size_t crashes = 0;
    /// Requests with one cause that reached servers later than the bound after the fifth crash by a
    /// part, the third by a request: the largest number.
    std::size_t late = 0;
    std::size_t soundRefused = 0;
    /// Sound requests that were refused for good, or refused so late that a trial was due after the
    /// last flap.
    std::size_t soundDenied = 0;
    std::size_t soundHeldLate = 0;
    std::size_t finallyRefused = 0;
    std::size_t trials = 0;
    std::size_t soundSent = 0;
    std::size_t refused = 0;
};

struct Request
{
    std::vector<std::string> subjects;
    /// Number of the cause for which it crashes servers.
    std::optional<std::size_t> cause;
    std::size_t instance = 0;
    std::size_t attempts = 0;
    std::size_t repeats = 0;
    std::uint64_t run = 0;
};

/// A part or a request that crashes servers.
struct Cause
{
    std::size_t crashes = 0;
    /// From then on few requests may reach servers.
    TimePoint boundAt{};
    std::size_t late = 0;
};

struct Server
{
    std::uint64_t start = 0;
    bool isUp = true;
    std::vector<std::size_t> waiting;
};

/// Plays one history. Events are functions in order of time.
class History
{
public:
    History(const Load &load, std::uint64_t seed)
        : m_load(load)
        , m_random(seed)
        , m_instances(load.instances)
        , m_servers(load.servers)
        , m_causes(std::max<std::size_t>(1, load.crashingRequests))
    {
        std::vector<std::string> names;
        for (std::size_t n = 0; n < m_instances.size(); ++n)
            names.push_back("entry-" + std::to_string(n));
        for (std::size_t n = 0; n < m_instances.size(); ++n) {
            m_instances[n].self = names[n];
            m_instances[n].instances = names;
        }
    }

    Result play()
    {
        at(exponential(m_load.rate), [this] {
            arrive();
        });
        if (m_load.crashRate > 0)
            at(exponential(m_load.crashRate), [this] {
                crashForOtherReasons();
            });
        for (std::size_t n = 0; n < m_load.domainsLost; ++n)
            at(fromSeconds(m_random.uniform() * toSeconds(m_load.length)), [this] {
                loseDomain();
            });
        for (std::size_t n = 0; n < m_load.polledRequests; ++n)
            at(uniform(0, 1000) + (m_load.pollsLate ? flapsFrom : Duration(0)), [this, n] {
                poll(n);
            });
        for (std::size_t n = 0; n < m_load.flaps; ++n)
            at(flapsFrom + (m_load.flapDown + m_load.flapUp) * n, [this, n] {
                flap(n);
            });
        m_flapsEnd =
            m_now + flapsFrom + (m_load.flapDown + m_load.flapUp) * m_load.flaps + settleTime;
        const TimePoint end = m_now + m_load.length;
        while (!m_events.empty() && m_events.top().at < end) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.action();
        }
        for (const Cause &it : m_causes)
            m_result.late = std::max(m_result.late, it.late);
        return m_result;
    }

private:
    static constexpr Duration flapsFrom = seconds(20);
    /// The longest time from the end of the flaps to the trial that shows that a request is sound:
    /// the delay after two failed trials, a turn of each instance and an answer.
    static constexpr Duration settleTime = seconds(45);

    struct Event
    {
        TimePoint at{};
        std::uint64_t number = 0;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return std::make_pair(at, number) > std::make_pair(other.at, other.number);
        }
    };

    void at(Duration delay, std::function<void()> action)
    {
        m_events.push({m_now + delay, m_nextEvent++, std::move(action)});
    }

    Duration exponential(double rate)
    {
        return fromSeconds(-std::log(1 - m_random.uniform()) / rate);
    }

    Duration uniform(double fromMs, double toMs)
    {
        return fromSeconds((fromMs + m_random.uniform() * (toMs - fromMs)) / 1000);
    }

    void arrive()
    {
        at(exponential(m_load.rate), [this] {
            arrive();
        });
        Request request;
        if (m_random.uniform() < m_load.share)
            request.cause = m_random.below(m_causes.size());
        request.instance = m_random.below(m_instances.size());
        // Popularity falls with the number of the document.
        const auto document = static_cast<std::size_t>(
            std::pow(static_cast<double>(m_load.documents), m_random.uniform()));
        const std::size_t shared = request.cause ? *request.cause + 1 : document;
        request.subjects = {"system", "d" + std::to_string(shared)};
        if (request.cause && m_load.crashingRequests > 0) {
            request.subjects.push_back("request:crashing" + std::to_string(*request.cause));
        } else {
            if (request.cause)
                request.subjects.push_back(crashingPart);
            request.subjects.push_back("request:" + std::to_string(m_requests.size()));
        }
        m_requests.push_back(request);
        send(m_requests.size() - 1);
    }

    void poll(std::size_t n)
    {
        at(m_load.pollInterval, [this, n] {
            poll(n);
        });
        Request request;
        request.instance = m_random.below(m_instances.size());
        request.subjects = {"request:polled" + std::to_string(n)};
        m_requests.push_back(request);
        send(m_requests.size() - 1);
    }

    /// The caller of a request that failed sends it again, at any instance.
    void repeat(std::size_t n)
    {
        if (m_requests[n].repeats >= m_load.callerRetries)
            return;
        at(uniform(0, 50), [this, n] {
            Request request = m_requests[n];
            ++request.repeats;
            request.attempts = 0;
            request.instance = m_random.below(m_instances.size());
            m_requests.push_back(request);
            send(m_requests.size() - 1);
        });
    }

    Evidence &evidenceOf(std::size_t request)
    {
        Evidence &evidence = m_instances[m_requests[request].instance];
        judge(evidence, m_now);
        broadcastVerdicts(m_requests[request].instance, prove(evidence, m_now));
        return evidence;
    }

    void send(std::size_t n)
    {
        Request &request = m_requests[n];
        const Admission admission = admit(evidenceOf(n), request.subjects, m_now);
        if (admission == Admission::Trial) {
            ++m_result.trials;
            broadcastVerdicts(n);
        } else if (admission != Admission::Allowed) {
            if (admission == Admission::Refused)
                countRefusal(n);
            return;
        }
        std::vector<std::size_t> up;
        for (std::size_t it = 0; it < m_servers.size(); ++it) {
            if (m_servers[it].isUp)
                up.push_back(it);
        }
        if (up.empty())
            return;
        const std::size_t server = up[m_random.below(up.size())];
        ++request.attempts;
        ++request.run;
        m_servers[server].waiting.push_back(n);
        if (request.cause) {
            Cause &cause = m_causes[*request.cause];
            if (cause.boundAt != TimePoint{} && m_now > cause.boundAt)
                ++cause.late;
        } else {
            ++m_result.soundSent;
        }
        const bool isPolled = request.subjects.size() == 1 && m_load.polledSeconds > 0;
        const double wait = isPolled ? m_load.polledSeconds : m_load.waitSeconds;
        at(uniform(200 * wait, 1800 * wait),
           [this, n, server, start = m_servers[server].start, run = request.run] {
               begin(n, server, start, run);
           });
    }

    void countRefusal(std::size_t n)
    {
        const Request &request = m_requests[n];
        const Evidence &evidence = m_instances[request.instance];
        const std::string subject = convictedSubject(evidence, request.subjects, m_now);
        const bool isFinal = evidence.verdicts.at(subject).isProven;
        ++m_result.refused;
        m_result.finallyRefused += isFinal ? 1 : 0;
        if (request.cause)
            return;
        ++m_result.soundRefused;
        m_result.soundDenied += isFinal ? 1 : 0;
        m_result.soundHeldLate += m_load.flaps > 0 && m_now > m_flapsEnd ? 1 : 0;
    }

    /// Tells the other instances of the verdicts about the subjects of a request.
    void broadcastVerdicts(std::size_t n)
    {
        broadcastVerdicts(m_requests[n].instance, m_requests[n].subjects);
    }

    void broadcastVerdicts(std::size_t from, const std::vector<std::string> &subjects)
    {
        for (const std::string &subject : subjects) {
            const auto known = m_instances[from].verdicts.find(subject);
            if (known == m_instances[from].verdicts.end())
                continue;
            Verdict verdict = known->second;
            verdict.trial.reset();
            for (std::size_t other = 0; other < m_instances.size(); ++other) {
                if (other != from)
                    at(uniform(30, 250), [this, other, subject, verdict] {
                        applyVerdict(m_instances[other], subject, verdict);
                    });
            }
        }
    }

    /// Servers go down by themselves.
    void flap(std::size_t n)
    {
        for (std::size_t it = 0; it < m_servers.size(); ++it) {
            if (m_servers[it].isUp && (!m_load.flapsInTurn || it % 2 == n % 2))
                crash(it, m_load.flapDown);
        }
    }

    void begin(std::size_t n, std::size_t server, std::uint64_t start, std::uint64_t run)
    {
        Server &it = m_servers[server];
        if (!it.isUp || it.start != start || m_requests[n].run != run)
            return;
        if (m_requests[n].cause) {
            crash(server);
            Cause &cause = m_causes[*m_requests[n].cause];
            const std::size_t boundCrashes = m_load.crashingRequests > 0 ? 3 : 5;
            if (++cause.crashes == boundCrashes)
                cause.boundAt = m_now + seconds(3);
            return;
        }
        it.waiting.erase(std::find(it.waiting.begin(), it.waiting.end(), n));
        recordLife(evidenceOf(n), "service", std::to_string(server) + "@" + std::to_string(start),
                   m_now);
        const bool wasConvicted =
            !convictedSubject(evidenceOf(n), m_requests[n].subjects, m_now).empty();
        broadcastAnswers(m_requests[n].instance,
                         recordAnswer(evidenceOf(n), m_requests[n].subjects, m_now));
        if (wasConvicted)
            broadcastVerdicts(n);
    }

    void broadcastAnswers(std::size_t from, const std::vector<std::string> &parts)
    {
        for (const std::string &part : parts) {
            const TimePoint seen = *lastAnswerAt(m_instances[from], part);
            for (std::size_t n = 0; n < m_instances.size(); ++n) {
                if (n != from)
                    at(uniform(30, 250), [this, n, part, seen] {
                        recordAnswerElsewhere(m_instances[n], part, seen);
                    });
            }
        }
    }

    void crash(std::size_t server, Duration down = Duration(0))
    {
        Server &it = m_servers[server];
        ++m_result.crashes;
        it.isUp = false;
        const std::string start = std::to_string(server) + "@" + std::to_string(it.start);
        const std::vector<std::size_t> cut = std::exchange(it.waiting, {});
        for (const std::size_t n : cut)
            at(uniform(0, 100), [this, n, start] {
                lose(n, start);
            });
        at(down > Duration(0) ? down : uniform(2900, 3500), [this, server] {
            m_servers[server].isUp = true;
            ++m_servers[server].start;
        });
    }

    /// The instance of a request learns that its server crashed.
    void lose(std::size_t n, const std::string &start)
    {
        Request &request = m_requests[n];
        Evidence &evidence = evidenceOf(n);
        const bool mayRetry = request.attempts < m_load.attempts
            && mayRetryAfterCrash(evidence, request.subjects, m_now);
        const auto reported = suspectsOf(evidence, request.subjects, m_now);
        for (const Suspect &it : reported) {
            if (failTrial(evidence, it.subject, "service", start, m_now))
                broadcastVerdicts(n);
        }
        if (!reported.empty()) {
            for (std::size_t other = 0; other < m_instances.size(); ++other) {
                const Duration delay = other == request.instance ? Duration(0) : uniform(30, 250);
                at(delay, [this, other, start, reported, seen = m_now] {
                    const auto answered = recordCrash(m_instances[other], start, reported, seen);
                    broadcastAnswers(other, answered);
                });
            }
        }
        if (mayRetry)
            send(n);
        else
            repeat(n);
    }

    void crashForOtherReasons()
    {
        at(exponential(m_load.crashRate), [this] {
            crashForOtherReasons();
        });
        const std::size_t server = m_random.below(m_servers.size());
        if (m_servers[server].isUp)
            crash(server);
    }

    void loseDomain()
    {
        for (std::size_t n = 0; n < m_servers.size(); n += m_load.domains) {
            if (m_servers[n].isUp)
                crash(n);
        }
    }

    const Load m_load;
    Random m_random;
    TimePoint m_now{seconds(1'000)};
    std::uint64_t m_nextEvent = 0;
    std::priority_queue<Event> m_events;
    std::vector<Evidence> m_instances;
    std::vector<Server> m_servers;
    std::vector<Request> m_requests;
    std::vector<Cause> m_causes;
    /// From then on no sound request should be held back.
    TimePoint m_flapsEnd{};
    Result m_result;
};

struct Row
{
    std::string name;
    Load load;
};

Load withLoad(const std::function<void(Load &)> &change)
{
    Load load;
    change(load);
    return load;
}

} // namespace

TEST_CASE("a part that crashes servers is held back in time and no sound part is")
{
    const std::vector<Row> rows = {
        {"the usual", Load()},
        {"rarely", withLoad([](Load &it) {
             it.share = 0.01;
             it.length = seconds(90);
         })},
        {"often", withLoad([](Load &it) {
             it.share = 0.3;
         })},
        {"short prompts, many requests", withLoad([](Load &it) {
             it.rate = 200;
             it.share = 0.02;
             it.documents = 1'500;
             it.waitSeconds = 0.05;
         })},
        {"all servers within a moment", withLoad([](Load &it) {
             it.rate = 200;
             it.share = 0.3;
             it.documents = 1'500;
             it.waitSeconds = 0.05;
         })},
        {"many instances", withLoad([](Load &it) {
             it.instances = 60;
             it.servers = 90;
             it.rate = 120;
             it.length = seconds(20);
         })},
        {"few servers", withLoad([](Load &it) {
             it.servers = 4;
         })},
        {"one instance", withLoad([](Load &it) {
             it.instances = 1;
         })},
        {"servers crash for other reasons", withLoad([](Load &it) {
             it.crashRate = 1;
             it.domainsLost = 3;
         })},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        std::size_t crashes = 0;
        for (std::uint64_t seed = 1; seed <= 12; ++seed) {
            CAPTURE(seed);
            const Result result = History(row.load, seed).play();
            CHECK(result.late <= 3);
            CHECK(result.soundRefused == 0);
            CHECK(result.refused > 0);
            crashes += result.crashes;
        }
        MESSAGE(row.name, ": ", static_cast<double>(crashes) / 12, " crashes in a history");
    }
}

// Guards against a request that crashes server after server, and against the refusal of a sound one
// that ran beside it, is polled or is repeated by its caller.
TEST_CASE("a request that crashes servers is held back in time and no sound request is")
{
    const auto row = [](const std::function<void(Load &)> &change) {
        Load load;
        load.crashingRequests = 1;
        load.polledRequests = 10;
        change(load);
        return load;
    };
    const std::vector<Row> rows = {
        {"the usual", row([](Load &) {})},
        {"rarely", row([](Load &it) {
             it.share = 0.01;
             it.length = seconds(90);
         })},
        {"often", row([](Load &it) {
             it.share = 0.3;
         })},
        {"three at once", row([](Load &it) {
             it.crashingRequests = 3;
             it.share = 0.1;
         })},
        {"many requests", row([](Load &it) {
             it.rate = 200;
             it.share = 0.05;
             it.documents = 1'500;
             it.waitSeconds = 0.05;
         })},
        {"all servers within a moment", row([](Load &it) {
             it.rate = 200;
             it.share = 0.3;
             it.documents = 1'500;
             it.waitSeconds = 0.05;
         })},
        {"a plain service of three servers", row([](Load &it) {
             it.servers = 3;
             it.waitSeconds = 0.06;
             it.share = 0.02;
         })},
        {"many instances", row([](Load &it) {
             it.instances = 60;
             it.servers = 90;
             it.rate = 120;
             it.length = seconds(20);
         })},
        {"one instance", row([](Load &it) {
             it.instances = 1;
         })},
        {"callers that repeat often", row([](Load &it) {
             it.callerRetries = 5;
         })},
        {"servers crash for other reasons", row([](Load &it) {
             it.crashRate = 1;
             it.domainsLost = 3;
         })},
    };
    for (const Row &it : rows) {
        CAPTURE(it.name);
        std::size_t crashes = 0;
        for (std::uint64_t seed = 1; seed <= 12; ++seed) {
            CAPTURE(seed);
            const Result result = History(it.load, seed).play();
            CHECK(result.late <= 3);
            CHECK(result.soundRefused == 0);
            CHECK(result.refused > 0);
            crashes += result.crashes;
        }
        MESSAGE(it.name, ": ", static_cast<double>(crashes) / 12, " crashes in a history");
    }
}

TEST_CASE("nothing is held back where servers crash for other reasons alone")
{
    for (std::uint64_t seed = 1; seed <= 25; ++seed) {
        CAPTURE(seed);
        Load load;
        load.share = 0;
        load.crashRate = 0.2 * static_cast<double>(seed % 10);
        load.domainsLost = seed % 4;
        load.servers = 4 + seed;
        load.documents = seed % 2 == 0 ? 250 : 5'000;
        load.rate = seed % 3 == 0 ? 200 : 30;
        load.polledRequests = seed;
        load.pollInterval = milliseconds(seed % 2 == 0 ? 50 : 1'000);
        load.domains = seed % 7 == 0 ? 1 : 3;
        load.callerRetries = seed % 5;
        const Result result = History(load, seed).play();
        CHECK(result.refused == 0);
        CHECK(result.soundSent > 500);
    }
}

// Guards against sound requests that are refused for good since they waited under crashes that come
// whatever servers are sent, and against guilty ones that go on for that reason.
TEST_CASE("crashes that come whatever servers are sent prove nothing, and guilt is still found")
{
    std::size_t row = 0;
    std::size_t guilty = 0;
    std::size_t proven = 0;
    std::size_t held = 0;
    for (const std::size_t servers : {2, 3, 18}) {
        for (const std::size_t flaps : {0, 4, 12}) {
            for (const bool inTurn : {false, true}) {
                for (const std::size_t polled : {1, 12}) {
                    for (const double polledSeconds : {0.05, 1.0}) {
                        for (const double share : {0.0, 0.05}) {
                            for (const bool late : {false, true}) {
                                // Under a sanitizer every seventh row is played.
                                if (testing::isSanitized && row++ % 7 != 0)
                                    continue;
                                Load load;
                                load.servers = servers;
                                load.flaps = flaps;
                                load.flapsInTurn = inTurn;
                                load.polledRequests = polled;
                                load.polledSeconds = polledSeconds;
                                load.pollInterval = milliseconds(300);
                                load.pollsLate = late;
                                load.share = share;
                                load.crashingRequests = 1;
                                load.rate = share > 0 ? 30 : 0.5;
                                load.callerRetries = 0;
                                load.length = seconds(120);
                                CAPTURE(servers);
                                CAPTURE(flaps);
                                CAPTURE(inTurn);
                                CAPTURE(polled);
                                CAPTURE(polledSeconds);
                                CAPTURE(share);
                                CAPTURE(late);
                                const Result result = History(load, servers + flaps).play();
                                CHECK(result.soundDenied == 0);
                                CHECK(result.soundHeldLate == 0);
                                CHECK(result.late <= 4);
                                held += result.soundRefused;
                                guilty += share > 0 ? 1 : 0;
                                proven += share > 0 && result.finallyRefused > 0 ? 1 : 0;
                                if (share > 0)
                                    CHECK(result.refused > 0);
                                if (share > 0 && flaps == 0 && servers > 2)
                                    CHECK(result.finallyRefused > 0);
                            }
                        }
                    }
                }
            }
        }
    }
    MESSAGE(proven, " of ", guilty, " guilty requests proven; sound ones held back ", held,
            " times");
}
