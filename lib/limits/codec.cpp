#include "kumquathaven/limits/codec.h"

#include "kumquathaven/wire/cbor.h"

#include <nlohmann/json.hpp>

#include <cmath>

namespace kumquathaven::limits {

namespace {

using nlohmann::json;

constexpr std::size_t maxNameBytes = 512;
constexpr std::size_t maxListLength = 64;

/// Writes values one after the other. The order of fields is that of the structs.
class Writer
{
public:
    json take() { return std::move(m_values); }

    Writer &operator<<(std::uint64_t value) { return add(value); }
    Writer &operator<<(std::uint32_t value) { return add(value); }
    Writer &operator<<(double value) { return add(value); }
    Writer &operator<<(bool value) { return add(value); }
    Writer &operator<<(const std::string &value) { return add(value); }
    Writer &operator<<(Duration value) { return add(value.count()); }
    Writer &operator<<(const Term &it) { return *this << it.epoch << it.round << it.rank; }
    Writer &operator<<(const HeldState &it)
    {
        return *this << it.term << it.version << it.level << it.outstanding;
    }
    Writer &operator<<(const GroupMember &it) { return *this << it.name << it.incarnation; }
    Writer &operator<<(const Group &it) { return *this << it.formedEpoch << it.members; }
    template <typename T>
    Writer &operator<<(const std::vector<T> &list)
    {
        *this << static_cast<std::uint64_t>(list.size());
        for (const T &it : list)
            *this << it;
        return *this;
    }

private:
    template <typename T>
    Writer &add(const T &value)
    {
        m_values.push_back(value);
        return *this;
    }

    json m_values = json::array();
};

/// Reads values in the order in which they were written. A value of another type makes all bad.
class Reader
{
public:
    explicit Reader(const json &values)
        : m_values(values)
        , m_bad(!values.is_array())
    { }

    bool isWhole() const { return !m_bad && m_next == m_values.size(); }

    Reader &operator>>(std::uint64_t &value)
    {
        if (const json *it = next(); it && it->is_number_unsigned())
            value = it->get<std::uint64_t>();
        else
            m_bad = true;
        return *this;
    }
    Reader &operator>>(std::uint32_t &value)
    {
        std::uint64_t wide = 0;
        *this >> wide;
        m_bad = m_bad || wide > UINT32_MAX;
        value = static_cast<std::uint32_t>(wide);
        return *this;
    }
    Reader &operator>>(double &value)
    {
        if (const json *it = next(); it && it->is_number() && std::isfinite(it->get<double>()))
            value = it->get<double>();
        else
            m_bad = true;
        return *this;
    }
    Reader &operator>>(bool &value)
    {
        if (const json *it = next(); it && it->is_boolean())
            value = it->get<bool>();
        else
            m_bad = true;
        return *this;
    }
    Reader &operator>>(std::string &value)
    {
        const json *it = next();
        if (it && it->is_string() && it->get_ref<const std::string &>().size() <= maxNameBytes)
            value = it->get<std::string>();
        else
            m_bad = true;
        return *this;
    }
    Reader &operator>>(Duration &value)
    {
        const json *it = next();
        const std::optional<std::int64_t> number = it ? wire::toInteger(*it) : std::nullopt;
        if (number)
            value = Duration(*number);
        else
            m_bad = true;
        return *this;
    }
    Reader &operator>>(Term &it) { return *this >> it.epoch >> it.round >> it.rank; }
    Reader &operator>>(HeldState &it)
    {
        return *this >> it.term >> it.version >> it.level >> it.outstanding;
    }
    Reader &operator>>(GroupMember &it) { return *this >> it.name >> it.incarnation; }
    Reader &operator>>(Group &it) { return *this >> it.formedEpoch >> it.members; }
    template <typename T>
    Reader &operator>>(std::vector<T> &list)
    {
        std::uint64_t size = 0;
        *this >> size;
        m_bad = m_bad || size > maxListLength;
        for (std::uint64_t i = 0; !m_bad && i < size; ++i) {
            T it;
            *this >> it;
            list.push_back(std::move(it));
        }
        return *this;
    }

private:
    const json *next()
    {
        if (m_bad || m_next >= m_values.size())
            return nullptr;
        return &m_values[m_next++];
    }

