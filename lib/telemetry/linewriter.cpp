#include "linewriter.h"

#include <utility>

namespace kumquathaven::telemetry {

namespace {

/// Lines that wait at most, in bytes: some seconds of the densest log.
constexpr std::size_t maxWaitingBytes = std::size_t{256} * 1024;
/// Lines are written together, since each wake-up of the thread costs more than a line.
constexpr Duration writeInterval = std::chrono::milliseconds(100);

} // namespace

LineWriter::LineWriter(std::uint32_t linesPerSecond, Write write,
                       std::function<WaitingLine(std::uint64_t)> dropped)
    : m_state(std::make_shared<State>())
{
    m_state->budget.linesPerSecond = linesPerSecond;
    m_state->write = std::move(write);
    m_state->droppedLine = std::move(dropped);
    m_thread = std::thread([state = m_state] {
        run(state);
    });
}

LineWriter::~LineWriter()
{
    {
        const std::lock_guard<std::mutex> lock(m_state->mutex);
        m_state->hasEnded = true;
    }
    m_state->changed.notify_all();
    // A write to a reader that takes nothing may block for good.
    m_thread.detach();
}

bool LineWriter::take(LineKind kind, TimePoint now)
{
    const std::lock_guard<std::mutex> lock(m_state->mutex);
    const bool isTaken =
        m_state->waitingBytes < maxWaitingBytes && takeLine(m_state->budget, kind, now);
    if (!isTaken)
        ++m_state->dropped;
    return isTaken;
}

void LineWriter::push(WaitingLine line)
{
    const std::lock_guard<std::mutex> lock(m_state->mutex);
    m_state->waitingBytes += line.text.size();
    m_state->waiting.push_back(std::move(line));
}

void LineWriter::flush(Duration longest)
{
    std::unique_lock<std::mutex> lock(m_state->mutex);
    m_state->isFlushing = true;
    m_state->changed.notify_all();
    m_state->changed.wait_for(lock, longest, [this] {
        return m_state->waiting.empty() && !m_state->isWriting;
    });
    m_state->isFlushing = false;
}

std::uint64_t LineWriter::dropped() const
{
    const std::lock_guard<std::mutex> lock(m_state->mutex);
    return m_state->dropped;
}

void LineWriter::run(const std::shared_ptr<State> &state)
{
    std::unique_lock<std::mutex> lock(state->mutex);
    while (!state->hasEnded) {
        state->changed.wait_for(lock, writeInterval, [&] {
            return state->hasEnded || (state->isFlushing && !state->waiting.empty());
        });
        if (state->dropped > state->droppedTold) {
            const std::uint64_t n =
                state->dropped - std::exchange(state->droppedTold, state->dropped);
            state->waiting.push_back(state->droppedLine(n));
        }
        if (state->waiting.empty())
            continue;
        const std::vector<WaitingLine> lines = std::exchange(state->waiting, {});
        state->waitingBytes = 0;
        state->isWriting = true;
        lock.unlock();
        state->write(lines);
        lock.lock();
        state->isWriting = false;
        state->changed.notify_all();
    }
}

} // namespace kumquathaven::telemetry
