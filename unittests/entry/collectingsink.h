#ifndef KUMQUATHAVEN_UNITTESTS_ENTRY_COLLECTINGSINK_H
#define KUMQUATHAVEN_UNITTESTS_ENTRY_COLLECTINGSINK_H

#include "answersink.h"

#include <string>

namespace kumquathaven::entry {

/// Collects what a caller would get.
class CollectingSink : public AnswerSink
{
public:
    bool begin(const std::string &, const runtime::HeaderFields &) override
    {
        ++heads;
        return true;
    }
    bool events(const std::string &bytes) override
    {
        text += bytes;
        return true;
    }
    bool whole(const runtime::HttpReply &reply) override
    {
        ++heads;
        text += reply.body;
        return true;
    }
    bool gone() override { return isGone; }
    bool hasBegun() const override { return heads > 0; }

    /// Answers that were begun, or handed over whole.
    int heads = 0;
    std::string text;
    bool isGone = false;
};

} // namespace kumquathaven::entry

#endif // KUMQUATHAVEN_UNITTESTS_ENTRY_COLLECTINGSINK_H
