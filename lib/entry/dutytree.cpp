#include "dutytree.h"

#include <limits>

namespace kumquathaven::entry {

namespace {

constexpr runtime::RestartPolicy endOnFirstFailure{0};

/// Bytes of one upstream that no watch can read must not end every entry.
runtime::RestartPolicy withoutEnd(runtime::RestartPolicy policy)
{
    policy.maxRestarts = std::numeric_limits<std::uint32_t>::max();
    return policy;
}

} // namespace

DutyTree::DutyTree(EntryDuties duties, GaveUp gaveUp, runtime::RestartPolicy policy)
    : m_gaveUp(std::move(gaveUp))
    , m_watching("watching", withoutEnd(policy))
    , m_serving("serving", policy)
    , m_root("entry", endOnFirstFailure)
{
    for (std::size_t n = 0; n < duties.watches.size(); ++n)
        m_watching.add("watch" + std::to_string(n), std::move(duties.watches[n]));
    m_serving.add("feed", std::move(duties.feed));
    m_serving.add("answers", std::move(duties.answers));
    m_serving.add("runOnce", std::move(duties.runOnce));
    m_serving.add("watching", [this](const runtime::StopSignal &stop) {
        m_watching.run(stop);
    });
    m_root.add("limits", std::move(duties.limits));
    m_root.add("serving", [this](const runtime::StopSignal &stop) {
        m_serving.run(stop);
    });
}

DutyTree::~DutyTree()
{
    stop();
}

void DutyTree::start()
{
    m_thread = std::thread([this] {
        run();
    });
}

void DutyTree::stop()
{
    m_stop.request();
    if (m_thread.joinable())
        m_thread.join();
}

void DutyTree::run()
{
    try {
        m_root.run(m_stop);
    } catch (const std::exception &e) {
        m_gaveUp(e.what());
    }
}

} // namespace kumquathaven::entry
