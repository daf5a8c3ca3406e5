#include "kumquathaven/answers/answerstore.h"

#include "kumquathaven/base/random.h"

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

using namespace kumquathaven;
using namespace kumquathaven::answers;

namespace {

TimePoint atSecond(int seconds)
{
    return TimePoint{} + std::chrono::hours(1) + std::chrono::seconds(seconds);
}

std::string join(const std::vector<std::string> &chunks)
{
    std::string out;
    for (const std::string &it : chunks)
        out += it;
    return out;
}

AnswerId keep(AnswerStore &store, const WorkKey &key, const std::string &text, TimePoint now)
{
    const AnswerId id = begin(store, key, "f");
    append(store, id, text);
    complete(store, id, now);
    return id;
}

} // namespace

TEST_CASE("work is found by its customer, key and body only")
{
    AnswerStore store;
    const WorkKey key{"a", workOfKey("k")};
    const AnswerId id = begin(store, key, "f");
    CHECK(find(store, key, "f", atSecond(0)).status == LookupStatus::Running);
    CHECK(find(store, key, "g", atSecond(0)).status == LookupStatus::OtherBody);
    CHECK(find(store, {"b", workOfKey("k")}, "f", atSecond(0)).status == LookupStatus::Nothing);
    CHECK(find(store, {"a", workOfBody("k")}, "f", atSecond(0)).status == LookupStatus::Nothing);
    append(store, id, "x");
    complete(store, id, atSecond(0));
    CHECK(find(store, key, "f", atSecond(599)).status == LookupStatus::Kept);
    CHECK(find(store, {"b", workOfKey("k")}, "f", atSecond(1)).status == LookupStatus::Nothing);
    CHECK(find(store, key, "f", atSecond(600)).status == LookupStatus::Nothing);
    CHECK(store.answers.empty());
    CHECK(store.keptBytes == 0);
}

TEST_CASE("a failed answer is reported to its readers and not kept")
{
    AnswerStore store;
    const WorkKey key{"a", workOfKey("k")};
    const AnswerId id = begin(store, key, "f");
    const ReaderId reader = attach(store, id);
    append(store, id, "x");
    failAnswer(store, id, Error{ErrorCode::UpstreamFailed, "s", {}, "m", Outcome::Ran, {}});
    CHECK(find(store, key, "f", atSecond(0)).status == LookupStatus::Nothing);
    const ReadResult result = read(store, id, reader);
    CHECK(result.state == AnswerState::Failed);
    CHECK(join(result.chunks) == "x");
    CHECK(result.error->outcome == Outcome::Ran);
    CHECK(detach(store, id, reader) == 0);
    CHECK(store.answers.empty());
}

TEST_CASE("a full buffer blocks the writer and drops only chunks that every reader has read")
{
    AnswerStore store;
    store.limits.maxAnswerBytes = 400;
    const WorkKey key{"a", workOfKey("k")};
    const AnswerId id = begin(store, key, "f");
    const ReaderId fast = attach(store, id);
    const ReaderId slow = attach(store, id);
    const std::string chunk(36, 'x');
    for (int n = 0; n < 4; ++n)
        CHECK(append(store, id, chunk));
    CHECK_FALSE(append(store, id, chunk));
    read(store, id, fast);
    CHECK_FALSE(append(store, id, chunk));
    CHECK(slowestReader(store, id) == slow);
    CHECK(find(store, key, "f", atSecond(0)).status == LookupStatus::Running);
    CHECK(read(store, id, slow).chunks.size() == 4);
    CHECK(append(store, id, chunk));
    CHECK(find(store, key, "f", atSecond(0)).status == LookupStatus::RunningUnjoinable);
    CHECK(read(store, id, slow).chunks.size() == 1);
    complete(store, id, atSecond(0));
    CHECK(find(store, key, "f", atSecond(0)).status == LookupStatus::Nothing);
}

