#include "kumquathaven/feed/messages.h"

#include "kumquathaven/base/enumnames.h"
#include "kumquathaven/catalogue/json.h"
#include "kumquathaven/wire/cbor.h"

#include <nlohmann/json.hpp>

namespace kumquathaven::feed {

namespace {

using nlohmann::json;

/// The alternatives of Message, in the same order.
enum class Kind {
    Subscribe,
    ProofRequest,
    Announce,
    Leave,
    StateAt,
    ChangeAt,
    Proof,
    Unsubscribe,
    Redirect,
    RolloutReport,
    DeclarationPatchAt,
    WeightsAges
};

constexpr std::array<EnumName<Kind>, 12> kindNames{{
    {Kind::Subscribe, "subscribe"},
    {Kind::ProofRequest, "ask"},
    {Kind::Announce, "announce"},
    {Kind::Leave, "leave"},
    {Kind::StateAt, "state"},
    {Kind::ChangeAt, "change"},
    {Kind::Proof, "proof"},
    {Kind::Unsubscribe, "unsubscribe"},
    {Kind::Redirect, "redirect"},
    {Kind::RolloutReport, "rollout"},
    {Kind::DeclarationPatchAt, "patch"},
    {Kind::WeightsAges, "weightsAges"},
}};

// The bits of the options of a subscription.
constexpr unsigned noRedirectBit = 1;
constexpr unsigned readsPatchesBit = 2;

constexpr Duration maxAge = std::chrono::minutes(10);
constexpr std::size_t maxNameBytes = 128;
/// Maximum number of heartbeats in one request.
constexpr std::size_t maxHeartbeats = 4096;
/// Maximum number of weights versions in one message, and of the bytes of their models' names.
constexpr std::size_t maxWeightsAges = 4096;
constexpr std::size_t maxWeightsBytes = std::size_t{64} * 1024;
constexpr std::size_t maxModelBytes = 4096;
/// Maximum number of relays in one redirect.
constexpr std::size_t maxRelays = 16;
/// Names of services and routes on a platform are longer than names of instances.
constexpr std::size_t maxServiceBytes = 256;
/// Maximum number of instances in a report.
constexpr std::uint64_t maxInstances = 10'000;
/// Maximum of one count in a report, so that sums of counts stay in range.
constexpr std::uint64_t maxCount = std::uint64_t{1} << 50U;

json toJson(const release::Counts &counts)
{
    return json::array({counts.sent, counts.failed, counts.delays, counts.cut});
}

/// Returns bytes that may begin or end inside a character.
json toBinary(const std::string &bytes)
{
    return json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

/// Encodes the body of a message. Each body is an array, which is compact: a proof is sent twice a
/// second to every entry instance.
struct BodyWriter
{
    json operator()(const Subscribe &it) const
    {
        return json::array(
            {it.position,
             (it.noRedirect ? noRedirectBit : 0U) | (it.readsPatches ? readsPatchesBit : 0U)});
    }
    json operator()(const ProofRequest &it) const
    {
        json heartbeats = json::array();
        for (const Heartbeat &each : it.heartbeats)
            heartbeats.push_back(json::array({each.instance, each.incarnation, each.age.count()}));
        return json::array({it.number, it.instance, it.incarnation, std::move(heartbeats)});
    }
    json operator()(const Announce &it) const
    {
        return json::array({catalogue::toJson(it.instance), it.replaces});
    }
    json operator()(const Leave &it) const { return json::array({it.instance, it.incarnation}); }
    json operator()(const StateAt &it) const
    {
        return json::array({it.position, catalogue::toJson(it.catalogue),
                            catalogue::toJson(it.instances), it.drained, it.epochAge.count()});
    }
    json operator()(const ChangeAt &it) const
    {
        return json::array({it.position, catalogue::toJson(it.change), it.revision, it.epoch});
    }
    json operator()(const DeclarationPatchAt &it) const
    {
        json pieces = json::array();
        for (const catalogue::TextPiece &each : it.patch.pieces)
            pieces.push_back(json::array({each.offset, each.length, toBinary(each.inserted)}));
        return json::array(
            {it.position, it.revision, it.epoch, it.version, it.textHash, std::move(pieces)});
    }
    json operator()(const Proof &it) const
    {
        return json::array({it.number, it.position, it.age.count()});
    }
    json operator()(const WeightsAges &it) const
    {
        json ages = json::array();
        std::size_t bytes = 0;
        for (const catalogue::WeightsAge &each : it.ages) {
            bytes += each.model.size();
            if (ages.size() == maxWeightsAges || bytes > maxWeightsBytes)
                break;
            json age = json::array({each.model, each.version});
            if (each.age)
                age.push_back(each.age->count());
            ages.push_back(std::move(age));
        }
        return json::array({std::move(ages)});
    }
    json operator()(const Unsubscribe &) const { return json::array(); }
    json operator()(const Redirect &it) const
    {
        json relays = json::array();
        for (const RelayAddress &each : it.relays)
            relays.push_back(json::array({each.name, each.link}));
        return json::array({std::move(relays)});
    }
    json operator()(const RolloutReport &it) const
    {
        json routes = json::array();
        for (const auto &[name, counts] : it.evidence.routes)
            routes.push_back(json::array({name, toJson(counts.present), toJson(counts.next)}));
        json groups = json::array();
        for (const release::GroupCounts &group : it.evidence.groups)
            groups.push_back(json::array({group.answered, group.failed}));
        return json::array({it.service, it.number, std::move(routes), it.evidence.runningAtPresent,
                            it.evidence.instances, it.evidence.instancesServing,
                            std::move(groups)});
    }
};

/// Reads the elements of a body in order, and records whether all of them had the expected type.
class Elements
{
public:
    explicit Elements(const json &body)
        : m_body(body)
        , m_isValid(body.is_array())
    { }

    std::uint64_t number()
    {
        const json *it = next();
        m_isValid = m_isValid && it && it->is_number_unsigned();
        return m_isValid ? it->get<std::uint64_t>() : 0;
    }

    std::string name(std::size_t maxBytes = maxNameBytes)
    {
        const json *it = next();
        m_isValid = m_isValid && it && it->is_string()
            && it->get_ref<const std::string &>().size() <= maxBytes;
        return m_isValid ? it->get<std::string>() : std::string();
    }

    Duration age()
    {
        const std::uint64_t n = number();
        return std::min(maxAge, Duration(std::min<std::uint64_t>(n, maxAge.count())));
    }

    std::set<std::string> names()
    {
        std::set<std::string> names;
        const json *it = next();
        m_isValid = m_isValid && it && it->is_array();
        if (!m_isValid)
            return names;
        for (const json &each : *it) {
            m_isValid = m_isValid && each.is_string();
            if (m_isValid)
                names.insert(each.get<std::string>());
        }
        return names;
    }

    std::vector<Heartbeat> heartbeats()
    {
        std::vector<Heartbeat> heartbeats;
        const json *it = next();
        m_isValid = m_isValid && it && it->is_array() && it->size() <= maxHeartbeats;
        if (!m_isValid)
            return heartbeats;
        for (const json &each : *it) {
            Elements elements(each);
            Heartbeat heartbeat;
            heartbeat.instance = elements.name();
            heartbeat.incarnation = elements.number();
            heartbeat.age = elements.age();
            m_isValid = m_isValid && elements.isComplete();
            heartbeats.push_back(std::move(heartbeat));
        }
        return heartbeats;
    }

    std::vector<catalogue::WeightsAge> weightsAges()
    {
        std::vector<catalogue::WeightsAge> ages;
        const json *it = next();
        m_isValid = m_isValid && it && it->is_array() && it->size() <= maxWeightsAges;
        if (!m_isValid)
            return ages;
        for (const json &each : *it) {
            Elements elements(each);
            catalogue::WeightsAge age;
            age.model = elements.name(maxModelBytes);
            age.version = elements.number();
            // The age is left out if it is not known.
            if (each.is_array() && each.size() > 2)
                age.age = elements.age();
            m_isValid = m_isValid && elements.isComplete();
            ages.push_back(std::move(age));
        }
        return ages;
    }

    std::vector<RelayAddress> relays()
    {
        std::vector<RelayAddress> relays;
        const json *it = next();
        m_isValid = m_isValid && it && it->is_array() && it->size() <= maxRelays;
        if (!m_isValid)
            return relays;
        for (const json &each : *it) {
            Elements elements(each);
            RelayAddress relay;
            relay.name = elements.name();
            relay.link = elements.name();
            m_isValid = m_isValid && elements.isComplete();
            relays.push_back(std::move(relay));
        }
        return relays;
    }

    /// Reads a count, clamped to maxCount.
    std::int64_t count() { return static_cast<std::int64_t>(std::min(maxCount, number())); }

    release::Counts counts()
    {
        release::Counts counts;
        const json *it = next();
        m_isValid = m_isValid && it && it->is_array();
        if (!m_isValid)
            return counts;
        Elements elements(*it);
        counts.sent = elements.count();
        counts.failed = elements.count();
        Elements buckets(elements.value());
        for (std::int64_t &bucket : counts.delays)
            bucket = buckets.count();
        counts.cut = elements.count();
        elements.skipRest();
        m_isValid = m_isValid && buckets.isComplete() && elements.isComplete();
        return counts;
    }

    std::array<release::GroupCounts, release::serverGroupCount> groups()
    {
        std::array<release::GroupCounts, release::serverGroupCount> groups;
        Elements list(value());
        for (release::GroupCounts &group : groups) {
            Elements elements(list.value());
            group.answered = elements.count();
            group.failed = elements.count();
            elements.skipRest();
            m_isValid = m_isValid && elements.isComplete();
        }
        m_isValid = m_isValid && list.isComplete();
        return groups;
    }

    std::map<std::string, release::RouteCounts> routes()
    {
        std::map<std::string, release::RouteCounts> routes;
        const json *it = next();
        m_isValid = m_isValid && it && it->is_array() && it->size() <= maxReportedRoutes;
        if (!m_isValid)
            return routes;
        for (const json &each : *it) {
            Elements elements(each);
            const std::string name = elements.name(maxServiceBytes);
            release::RouteCounts &route = routes[name];
            route.present = elements.counts();
            route.next = elements.counts();
            m_isValid = m_isValid && elements.isComplete();
        }
        m_isValid = m_isValid && routes.size() == it->size();
        return routes;
    }

    std::string bytes()
    {
        const json *it = next();
        m_isValid = m_isValid && it && it->is_binary();
        if (!m_isValid)
            return {};
        const auto &binary = it->get_binary();
        return {binary.begin(), binary.end()};
    }

    catalogue::TextPatch patch()
    {
        catalogue::TextPatch patch;
        const json *it = next();
        m_isValid = m_isValid && it && it->is_array();
        if (!m_isValid)
            return patch;
        for (const json &each : *it) {
            Elements elements(each);
            catalogue::TextPiece piece;
            piece.offset = elements.number();
            piece.length = elements.number();
            piece.inserted = elements.bytes();
            m_isValid = m_isValid && elements.isComplete();
            patch.pieces.push_back(std::move(piece));
        }
        return patch;
    }

    /// Skips the elements that a later version may add.
    void skipRest() { m_index = std::max(m_index, m_body.size()); }

    const json &value()
    {
        static const json none;
        const json *it = next();
        return it ? *it : none;
    }

    bool isComplete() const { return m_isValid && m_index == m_body.size(); }

private:
    const json *next()
    {
        if (!m_isValid || m_index >= m_body.size())
            return nullptr;
        return &m_body[m_index++];
    }

    const json &m_body;
    bool m_isValid;
    std::size_t m_index = 0;
};

Result<Message> readBody(Kind kind, Elements &elements)
{
    switch (kind) {
    case Kind::Subscribe: {
        Subscribe it;
        it.position = elements.number();
        const std::uint64_t options = elements.number();
        it.noRedirect = (options & noRedirectBit) != 0;
        it.readsPatches = (options & readsPatchesBit) != 0;
        return Message(it);
    }
    case Kind::ProofRequest: {
        ProofRequest it;
        it.number = elements.number();
        it.instance = elements.name();
        it.incarnation = elements.number();
        it.heartbeats = elements.heartbeats();
        return Message(std::move(it));
    }
    case Kind::Announce: {
        BOOST_LEAF_AUTO(instance, catalogue::instanceFromJson(elements.value()));
        return Message(Announce{instance, elements.number()});
    }
    case Kind::Leave: {
        Leave it;
        it.instance = elements.name();
        it.incarnation = elements.number();
        return Message(it);
    }
    case Kind::StateAt: {
        StateAt it;
        it.position = elements.number();
        BOOST_LEAF_ASSIGN(it.catalogue, catalogue::catalogueFromJson(elements.value()));
        BOOST_LEAF_ASSIGN(it.instances, catalogue::instancesFromJson(elements.value()));
        it.drained = elements.names();
        it.epochAge = elements.age();
        return Message(std::move(it));
    }
    case Kind::ChangeAt: {
        ChangeAt it;
        it.position = elements.number();
        BOOST_LEAF_ASSIGN(it.change, catalogue::changeFromJson(elements.value()));
        it.revision = elements.number();
        it.epoch = elements.number();
        return Message(std::move(it));
    }
    case Kind::DeclarationPatchAt: {
        DeclarationPatchAt it;
        it.position = elements.number();
        it.revision = elements.number();
        it.epoch = elements.number();
        it.version = elements.number();
        it.textHash = elements.number();
        it.patch = elements.patch();
        elements.skipRest();
        return Message(std::move(it));
    }
    case Kind::Proof: {
        Proof it;
        it.number = elements.number();
        it.position = elements.number();
        it.age = elements.age();
        return Message(it);
    }
    case Kind::WeightsAges: {
        WeightsAges it{elements.weightsAges()};
        elements.skipRest();
        return Message(std::move(it));
    }
    case Kind::Unsubscribe:
        return Message(Unsubscribe{});
    case Kind::Redirect:
        return Message(Redirect{elements.relays()});
    case Kind::RolloutReport: {
        RolloutReport it;
        it.service = elements.name(maxServiceBytes);
        it.number = elements.number();
        it.evidence.routes = elements.routes();
        it.evidence.runningAtPresent = elements.count();
        it.evidence.instances =
            static_cast<std::uint32_t>(std::min<std::uint64_t>(elements.number(), maxInstances));
        it.evidence.instancesServing =
            static_cast<std::uint32_t>(std::min<std::uint64_t>(elements.number(), maxInstances));
        it.evidence.groups = elements.groups();
        elements.skipRest();
        return Message(std::move(it));
    }
    }
    return Message();
}

} // namespace

wire::Frame toFrame(const Message &message)
{
    const auto kind = static_cast<Kind>(message.index());
    return {wire::Channel::Feed, std::string(nameOf(kindNames, kind)),
            wire::toCbor(std::visit(BodyWriter(), message))};
}

Result<Message> fromFrame(const wire::Frame &frame, const std::string &peer)
{
    const auto malformed = [&] {
        return fail({ErrorCode::InvalidRequest,
                     "feed.read",
                     peer,
                     "malformed message of kind \"" + frame.kind + "\"",
                     Outcome::NotRun,
                     {}});
    };
    const auto kind = valueOf(kindNames, frame.kind);
    if (!kind)
        return malformed();
    BOOST_LEAF_AUTO(body, wire::fromCbor(frame.body, "feed.read", peer));
    Elements elements(body);
    BOOST_LEAF_AUTO(message, readBody(*kind, elements));
    if (!elements.isComplete())
        return malformed();
    return Result<Message>(std::move(message));
}

} // namespace kumquathaven::feed
