#ifndef CASSIAHUB_CORE_TEXT_HPP
#define CASSIAHUB_CORE_TEXT_HPP

#include <string_view>

namespace cassiahub
{

/// \returns true when \p text is UTF-8 without control characters except tab and carriage
/// return. JSON cannot carry text that is not UTF-8.
bool is_printable_utf8(std::string_view text) noexcept;

} // namespace cassiahub

#endif
