#include "kumquathaven/catalogue/state.h"

#include "rollouts.h"

#include "kumquathaven/base/hash.h"
#include "kumquathaven/catalogue/json.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace kumquathaven::catalogue {

namespace {

Error refusal(ErrorCode code, const std::string &message)
{
    return {code, "catalogue.apply", {}, message, Outcome::NotRun, {}};
}

std::string quoted(const std::string &name)
{
    return "\"" + name + "\"";
}

template <typename Entry>
void putAll(std::map<std::string, Entry> &into, const std::map<std::string, Entry> &from,
            bool replace)
{
    if (replace)
        into.clear();
    for (const auto &it : from)
        into[it.first] = it.second;
}

/// Applies the body of a change to a state. Each operator checks the change before it modifies the
/// state, or modifies a copy of the catalogue that accept() then checks and installs, so that a
/// refused change leaves the state unchanged.
class Applier
{
public:
    explicit Applier(State &state)
        : m_state(state)
    { }

    Result<void> operator()(const PutEntries &body)
    {
        Catalogue next = m_state.catalogue;
        for (const auto &it : body.entries.keys)
            BOOST_LEAF_CHECK(checkNotReinstated(it.second));
        putAll(next.customers, body.entries.customers, body.replace);
        putAll(next.keys, body.entries.keys, false);
        putAll(next.upstreams, body.entries.upstreams, body.replace);
        putAll(next.routes, body.entries.routes, body.replace);
        return accept(std::move(next));
    }

    Result<void> operator()(const RemoveEntry &body)
    {
        Catalogue next = m_state.catalogue;
        if (erase(next, body) == 0)
            return fail(refusal(ErrorCode::NotFound,
                                std::string(nameOf(entryKindNames, body.kind)) + " "
                                    + quoted(body.name) + " does not exist"));
        return accept(std::move(next));
    }

    Result<void> operator()(const GrantKey &body)
    {
        Catalogue next = m_state.catalogue;
        if (!next.keys.emplace(body.key.head.name, body.key).second)
            return fail(refusal(ErrorCode::Conflict,
                                "key " + quoted(body.key.head.name)
                                    + " already exists; grant one under another name"));
        return accept(std::move(next));
    }

    Result<void> operator()(const WithdrawKey &body)
    {
        Catalogue next = m_state.catalogue;
        const auto it = next.keys.find(body.name);
        if (it == next.keys.end())
            return fail(
                refusal(ErrorCode::NotFound, "key " + quoted(body.name) + " does not exist"));
        it->second.withdrawn = true;
        it->second.cutsStreams = it->second.cutsStreams || body.cutsStreams;
        return accept(std::move(next));
    }

    Result<void> operator()(const DrainInstance &body)
    {
        const auto it = m_state.instances.entries.find(body.name);
        const bool isKnown =
            it != m_state.instances.entries.end() || m_state.drained.count(body.name) > 0;
        if (!isKnown)
            return fail(
                refusal(ErrorCode::NotFound, "instance " + quoted(body.name) + " does not exist"));
        if (body.drained)
            m_state.drained.insert(body.name);
        else
            m_state.drained.erase(body.name);
        if (it != m_state.instances.entries.end() && it->second.state != InstanceState::Starting)
            it->second.state = body.drained ? InstanceState::Leaving : InstanceState::Serving;
        ++m_state.instances.epoch;
        return {};
    }

    Result<void> operator()(const AnnounceInstance &body)
    {
        Instance instance = body.instance;
        if (m_state.drained.count(instance.name) > 0 && instance.state == InstanceState::Serving)
            instance.state = InstanceState::Leaving;
        const auto it = m_state.instances.entries.find(instance.name);
        if (it != m_state.instances.entries.end() && toJson(it->second) == toJson(instance))
            return {};
        const bool isOther =
            it != m_state.instances.entries.end() && it->second.incarnation != instance.incarnation;
        if (isOther && body.replaces && *body.replaces != it->second.incarnation)
            return fail(refusal(ErrorCode::Conflict,
                                "another process has the name " + quoted(body.instance.name)));
        if (isOther)
            recordDeparture(it->second);
        removeEndedDepartures(instance.place, body.endedDepartures);
        m_state.instances.entries[instance.name] = instance;
        m_state.instances.hinted.erase(instance.name);
        ++m_state.instances.epoch;
        return {};
    }

