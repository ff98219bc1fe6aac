#ifndef CASSIAHUB_CODEC_JSON_TEXT_HPP
#define CASSIAHUB_CODEC_JSON_TEXT_HPP

#include <nlohmann/json.hpp>

#include <string>

namespace cassiahub::codec::internal
{

/// Serializes \p value. Invalid UTF-8 is replaced by U+FFFD; by default the library would
/// throw an exception, which would end the process.
inline std::string dump(nlohmann::json const & value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace cassiahub::codec::internal

#endif
