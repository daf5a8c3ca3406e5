// The thread that writes log lines, and the bounded ring before it.

#ifndef KUMQUATHAVEN_LIB_TELEMETRY_LINEWRITER_H
#define KUMQUATHAVEN_LIB_TELEMETRY_LINEWRITER_H

#include "kumquathaven/telemetry/logbudget.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace kumquathaven::telemetry {

/// A line with its level as the library that writes it counts levels.
struct WaitingLine
{
    int level = 0;
    std::string text;
};

/// Every function may be called by any thread.
class LineWriter
{
public:
    using Write = std::function<void(const std::vector<WaitingLine> &)>;

    /// \p write puts lines out; it may block, and is called by the writer's thread only. \p dropped
    /// makes the line that tells how many were dropped since the last one.
    LineWriter(std::uint32_t linesPerSecond, Write write,
               std::function<WaitingLine(std::uint64_t)> dropped);
    /// Does not wait for a write that blocks.
    ~LineWriter();
    LineWriter(const LineWriter &) = delete;
    LineWriter &operator=(const LineWriter &) = delete;

    /// Returns whether a line of this kind would be written now, and pays for it. A line that is
    /// dropped need not be put together.
    bool take(LineKind kind, TimePoint now);

    /// Queues a line that take() let through.
    void push(WaitingLine line);

    /// Waits until all lines are written, at most this long.
    void flush(Duration longest);

    std::uint64_t dropped() const;

private:
    /// Outlives the writer if a write blocks for good.
    struct State
    {
        mutable std::mutex mutex;
        std::condition_variable changed;
        LogBudget budget;
        std::vector<WaitingLine> waiting;
        std::size_t waitingBytes = 0;
        std::uint64_t dropped = 0;
        std::uint64_t droppedTold = 0;
        bool isWriting = false;
        bool hasEnded = false;
        bool isFlushing = false;
        Write write;
        std::function<WaitingLine(std::uint64_t)> droppedLine;
    };
    static void run(const std::shared_ptr<State> &state);

    std::shared_ptr<State> m_state;
    std::thread m_thread;
};

} // namespace kumquathaven::telemetry

#endif // KUMQUATHAVEN_LIB_TELEMETRY_LINEWRITER_H