    Result<void> operator()(const DepartInstance &body)
    {
        BOOST_LEAF_CHECK(checkPresent(body.name, body.incarnation));
        recordDeparture(m_state.instances.entries.at(body.name));
        m_state.instances.entries.erase(body.name);
        m_state.instances.hinted.erase(body.name);
        ++m_state.instances.epoch;
        return {};
    }

    Result<void> operator()(const HintInstance &body)
    {
        BOOST_LEAF_CHECK(checkPresent(body.name, body.incarnation));
        auto &hinted = m_state.instances.hinted;
        const bool changes =
            body.leaving ? hinted.insert(body.name).second : hinted.erase(body.name) > 0;
        if (changes)
            ++m_state.instances.epoch;
        return {};
    }

    Result<void> operator()(const Declare &body)
    {
        const Declaration &present = m_state.catalogue.declaration;
        const bool isSameVersion = body.declaration.version == present.version;
        if (isSameVersion && present.text && *body.declaration.text != *present.text)
            return fail(
                refusal(ErrorCode::Conflict,
                        "another declaration has version " + std::to_string(present.version)));
        if (body.declaration.version <= present.version)
            return {};
        Catalogue next = m_state.catalogue;
        next.declaration = body.declaration;
        return accept(std::move(next));
    }

    Result<void> operator()(const SetWeightsVersion &body)
    {
        std::uint64_t &present = m_state.catalogue.weights[body.model];
        if (body.version <= present)
            return {};
        present = body.version;
        ++m_state.catalogue.revision;
        return {};
    }

    Result<void> operator()(const RecordServerWeights &body)
    {
        auto &servers = m_state.catalogue.serverWeights;
        for (const ServerWeights &it : body.servers)
            servers[it.server + "/" + it.model] = it;
        for (auto it = servers.begin(); it != servers.end();) {
            const bool hasDeparted = std::find(body.departedServers.begin(),
                                               body.departedServers.end(), it->second.server)
                != body.departedServers.end();
            it = hasDeparted ? servers.erase(it) : std::next(it);
        }
        ++m_state.catalogue.revision;
        return {};
    }

    Result<void> operator()(const RecordControlLinks &body)
    {
        if (m_state.catalogue.controlLinks == body.links)
            return {};
        m_state.catalogue.controlLinks = body.links;
        ++m_state.catalogue.revision;
        return {};
    }

    Result<void> operator()(const StartRollout &body)
    {
        return startRollout(m_state.catalogue, body);
    }

    Result<void> operator()(const RecordRolloutStep &body)
    {
        return recordRolloutStep(m_state.catalogue, body);
    }

private:
    /// Records a departure. The process may still act until its end is proven.
    void recordDeparture(const Instance &instance)
    {
        auto &unprovenDepartures = m_state.instances.unprovenDepartures;
        unprovenDepartures[++m_state.instances.departures] = instance.place;
        if (unprovenDepartures.size() <= maxUnprovenDepartures)
            return;
        // Merges the two oldest departures into one with the number of the later one. No place can
        // prove its end any more.
        unprovenDepartures.erase(unprovenDepartures.begin());
        unprovenDepartures.begin()->second = 0;
    }

    /// Removes the departed processes whose end is proven, either by a new process at the same
    /// \p place or by the time elapsed since the departures up to \p endedDepartures.
    void removeEndedDepartures(std::uint64_t place, std::uint64_t endedDepartures)
    {
        auto &unprovenDepartures = m_state.instances.unprovenDepartures;
        for (auto it = unprovenDepartures.begin(); it != unprovenDepartures.end();) {
            const bool ended = it->first <= endedDepartures || (place != 0 && it->second == place);
            it = ended ? unprovenDepartures.erase(it) : std::next(it);
        }
    }

