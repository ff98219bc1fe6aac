#ifndef CASSIAHUB_FUZZ_SPLICED_INPUT_HPP
#define CASSIAHUB_FUZZ_SPLICED_INPUT_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

/// \returns \p valid with a part of it replaced by \p input, so that short inputs reach
/// the code behind the first checks. The first byte selects where the part begins, the
/// second how long it is.
inline std::string splice(std::string_view valid, std::span<std::uint8_t const> input)
{
    if (input.size() < 2)
    {
        return std::string(valid);
    }
    std::size_t const begin = std::min<std::size_t>(input[0], valid.size());
    std::string text(valid);
    text.replace(begin, input[1], reinterpret_cast<char const *>(input.data()) + 2,
                 input.size() - 2);
    return text;
}

#endif