    const json &m_values;
    std::size_t m_next = 0;
    bool m_bad = false;
};

template <typename Stream, typename RequestType>
void streamRequestFields(Stream &stream, RequestType &it)
{
    if constexpr (std::is_same_v<Stream, Writer>)
        stream << it.bucket << it.term << it.incarnation << it.session << it.sequence << it.carried
               << it.spent << it.returned << it.waived << it.reserved << it.first << it.need
               << it.want << it.homeIsSilent;
    else
        stream >> it.bucket >> it.term >> it.incarnation >> it.session >> it.sequence >> it.carried
            >> it.spent >> it.returned >> it.waived >> it.reserved >> it.first >> it.need >> it.want
            >> it.homeIsSilent;
}

class Encoder
{
public:
    json operator()(const TokenRequest &it) const
    {
        Writer writer;
        writer << std::string("ask");
        streamRequestFields(writer, it);
        return writer.take();
    }

    json operator()(const Answer &it) const
    {
        Writer writer;
        writer << std::string("answer") << it.bucket << static_cast<std::uint32_t>(it.kind)
               << it.term << it.incarnation << it.session << it.sequence << it.granted
               << it.validFor << it.waiveTarget << it.recall << it.retryAfter;
        return writer.take();
    }

    json operator()(const Replicate &it) const
    {
        Writer writer;
        writer << std::string("replicate") << it.bucket << it.state;
        return writer.take();
    }

    json operator()(const ReplicaAck &it) const
    {
        Writer writer;
        writer << std::string("ack") << it.bucket << it.incarnation << it.promised << it.version;
        return writer.take();
    }

    json operator()(const Prepare &it) const
    {
        Writer writer;
        writer << std::string("prepare") << it.bucket << it.term;
        return writer.take();
    }

    json operator()(const Promise &it) const
    {
        Writer writer;
        writer << std::string("promise") << it.bucket << it.incarnation << it.promised << it.held
               << it.age << it.epoch << it.history << it.maySpendFor;
        return writer.take();
    }
};

/// Reads one message. Returns nothing if it is not well formed.
std::optional<Message> readMessage(const json &value)
{
    Reader reader(value);
    std::string kind;
    reader >> kind;
    std::optional<Message> message;
    if (kind == "ask") {
        TokenRequest it;
        streamRequestFields(reader, it);
        message = it;
    } else if (kind == "answer") {
        Answer it;
        std::uint32_t answerKind = 0;
        reader >> it.bucket >> answerKind >> it.term >> it.incarnation >> it.session >> it.sequence
            >> it.granted >> it.validFor >> it.waiveTarget >> it.recall >> it.retryAfter;
        if (answerKind > static_cast<std::uint32_t>(AnswerKind::NotHome))
            return std::nullopt;
        it.kind = static_cast<AnswerKind>(answerKind);
        message = it;
    } else if (kind == "replicate") {
        Replicate it;
        reader >> it.bucket >> it.state;
        message = it;
    } else if (kind == "ack") {
        ReplicaAck it;
        reader >> it.bucket >> it.incarnation >> it.promised >> it.version;
        message = it;
    } else if (kind == "prepare") {
        Prepare it;
        reader >> it.bucket >> it.term;
        message = it;
    } else if (kind == "promise") {
        Promise it;
        reader >> it.bucket >> it.incarnation >> it.promised >> it.held >> it.age >> it.epoch
            >> it.history >> it.maySpendFor;
        message = it;
    }
    if (!reader.isWhole())
        return std::nullopt;
    return message;
}

} // namespace

std::string encodeMessages(const std::vector<Message> &messages)
{
    json list = json::array();
    for (const Message &it : messages)
        list.push_back(std::visit(Encoder(), it));
    return wire::toCbor(list);
}

Result<std::vector<Message>> decodeMessages(std::string_view bytes, const std::string &peer)
{
    BOOST_LEAF_AUTO(list, wire::fromCbor(bytes, "limits.decode", peer));
    const Error error{ErrorCode::InvalidRequest,          "limits.decode", peer,
                      "the messages are not well formed", Outcome::NotRun, {}};
    if (!list.is_array() || list.size() > maxMessagesInBody)
        return fail(error);
    std::vector<Message> messages;
    messages.reserve(list.size());
    for (const json &it : list) {
        std::optional<Message> message = readMessage(it);
        if (!message)
            return fail(error);
        messages.push_back(std::move(*message));
    }
    return messages;
}

} // namespace kumquathaven::limits
