#ifndef CASSIAHUB_CODEC_JSON_TEXT_HPP
#define CASSIAHUB_CODEC_JSON_TEXT_HPP

#include <nlohmann/json.hpp>

#include <string>

namespace cassiahub::codec::internal
{

/// \returns \p value as text; bytes that are not UTF-8 become U+FFFD, since a value that
/// cannot be written must not end the process.
inline std::string dump(nlohmann::json const & value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace cassiahub::codec::internal

#endif
