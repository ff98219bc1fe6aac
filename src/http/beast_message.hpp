#ifndef CASSIAHUB_SRC_HTTP_BEAST_MESSAGE_HPP
#define CASSIAHUB_SRC_HTTP_BEAST_MESSAGE_HPP

#include <cassiahub/core/time.hpp>
#include <cassiahub/http/message.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>
#include <string_view>

namespace cassiahub::http::internal
{

using beast_request = boost::beast::http::request<boost::beast::http::string_body>;
using beast_response = boost::beast::http::response<boost::beast::http::string_body>;

/// \returns the endpoint, or std::nullopt when \p address isn't an IPv4 "ip:port".
std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(std::string_view address);

/// Sets TCP_NODELAY, and TCP_USER_TIMEOUT to \p user_timeout: the connection fails when
/// sent data stays unacknowledged for longer. Errors from setting the options are
/// ignored.
void set_socket_options(boost::asio::ip::tcp::socket & socket, duration user_timeout);

// Conversions between the messages of this module and those of Boost.Beast.
request from_beast(beast_request && received);
response from_beast(beast_response && received);
beast_request to_beast(request && message, std::string_view host);
beast_response to_beast(response && message, bool keep_alive);

} // namespace cassiahub::http::internal

#endif
