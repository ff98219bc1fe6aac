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

/// \returns the endpoint "ip:port", or nothing when \p address is not one.
std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(std::string_view address);

/// Sends without delay, and breaks the connection when data stays unacknowledged.
void tune_socket(boost::asio::ip::tcp::socket & socket, duration user_timeout);

request from_beast(beast_request && received);
response from_beast(beast_response && received);
beast_request to_beast(request && sent, std::string_view host);
beast_response to_beast(response && sent, bool keep_alive);

} // namespace cassiahub::http::internal

#endif
