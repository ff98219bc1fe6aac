#ifndef CASSIAHUB_HTTP_ADDRESS_HPP
#define CASSIAHUB_HTTP_ADDRESS_HPP

#include <string_view>

namespace cassiahub::http
{

/// \returns true when \p text is "ip:port" with the IPv4 address of one host and a port
/// other than 0, so that a request can be sent to it. Thread-safe.
bool is_host_address(std::string_view text);

} // namespace cassiahub::http

#endif
