#ifndef CASSIAHUB_CONFIG_VALUE_PARSERS_HPP
#define CASSIAHUB_CONFIG_VALUE_PARSERS_HPP

#include <cassiahub/config/interference_settings.hpp>
#include <cassiahub/core/time.hpp>

#include <cstdint>
#include <string_view>
#include <vector>

namespace cassiahub::config::internal
{

// The parse functions return false, and leave \p value unchanged, when the text is not
// allowed.

/// Parses a decimal number in [\p low, \p high].
bool parse_number(std::string_view text, std::uint32_t low, std::uint32_t high,
                  std::uint32_t & value) noexcept;

/// Parses "yes" or "no".
bool parse_boolean(std::string_view text, bool & value) noexcept;

/// Parses a non-negative integer followed by ms, s or min. The result must be in
/// [\p low, \p high].
bool parse_duration(std::string_view text, duration low, duration high,
                    duration & value) noexcept;

/// Parses "off", "observe" or "avoid".
bool parse_interference_mode(std::string_view text, interference_mode & value) noexcept;

/// Parses pairs of names as in "a+b, c+d".
bool parse_kind_pairs(std::string_view text, std::vector<kind_pair> & value);

/// \returns true for "a.b.c.d:port" with a port in 1 to 65535.
bool is_socket_address(std::string_view text) noexcept;

/// \returns true for 1 to 64 letters, digits, '-' and '_'.
bool is_name(std::string_view text) noexcept;

} // namespace cassiahub::config::internal

#endif
