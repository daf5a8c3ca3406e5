#include "kumquathaven/answers/messages.h"

#include "kumquathaven/wire/cbor.h"

#include <nlohmann/json.hpp>

namespace kumquathaven::answers {

namespace {

using nlohmann::json;

constexpr std::size_t maxNameBytes = 512;
constexpr std::size_t maxHeaders = 64;
constexpr std::size_t maxHeaderBytes = 8192;
constexpr std::size_t maxChunks = 65'536;
constexpr std::size_t maxChunkBytes = 16UL * 1024 * 1024;

/// Encodes a message as a list of its kind and its fields in order.
class Encoder
{
public:
    json operator()(const Claim &it) const
    {
        return {"claim", it.number, it.key.customer, it.key.work, it.staleHolder};
    }
    json operator()(const ClaimAnswer &it) const { return {"holder", it.number, it.holder}; }
    json operator()(const Fetch &it) const
    {
        return {"fetch", it.number, it.key.customer, it.key.work, it.bodyFingerprint};
    }
    json operator()(const FetchEnd &it) const { return {"end", it.number}; }
    json operator()(const AnswerPart &it) const
    {
        json head;
        if (it.head) {
            json headers = json::array();
            for (const auto &[name, value] : it.head->headers)
                headers.push_back(json::array({name, value}));
            head = json::array({it.head->status, it.head->contentType, std::move(headers)});
        }
        json chunks = json::array();
        for (const std::string &chunk : it.chunks)
            chunks.push_back(wire::binary(chunk));
        return json::array({"part", it.number, it.sequence, static_cast<unsigned>(it.kind),
                            std::move(head), std::move(chunks)});
    }
};

/// Reads the fields of a list in order. Once a field is missing or invalid, reading has failed and
/// all further fields are empty.
class Reader
{
public:
    explicit Reader(const json &fields)
        : m_fields(fields)
        , m_failed(!fields.is_array())
    { }

    bool isComplete() const { return !m_failed && m_next == m_fields.size(); }

    std::uint64_t number(std::uint64_t maxValue = UINT64_MAX)
    {
        const json *it = next();
        const bool isValid = it && it->is_number_unsigned() && it->get<std::uint64_t>() <= maxValue;
        m_failed = m_failed || !isValid;
        return isValid ? it->get<std::uint64_t>() : 0;
    }
    std::string text(std::size_t maxBytes = maxNameBytes)
    {
        const json *it = next();
        const bool isValid =
            it && it->is_string() && it->get_ref<const std::string &>().size() <= maxBytes;
        m_failed = m_failed || !isValid;
        return isValid ? it->get<std::string>() : std::string();
    }
    std::string bytes(std::size_t maxBytes)
    {
        const json *it = next();
        const bool isValid = it && it->is_binary() && it->get_binary().size() <= maxBytes;
        m_failed = m_failed || !isValid;
        return isValid ? std::string(it->get_binary().begin(), it->get_binary().end())
                       : std::string();
    }
    /// Calls \p read with a reader for each element of a list.
    template <typename Read>
    void list(std::size_t maxLength, Read read)
    {
        const json *it = next();
        m_failed = m_failed || !it || !it->is_array() || it->size() > maxLength;
        for (std::size_t i = 0; !m_failed && i < it->size(); ++i) {
            const json element = it->at(i).is_array() ? it->at(i) : json::array({it->at(i)});
            Reader reader(element);
            read(reader);
            m_failed = !reader.isComplete();
        }
    }
    /// Returns a reader for a list, or nothing if the field is null.
    std::optional<Reader> optionalList()
    {
        const json *it = next();
        if (!it || it->is_null())
            return std::nullopt;
        return Reader(*it);
    }
    void require(bool isValid) { m_failed = m_failed || !isValid; }

private:
    const json *next()
    {
        m_failed = m_failed || m_next >= m_fields.size();
        return m_failed ? nullptr : &m_fields[m_next++];
    }

    const json &m_fields;
    std::size_t m_next = 0;
    bool m_failed = false;
};

WorkKey readKey(Reader &reader)
{
    std::string customer = reader.text();
    return {std::move(customer), reader.text()};
}

AnswerPart readPart(Reader &reader)
{
    AnswerPart part;
    part.number = reader.number();
    part.sequence = reader.number();
    part.kind = static_cast<PartKind>(reader.number(static_cast<unsigned>(PartKind::Failed)));
    if (std::optional<Reader> head = reader.optionalList()) {
        part.head.emplace();
        part.head->status = static_cast<int>(head->number(999));
        part.head->contentType = head->text();
        head->list(maxHeaders, [&](Reader &it) {
            std::string name = it.text();
            part.head->headers.emplace_back(std::move(name), it.text(maxHeaderBytes));
        });
        reader.require(head->isComplete());
    }
    reader.list(maxChunks, [&](Reader &it) {
        part.chunks.push_back(it.bytes(maxChunkBytes));
    });
    return part;
}

/// Reads one message. Returns nothing if it is malformed.
std::optional<FleetMessage> readMessage(const json &value)
{
    Reader reader(value);
    const std::string kind = reader.text();
    std::optional<FleetMessage> message;
    if (kind == "claim") {
        const std::uint64_t number = reader.number();
        WorkKey key = readKey(reader);
        message = Claim{number, std::move(key), reader.text()};
    } else if (kind == "holder") {
        const std::uint64_t number = reader.number();
        message = ClaimAnswer{number, reader.text()};
    } else if (kind == "fetch") {
        const std::uint64_t number = reader.number();
        WorkKey key = readKey(reader);
        message = Fetch{number, std::move(key), reader.text()};
    } else if (kind == "end") {
        message = FetchEnd{reader.number()};
    } else if (kind == "part") {
        message = readPart(reader);
    }
    if (!reader.isComplete())
        return std::nullopt;
    return message;
}

} // namespace

std::string encodeMessage(const FleetMessage &message)
{
    return wire::toCbor(std::visit(Encoder(), message));
}

Result<FleetMessage> decodeMessage(std::string_view bytes, const std::string &peer)
{
    BOOST_LEAF_AUTO(value, wire::fromCbor(bytes, "answers.decode", peer));
    std::optional<FleetMessage> message = readMessage(value);
    if (!message)
        return fail({ErrorCode::InvalidRequest,
                     "answers.decode",
                     peer,
                     "the message is not well formed",
                     Outcome::NotRun,
                     {}});
    return std::move(*message);
}

} // namespace kumquathaven::answers