TEST_CASE("a flood of kept answers evicts only answers of its own customer")
{
    AnswerStore store;
    store.limits.maxKeptBytes = 10'000;
    store.limits.maxKept = 20;
    keep(store, {"b", workOfKey("k")}, std::string(1'000, 'x'), atSecond(0));
    const AnswerId first = begin(store, WorkKey{"a", workOfKey("first")}, "f");
    const ReaderId reader = attach(store, first);
    append(store, first, "first");
    complete(store, first, atSecond(0));
    for (int n = 0; n < 100; ++n) {
        keep(store, {"a", workOfKey(std::to_string(n))}, std::string(n % 2 == 0 ? 3'000 : 10, 'x'),
             atSecond(0));
        CHECK(store.keptBytes <= 10'000);
        CHECK(store.keptCount <= 20);
    }
    CHECK(find(store, {"b", workOfKey("k")}, "f", atSecond(1)).status == LookupStatus::Kept);
    CHECK(find(store, {"a", workOfKey("99")}, "f", atSecond(1)).status == LookupStatus::Kept);
    CHECK(find(store, {"a", workOfKey("first")}, "f", atSecond(1)).status == LookupStatus::Nothing);
    CHECK(join(read(store, first, reader).chunks) == "first");
    detach(store, first, reader);
    CHECK(store.answers.count(first) == 0);
    expire(store, atSecond(600));
    CHECK(store.answers.empty());
    CHECK(store.kept.empty());
}

TEST_CASE("generated histories: every reader gets its own answer from the beginning, in order")
{
    for (std::uint64_t seed = 1; seed <= 15; ++seed) {
        CAPTURE(seed);
        Random random(seed);
        AnswerStore store;
        store.limits.maxAnswerBytes = 2'000;
        store.limits.maxKeptBytes = 6'000;
        struct Work
        {
            std::string text;
            WorkKey key;
            bool running = true;
        };
        struct Reader
        {
            AnswerId answer;
            std::string text;
            bool ended = false;
        };
        std::map<AnswerId, Work> works;
        std::map<ReaderId, Reader> readers;
        TimePoint now = atSecond(0);
        const auto readOne = [&](ReaderId id, Reader &reader) {
            const ReadResult result = read(store, reader.answer, id);
            reader.text += join(result.chunks);
            const Work &work = works.at(reader.answer);
            CHECK(work.text.compare(0, reader.text.size(), reader.text) == 0);
            if (result.state == AnswerState::Complete)
                CHECK(reader.text == work.text);
            reader.ended = result.state != AnswerState::Running;
            if (reader.ended)
                detach(store, reader.answer, id);
        };
        for (int step = 0; step < 800; ++step) {
            now += std::chrono::seconds(random.below(20));
            const WorkKey key{std::string(1, static_cast<char>('a' + random.below(2))),
                              workOfKey(std::to_string(random.below(3)))};
            const std::uint64_t kind = random.below(10);
            if (kind < 3) {
                const Lookup lookup = find(store, key, "f", now);
                if (lookup.status == LookupStatus::RunningUnjoinable)
                    continue;
                const bool isNew = lookup.status == LookupStatus::Nothing;
                const AnswerId id = isNew ? begin(store, key, "f") : lookup.id;
                if (isNew)
                    works[id].key = key;
                CHECK(works.at(id).key.customer == key.customer);
                CHECK(works.at(id).key.work == key.work);
                readers[attach(store, id)].answer = id;
            } else if (kind < 8) {
                for (auto &[id, work] : works) {
                    if (!work.running || random.below(2) == 0)
                        continue;
                    const std::string chunk = std::to_string(id) + "." + std::to_string(step) + " ";
                    if (append(store, id, chunk))
                        work.text += chunk;
                    if (random.below(12) == 0) {
                        work.running = false;
                        if (random.below(3) == 0)
                            failAnswer(store, id, Error{});
                        else
                            complete(store, id, now);
                    }
                }
            } else {
                for (auto &[id, reader] : readers) {
                    if (!reader.ended && random.below(2) == 0)
                        readOne(id, reader);
                }
            }
            CHECK(store.keptBytes <= store.limits.maxKeptBytes);
        }
        for (auto &[id, work] : works) {
            if (work.running)
                complete(store, id, now);
        }
        for (auto &[id, reader] : readers) {
            if (!reader.ended)
                readOne(id, reader);
        }
        expire(store, now + std::chrono::hours(1));
        CHECK(store.answers.empty());
    }
}
