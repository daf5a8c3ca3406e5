#include "kumquathaven/wire/cbor.h"

#include <nlohmann/json.hpp>

#include <limits>

namespace kumquathaven::wire {

namespace {

// No message of the project nests deeper. The bound keeps malicious input from exhausting the
// stack.
constexpr std::size_t maxDepth = 24;

/// Builds a JSON value. Rejects input that nests deeper than maxDepth, and containers whose
/// declared size exceeds the number of input bytes, for which the library would throw.
class DepthGuard : public nlohmann::detail::json_sax_dom_parser<nlohmann::json>
{
public:
    using Base = nlohmann::detail::json_sax_dom_parser<nlohmann::json>;
    DepthGuard(nlohmann::json &value, std::size_t maxElements)
        : Base(value, false)
        , m_maxElements(maxElements)
    { }
    // The library's SAX interface sets these names.
    // NOLINTNEXTLINE(readability-identifier-naming)
    bool start_object(std::size_t n) { return enter(n) && Base::start_object(n); }
    // NOLINTNEXTLINE(readability-identifier-naming)
    bool end_object()
    {
        --m_depth;
        return Base::end_object();
    }
    // NOLINTNEXTLINE(readability-identifier-naming)
    bool start_array(std::size_t n) { return enter(n) && Base::start_array(n); }
    // NOLINTNEXTLINE(readability-identifier-naming)
    bool end_array()
    {
        --m_depth;
        return Base::end_array();
    }

private:
    bool enter(std::size_t n)
    {
        const bool isSizeUnknown = n == static_cast<std::size_t>(-1);
        return ++m_depth <= maxDepth && (isSizeUnknown || n <= m_maxElements);
    }

    std::size_t m_maxElements;
    std::size_t m_depth = 0;
};

} // namespace

nlohmann::json binary(std::string_view bytes)
{
    return nlohmann::json::binary(
        nlohmann::json::binary_t::container_type(bytes.begin(), bytes.end()));
}

std::optional<std::int64_t> toInteger(const nlohmann::json &value)
{
    constexpr std::uint64_t maxValue = std::numeric_limits<std::int64_t>::max();
    if (!value.is_number_integer())
        return std::nullopt;
    if (value.is_number_unsigned() && value.get<std::uint64_t>() > maxValue)
        return std::nullopt;
    return value.get<std::int64_t>();
}

std::string toCbor(const nlohmann::json &value)
{
    std::string bytes;
    nlohmann::json::to_cbor(value, bytes);
    return bytes;
}

Result<nlohmann::json> fromCbor(std::string_view bytes, const std::string &step,
                                const std::string &peer)
{
    nlohmann::json value;
    DepthGuard guard(value, bytes.size());
    const bool isComplete =
        nlohmann::json::sax_parse(bytes, &guard, nlohmann::json::input_format_t::cbor, true);
    if (!isComplete || guard.is_errored())
        return fail({ErrorCode::InvalidRequest, step, peer, "not valid CBOR", Outcome::NotRun, {}});
    return value;
}

} // namespace kumquathaven::wire
