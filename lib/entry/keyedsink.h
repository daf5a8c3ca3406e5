// Ends a running answer when its key is withdrawn with the flag that cuts streams.

#ifndef KUMQUATHAVEN_LIB_ENTRY_KEYEDSINK_H
#define KUMQUATHAVEN_LIB_ENTRY_KEYEDSINK_H

#include "answersink.h"
#include "kumquathaven/catalogue/view.h"

#include <string>

namespace kumquathaven::entry {

/// A sink whose caller counts as gone once the key no longer stands and its withdrawal cuts
/// streams.
class KeyedSink : public AnswerSink
{
public:
    /// \p keyName is empty on a route that is open to all: then nothing is cut.
    KeyedSink(AnswerSink &caller, const catalogue::View &view, const std::string &keyName);

    bool begin(const std::string &contentType, const runtime::HeaderFields &headers) override;
    bool events(const std::string &bytes) override;
    bool whole(const runtime::HttpReply &reply) override;
    bool gone() override;
    bool hasBegun() const override { return m_caller.hasBegun(); }

    /// Returns whether the answer was cut because of its key.
    bool wasCut() const { return m_wasCut; }

private:
    bool mustCut();

    AnswerSink &m_caller;
    const catalogue::View &m_view;
    const std::string &m_keyName;
    TimePoint m_checkedAt;
    bool m_wasCut = false;
};

} // namespace kumquathaven::entry

#endif // KUMQUATHAVEN_LIB_ENTRY_KEYEDSINK_H
