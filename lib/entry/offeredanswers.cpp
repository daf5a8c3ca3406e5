#include "offeredanswers.h"

#include <iterator>

namespace kumquathaven::entry {

namespace {

using answers::Offer;
using answers::PartKind;

// Fetches of other instances at a time. One too many is told that the answer is not here.
constexpr std::size_t maxRemoteReaders = 1024;

PartKind refusalOf(Offer offer)
{
    if (offer == Offer::OtherBody)
        return PartKind::OtherBody;
    return offer == Offer::Undecided ? PartKind::Undecided : PartKind::Absent;
}

PartKind kindOf(answers::AnswerState state)
{
    switch (state) {
    case answers::AnswerState::Running:
        return PartKind::Running;
    case answers::AnswerState::Complete:
        return PartKind::Complete;
    case answers::AnswerState::Failed:
        break;
    }
    return PartKind::Failed;
}

} // namespace

void OfferedAnswers::fetch(const std::string &peer, const answers::Fetch &fetch, TimePoint now)
{
    const ReaderName name{peer, fetch.number};
    if (m_readers.count(name) != 0)
        return;
    OfferedPart offered;
    if (m_readers.size() < maxRemoteReaders)
        offered = m_joins.offer(fetch.key, fetch.bodyFingerprint);
    if (offered.offer != Offer::Answer) {
        answers::AnswerPart refusal;
        refusal.number = fetch.number;
        refusal.kind = refusalOf(offered.offer);
        m_send(peer, refusal);
        return;
    }
    RemoteReader &reader = m_readers[name];
    reader.part = offered.part;
    if (!advance(name, reader, now))
        end(peer, {fetch.number});
}

void OfferedAnswers::end(const std::string &peer, const answers::FetchEnd &end)
{
    const auto it = m_readers.find({peer, end.number});
    if (it == m_readers.end())
        return;
    m_joins.detach(it->second.part);
    m_readers.erase(it);
}

void OfferedAnswers::pump(TimePoint now)
{
    for (auto it = m_readers.begin(); it != m_readers.end();) {
        const bool goesOn = advance(it->first, it->second, now);
        if (!goesOn)
            m_joins.detach(it->second.part);
        it = goesOn ? std::next(it) : m_readers.erase(it);
    }
}

/// Sends a reader what is new. Returns whether there may be more.
bool OfferedAnswers::advance(const ReaderName &name, RemoteReader &reader, TimePoint now)
{
    answers::AnswerPart part;
    part.number = name.second;
    part.kind = PartKind::Failed;
    if (auto news = m_joins.read(reader.part, Duration(0))) {
        part.kind = kindOf(news->state);
        part.chunks = std::move(news->chunks);
        if (!reader.hasHead && news->head) {
            part.head = std::move(news->head);
            reader.hasHead = true;
        }
    }
    const bool isNews = part.kind != PartKind::Running || part.head || !part.chunks.empty();
    const bool isFirst = reader.sequence == 0;
    if (!isNews && !isFirst && now - reader.sentAt < m_limits.heartbeatInterval)
        return true;
    part.sequence = reader.sequence++;
    reader.sentAt = now;
    return m_send(name.first, part) && part.kind == PartKind::Running;
}

} // namespace kumquathaven::entry
