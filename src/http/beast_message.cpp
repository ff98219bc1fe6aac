#include "http/beast_message.hpp"

#include <boost/asio/ip/address_v4.hpp>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <charconv>
#include <string>
#include <utility>
#include <vector>

namespace cassiahub::http::internal
{

namespace beast = boost::beast;

namespace
{

constexpr unsigned http_1_1 = 11;

std::string to_string(beast::string_view text)
{
    return {text.data(), text.size()};
}

beast::string_view to_beast_view(std::string_view text)
{
    return {text.data(), text.size()};
}

template <typename Fields>
std::vector<header> copy_headers(Fields const & fields)
{
    std::vector<header> headers;
    for (auto const & field : fields)
    {
        headers.push_back({to_string(field.name_string()), to_string(field.value())});
    }
    return headers;
}

} // namespace

std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(std::string_view address)
{
    std::size_t const colon = address.rfind(':');
    if (colon == std::string_view::npos)
    {
        return std::nullopt;
    }
    boost::system::error_code error;
    auto const ip =
        boost::asio::ip::make_address_v4(std::string(address.substr(0, colon)), error);
    std::uint16_t port = 0;
    std::string_view const digits = address.substr(colon + 1);
    auto const [end, failure] =
        std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error || failure != std::errc() || end != digits.data() + digits.size())
    {
        return std::nullopt;
    }
    return boost::asio::ip::tcp::endpoint(ip, port);
}

void set_socket_options(boost::asio::ip::tcp::socket & socket, duration user_timeout)
{
    // A connection works without these options too, with more delay and slower detection
    // of a lost peer, so errors from setting them are ignored.
    boost::system::error_code ignored;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    auto const timeout = static_cast<unsigned>(to_milliseconds(user_timeout));
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
                 sizeof timeout);
}

request from_beast(beast_request && received)
{
    request result;
    result.m_method = to_string(received.method_string());
    std::string_view const target(received.target().data(), received.target().size());
    std::size_t const question_mark = target.find('?');
    result.m_path = target.substr(0, question_mark);
    if (question_mark != std::string_view::npos)
    {
        result.m_query = target.substr(question_mark + 1);
    }
    result.m_headers = copy_headers(received);
    result.m_body = std::move(received.body());
    return result;
}

response from_beast(beast_response && received)
{
    response result;
    result.m_status = static_cast<int>(received.result_int());
    result.m_content_type = to_string(received[beast::http::field::content_type]);
    result.m_headers = copy_headers(received);
    result.m_body = std::move(received.body());
    return result;
}

beast_request to_beast(request && message, std::string_view host)
{
    beast_request result;
    result.version(http_1_1);
    result.method_string(to_beast_view(message.m_method));
    std::string target = std::move(message.m_path);
    if (!message.m_query.empty())
    {
        target += '?';
        target += message.m_query;
    }
    result.target(target);
    result.set(beast::http::field::host, to_beast_view(host));
    for (header const & field : message.m_headers)
    {
        result.set(field.m_name, field.m_value);
    }
    result.body() = std::move(message.m_body);
    result.prepare_payload();
    return result;
}

beast_response to_beast(response && message, bool keep_alive)
{
    beast_response result;
    result.version(http_1_1);
    result.result(static_cast<unsigned>(message.m_status));
    if (!message.m_content_type.empty())
    {
        result.set(beast::http::field::content_type, message.m_content_type);
    }
    for (header const & field : message.m_headers)
    {
        result.set(field.m_name, field.m_value);
    }
    result.keep_alive(keep_alive);
    result.body() = std::move(message.m_body);
    result.prepare_payload();
    return result;
}

} // namespace cassiahub::http::internal
