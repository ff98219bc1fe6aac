#ifndef CASSIAHUB_HTTP_MESSAGE_HPP
#define CASSIAHUB_HTTP_MESSAGE_HPP

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cassiahub::http
{

struct header
{
    std::string m_name;
    std::string m_value;
};

/// A request, as a server received it or as a client sends it.
struct request
{
    std::string m_method;
    std::string m_path;  ///< without the query
    std::string m_query; ///< without the question mark, not decoded
    std::vector<header> m_headers;
    std::string m_body;
};

/// A response, as a server sends it or as a client received it.
struct response
{
    int m_status = 200;
    std::string m_content_type = "application/json";
    std::vector<header> m_headers;
    std::string m_body;
};

/// \returns the value of the header called \p name, ignoring case, or an empty view.
std::string_view find_header(std::span<header const> headers,
                             std::string_view name) noexcept;

/// \returns the decoded value of \p name in the query string \p query; an empty string
/// when it is absent or longer than 511 bytes.
std::string query_value(std::string_view query, std::string_view name);

} // namespace cassiahub::http

#endif
