// Counts the bytes that a process holds for its peers, and ends peers that hold too much.

#ifndef KUMQUATHAVEN_BUDGET_PEERBUDGET_H
#define KUMQUATHAVEN_BUDGET_PEERBUDGET_H

#include "kumquathaven/budget/decision.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace kumquathaven::budget {

class PeerBudget;

/// The account of one peer's connection. It is closed by the destructor. Used by one thread at a
/// time.
class Account
{
public:
    Account() = default;
    ~Account();
    Account(Account &&other) noexcept;
    Account &operator=(Account &&other) noexcept;
    Account(const Account &) = delete;
    Account &operator=(const Account &) = delete;

    /// Sets the bytes that are held and takes note of progress. May end other peers, and this one,
    /// by their functions before it returns.
    void set(std::size_t bytes, TimePoint now);
    /// Sets what the peer does, from now on.
    void setStage(PeerStage stage, TimePoint now);
    std::size_t bytes() const { return m_bytes; }

private:
    friend class PeerBudget;
    std::shared_ptr<PeerBudget> m_budget;
    std::uint64_t m_id = 0;
    std::size_t m_bytes = 0;
};

/// The accounts of one process, which any of its servers use from their own threads.
class PeerBudget : public std::enable_shared_from_this<PeerBudget>
{
public:
    /// \p maxBytes: what all peers together may hold.
    explicit PeerBudget(std::size_t maxBytes)
        : m_maxBytes(maxBytes)
    { }

    /// Opens an account for a peer of \p server. \p end ends the peer; it is called
    /// from the thread of whoever needs the room, hands over to the thread that owns the peer, and
    /// is not called again before the peer sets a stage.
    Account open(const void *server, std::function<void()> end, TimePoint now);

    /// Ends the peer of \p server that has waited longest. Returns false if none waits.
    bool replaceOne(const void *server);

    std::size_t maxBytes() const { return m_maxBytes; }
    std::size_t heldBytes() const { return m_total; }
    std::uint64_t endedForMemory() const { return m_endedForMemory; }
    std::uint64_t endedForConnections() const { return m_endedForConnections; }

private:
    friend class Account;
    struct Entry
    {
        PeerAccount account;
        const void *server = nullptr;
        std::function<void()> end;
        /// Whether the peer was told to end.
        bool isEnding = false;
    };

    void set(std::uint64_t id, std::size_t bytes, TimePoint now);
    void setStage(std::uint64_t id, PeerStage stage, TimePoint now);
    void close(std::uint64_t id);
    std::vector<std::function<void()>> takeEnds(const std::vector<std::uint64_t> &ids);

    const std::size_t m_maxBytes;
    std::mutex m_mutex;
    std::unordered_map<std::uint64_t, Entry> m_entries;
    std::uint64_t m_lastId = 0;
    /// The last total, also read without the mutex.
    std::atomic<std::size_t> m_total{0};
    std::atomic<std::uint64_t> m_endedForMemory{0};
    std::atomic<std::uint64_t> m_endedForConnections{0};
};

/// Lets the allocator return the memory of large buffers as soon as they are freed. Called once,
/// before other threads run.
void returnMemoryEarly();

} // namespace kumquathaven::budget

#endif // KUMQUATHAVEN_BUDGET_PEERBUDGET_H
