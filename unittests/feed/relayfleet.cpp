#include "relayfleet.h"

namespace kumquathaven::feed {

void Fleet::restart(std::size_t n)
{
    std::vector<SubscriberId> ended;
    for (const auto &it : m_links) {
        if (it.second.from == n || it.second.to == n)
            ended.push_back(it.first);
    }
    Entry &entry = m_entries[n];
    entry.self.name = "entry-" + std::to_string(n);
    entry.self.failureDomain = "fd-" + std::to_string(n % 3);
    entry.self.state = catalogue::InstanceState::Serving;
    entry.self.incarnation = m_random.next();
    entry.follower = std::make_unique<Follower>(m_relays, entry.self, m_random.next());
    entry.view = std::make_unique<catalogue::View>();
    entry.frozenUntil = {};
    for (const SubscriberId it : ended) {
        if (m_links[it].from == n)
            erase(it);
        else
            close(it);
    }
    connect(n, Uplink::Control, std::nullopt, "control");
}

void Fleet::send(const Delivery &delivery)
{
    orElse(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(message, fromFrame(delivery.frame, "feed"));
            for (const SubscriberId it : delivery.subscribers) {
                const auto link = m_links.find(it);
                if (link != m_links.end() && link->second.open)
                    push(link->second.down, message);
            }
            return {};
        },
        [](const Error &error) {
            FAIL(describe(error));
        });
}

void Fleet::move(SubscriberId id)
{
    const auto present = [&]() -> Link * {
        const auto it = m_links.find(id);
        return it == m_links.end() || m_now < it->second.cutUntil ? nullptr : &it->second;
    };
    Link *link = present();
    if (link && !link->open && m_now >= link->opensAt && isAwake(link->to) && isAwake(link->from)) {
        link->open = true;
        applyEffects(link->from,
                     m_entries[link->from].follower->opened(link->uplink, link->peerName, m_now));
    }
    while ((link = present()) && isAwake(link->to) && !link->up.empty()
           && link->up.front().first <= m_now) {
        const Message message = link->up.front().second;
        link->up.pop_front();
        if (link->to)
            applyEffects(*link->to,
                         m_entries[*link->to].follower->childMessage(id, message, m_now));
        else
            handleRequest(id, message);
    }
    while ((link = present()) && isAwake(link->from) && !link->down.empty()
           && link->down.front().first <= m_now) {
        const Message message = link->down.front().second;
        link->down.pop_front();
        applyEffects(link->from,
                     m_entries[link->from].follower->receive(link->uplink, message, m_now));
    }
}

void Fleet::handleRequest(SubscriberId id, const Message &message)
{
    const std::uint64_t position = m_log.empty() ? 0 : m_log.back().first.position;
    if (const auto *subscribe = std::get_if<Subscribe>(&message)) {
        if (hasRedirects && subscribe->position == 0 && !subscribe->noRedirect) {
            push(m_links[id].down, redirect(m_links[id].from));
            return;
        }
        const auto state = [&] {
            ++m_statesSent;
            return toFrame(
                StateAt{position, m_state.catalogue, m_state.instances, {}, m_now - m_epochAt});
        };
        for (const Delivery &it : m_publisher.subscribe(id, *subscribe, state))
            send(it);
    } else if (std::holds_alternative<Unsubscribe>(message)) {
        m_publisher.remove(id);
    } else if (const auto *request = std::get_if<ProofRequest>(&message)) {
        ++m_requestCount;
        recordHeartbeat({request->instance, request->incarnation, Duration(0)});
        for (const Heartbeat &it : request->heartbeats)
            recordHeartbeat(it);
        push(m_links[id].down, Proof{request->number, position, m_now - m_provenAt});
    } else if (const auto *announce = std::get_if<Announce>(&message)) {
        accept({{}, {}, catalogue::AnnounceInstance{announce->instance, announce->replaces}});
    }
}

void Fleet::applyEffects(std::size_t n, const FollowerEffects &effects)
{
    if (effects.dropRelay || effects.adoptNextRelay)
        erase(linkOf(n, Uplink::Relay));
    if (effects.dropNextRelay)
        erase(linkOf(n, Uplink::NextRelay));
    if (effects.adoptNextRelay)
        m_links[linkOf(n, Uplink::NextRelay)].uplink = Uplink::Relay;
    if (effects.snapshot)
        check(m_entries[n], *effects.snapshot);
    for (const FollowerEffects::OutgoingMessage &it : effects.messages) {
        const auto link = m_links.find(linkOf(n, it.uplink));
        if (link != m_links.end() && link->second.open)
            push(link->second.up, it.message);
    }
    for (const Delivery &it : effects.deliveries)
        send(it);
    for (const SubscriberId it : effects.refused)
        close(it);
    if (effects.changeMember) {
        erase(linkOf(n, Uplink::Control));
        connect(n, Uplink::Control, std::nullopt, "control");
    }
    if (effects.connectNextRelay) {
        const std::string &name = effects.connectNextRelay->name;
        std::size_t to = std::stoul(name.substr(name.find('-') + 1));
        // Sometimes another entry answers under this name, which would lead to cycles if it were
        // accepted.
        if (hasFaults && m_random.below(4) == 0)
            to = m_random.below(m_entries.size());
        connect(n, Uplink::NextRelay, to, name);
    }
}

void Fleet::check(Entry &entry, const catalogue::Snapshot &snapshot)
{
    const catalogue::Snapshot before = entry.view->current();
    entry.view->offer(snapshot);
    CHECK(snapshot.catalogue->revision >= before.catalogue->revision);
    CHECK(snapshot.instances->epoch >= before.instances->epoch);
    CHECK(snapshot.provenAt >= before.provenAt);
    // Every change accepted up to the time of the proof must be held.
    for (auto it = m_log.rbegin(); it != m_log.rend(); ++it) {
        if (it->second > snapshot.provenAt)
            continue;
        CHECK(it->first.revision <= snapshot.catalogue->revision);
        CHECK(it->first.epoch <= snapshot.instances->epoch);
        break;
    }
    if (snapshot.instances->epoch == m_state.instances.epoch && snapshot.instances->epoch > 0)
        CHECK(snapshot.epochSince >= m_epochAt);
}

} // namespace kumquathaven::feed