    Result<void> checkPresent(const std::string &name, std::uint64_t incarnation) const
    {
        const auto it = m_state.instances.entries.find(name);
        if (it != m_state.instances.entries.end() && it->second.incarnation == incarnation)
            return {};
        return fail(
            refusal(ErrorCode::NotFound, "instance " + quoted(name) + " has no such incarnation"));
    }

    /// Fails if \p key would restore a withdrawn key, as an old catalogue file applied again would.
    Result<void> checkNotReinstated(const Key &key) const
    {
        for (const auto &it : m_state.catalogue.keys) {
            const Key &present = it.second;
            const bool isSame = it.first == key.head.name || present.sha256 == key.sha256;
            if (isSame && present.withdrawn && !key.withdrawn)
                return fail(refusal(ErrorCode::Conflict,
                                    "key " + quoted(it.first)
                                        + " is permanently withdrawn; grant a new one"));
        }
        return {};
    }

    static std::size_t erase(Catalogue &catalogue, const RemoveEntry &body)
    {
        switch (body.kind) {
        case EntryKind::Customer:
            return catalogue.customers.erase(body.name);
        case EntryKind::Key:
            return catalogue.keys.erase(body.name);
        case EntryKind::Upstream:
            return catalogue.upstreams.erase(body.name);
        case EntryKind::Route:
            return catalogue.routes.erase(body.name);
        }
        return 0;
    }

    /// Installs \p next as the next revision of the catalogue if its references are valid.
    Result<void> accept(Catalogue next)
    {
        BOOST_LEAF_CHECK(checkReferences(next));
        next.revision = m_state.catalogue.revision + 1;
        m_state.catalogue = std::move(next);
        return {};
    }

    State &m_state;
};

Result<void> checkExpectedRevision(const State &state, const Change &change)
{
    if (!change.expectedRevision || *change.expectedRevision == state.catalogue.revision)
        return {};
    return fail(refusal(ErrorCode::Conflict,
                        "expected revision " + std::to_string(*change.expectedRevision)
                            + ", but the present revision is "
                            + std::to_string(state.catalogue.revision)));
}

Answer perform(State &state, const Change &change)
{
    Answer answer = orElse(
        [&]() -> Result<Answer> {
            BOOST_LEAF_CHECK(checkExpectedRevision(state, change));
            BOOST_LEAF_CHECK(std::visit(Applier(state), change.body));
            Answer accepted;
            accepted.accepted = true;
            return accepted;
        },
        [](const Error &error) {
            return Answer{false, error.code, error.message, 0, 0};
        });
    answer.revision = state.catalogue.revision;
    answer.epoch = state.instances.epoch;
    return answer;
}

void recordAnswer(AnswerHistory &answerHistory, const std::string &changeId,
                  const RecordedAnswer &answer)
{
    answerHistory.answers[changeId] = answer;
    answerHistory.order.push_back(changeId);
    if (answerHistory.order.size() > maxRecordedAnswers) {
        answerHistory.answers.erase(answerHistory.order.front());
        answerHistory.order.pop_front();
    }
}

} // namespace

Answer apply(State &state, const Change &change)
{
    if (change.changeId.empty())
        return perform(state, change);
    const std::uint64_t changeHash = stableHash(encodeChange(change));
    const auto it = state.answerHistory.answers.find(change.changeId);
    if (it == state.answerHistory.answers.end()) {
        Answer answer = perform(state, change);
        recordAnswer(state.answerHistory, change.changeId, {changeHash, answer});
        return answer;
    }
    if (it->second.changeHash == changeHash)
        return it->second.answer;
    return {false, ErrorCode::Conflict,
            "change id " + quoted(change.changeId) + " was used for another change",
            state.catalogue.revision, state.instances.epoch};
}

} // namespace kumquathaven::catalogue
