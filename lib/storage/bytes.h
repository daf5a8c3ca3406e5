// Little-endian numbers and strings in byte strings.

#ifndef KUMQUATHAVEN_STORAGE_BYTES_H
#define KUMQUATHAVEN_STORAGE_BYTES_H

#include <cstdint>
#include <string>
#include <string_view>

namespace kumquathaven::storage {

/// Appends a number in little-endian order.
template <typename Number>
void putNumber(std::string &out, Number value)
{
    for (std::size_t n = 0; n < sizeof(Number); ++n)
        out.push_back(static_cast<char>((value >> (8 * n)) & 0xffU));
}

/// Appends a string with its length before it.
inline void putString(std::string &out, std::string_view value)
{
    putNumber<std::uint32_t>(out, static_cast<std::uint32_t>(value.size()));
    out.append(value);
}

/// Takes numbers and strings off the front of a byte string. After the first failure every call
/// returns an empty value and isValid() is false.
class ByteReader
{
public:
    explicit ByteReader(std::string_view bytes)
        : m_rest(bytes)
    { }

    template <typename Number>
    Number number()
    {
        if (!need(sizeof(Number)))
            return 0;
        Number value = 0;
        for (std::size_t n = 0; n < sizeof(Number); ++n) {
            const auto byte = static_cast<unsigned char>(m_rest[n]);
            value = static_cast<Number>(value | (static_cast<Number>(byte) << (8 * n)));
        }
        m_rest.remove_prefix(sizeof(Number));
        return value;
    }

    std::string_view string() { return take(number<std::uint32_t>()); }

    std::string_view take(std::size_t size)
    {
        if (!need(size))
            return {};
        const std::string_view taken = m_rest.substr(0, size);
        m_rest.remove_prefix(size);
        return taken;
    }

    std::string_view rest() const { return m_rest; }
    bool isValid() const { return m_valid; }
    /// Whether everything was read and nothing failed.
    bool isComplete() const { return m_valid && m_rest.empty(); }

private:
    bool need(std::size_t size)
    {
        m_valid = m_valid && m_rest.size() >= size;
        return m_valid;
    }

    std::string_view m_rest;
    bool m_valid = true;
};

} // namespace kumquathaven::storage

#endif // KUMQUATHAVEN_STORAGE_BYTES_H
