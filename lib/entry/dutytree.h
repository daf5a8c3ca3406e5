// The supervisor tree over the duties of an entry instance.

#ifndef KUMQUATHAVEN_LIB_ENTRY_DUTYTREE_H
#define KUMQUATHAVEN_LIB_ENTRY_DUTYTREE_H

#include "kumquathaven/runtime/supervisor.h"

#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace kumquathaven::entry {

/// What an entry instance does beside answering requests.
struct EntryDuties
{
    /// Holds tokens in memory. After a failure it may have counted half a message, so that only a
    /// new incarnation may go on.
    runtime::DutyFunction limits;
    /// May start again at any point, since the other side holds what counts.
    runtime::DutyFunction feed;
    runtime::DutyFunction answers;
    runtime::DutyFunction runOnce;
    /// Requests are served without them too, with less knowledge of the upstreams.
    std::vector<runtime::DutyFunction> watches;
};

/// Runs the duties: limits under the root; feed, answers and run-once under a child of it, the
/// watches under a child of that one.
class DutyTree
{
public:
    /// Called with the reason, on the tree's thread, when the root gives up. Every duty has ended
    /// by then.
    using GaveUp = std::function<void(const std::string &reason)>;

    /// \p policy is that of the feed, of answers and of run-once, and gives the delays of the
    /// watches, which are restarted without end.
    DutyTree(EntryDuties duties, GaveUp gaveUp, runtime::RestartPolicy policy = {});
    DutyTree(const DutyTree &) = delete;
    DutyTree &operator=(const DutyTree &) = delete;
    /// Stops the tree.
    ~DutyTree();

    void start();

    /// Ends every duty and joins the thread.
    void stop();

private:
    void run();

    GaveUp m_gaveUp;
    runtime::Supervisor m_watching;
    runtime::Supervisor m_serving;
    runtime::Supervisor m_root;
    runtime::StopSignal m_stop;
    std::thread m_thread;
};

} // namespace kumquathaven::entry

#endif // KUMQUATHAVEN_LIB_ENTRY_DUTYTREE_H
