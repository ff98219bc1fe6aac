#include <cassiahub/http/client.hpp>
#include <cassiahub/runtime/boot_clock.hpp>

#include <civetweb.h>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <iterator>
#include <string>

namespace cassiahub::http
{

namespace internal
{

constexpr std::size_t error_text_size = 128;
/// CivetWeb's message when a connection ends, or a timeout passes, without any data.
constexpr std::string_view no_data_text = "No data received";
/// A wait that ends less than this before its timeout counts as timed out.
constexpr duration timeout_precision = std::chrono::milliseconds(5);

bool split_address(std::string_view address, std::string & host, int & port)
{
    std::size_t const colon = address.rfind(':');
    if (colon == std::string_view::npos)
    {
        return false;
    }
    host = address.substr(0, colon);
    std::string_view const digits = address.substr(colon + 1);
    auto const result =
        std::from_chars(digits.data(), digits.data() + digits.size(), port);
    return result.ec == std::errc() && port > 0 && port <= 65'535;
}

fmt::memory_buffer format_request(request const & message, std::string_view host)
{
    fmt::memory_buffer text;
    auto out = std::back_inserter(text);
    fmt::format_to(out, "{} {}{}{} HTTP/1.1\r\nHost: {}\r\nContent-Length: {}\r\n",
                   message.m_method, message.m_path, message.m_query.empty() ? "" : "?",
                   message.m_query, host, message.m_body.size());
    for (header const & field : message.m_headers)
    {
        fmt::format_to(out, "{}: {}\r\n", field.m_name, field.m_value);
    }
    fmt::format_to(out, "\r\n{}", message.m_body);
    return text;
}

/// \returns true for a status whose responses have no body, even with a Content-Length.
bool never_has_body(int status) noexcept
{
    return status == 204 || status == 304;
}

std::error_code read_response(mg_connection * handle, std::size_t max_body_bytes,
                              response & received)
{
    mg_response_info const & info = *mg_get_response_info(handle);
    received = response();
    received.m_status = info.status_code;
    for (int index = 0; index < info.num_headers; ++index)
    {
        mg_header const & field = info.http_headers[index];
        received.m_headers.push_back({field.name, field.value});
    }
    received.m_content_type = find_header(received.m_headers, "Content-Type");
    if (info.content_length > 0 &&
        static_cast<std::size_t>(info.content_length) > max_body_bytes)
    {
        return http_errc::response_lost;
    }
    char buffer[16 * 1024];
    int count = 0;
    // Without a body mg_read() would block until the connection closes.
    bool const has_body = info.content_length != 0 && !never_has_body(info.status_code);
    while (has_body && (count = mg_read(handle, buffer, sizeof buffer)) > 0)
    {
        received.m_body.append(buffer, static_cast<std::size_t>(count));
        if (received.m_body.size() > max_body_bytes)
        {
            return http_errc::response_lost;
        }
    }
    bool const complete =
        !has_body ||
        (count == 0 && info.content_length >= 0 &&
         received.m_body.size() == static_cast<std::size_t>(info.content_length));
    return complete ? std::error_code() : make_error_code(http_errc::response_lost);
}

} // namespace internal

void connection_deleter::operator()(mg_connection * connection) const noexcept
{
    mg_close_connection(connection);
}

connection connect(std::string_view address, std::error_code & error)
{
    std::string host;
    int port = 0;
    if (!internal::split_address(address, host, port))
    {
        error = http_errc::bad_address;
        return {};
    }
    char error_text[internal::error_text_size] = {};
    connection opened;
    opened.m_handle.reset(
        mg_connect_client(host.c_str(), port, 0, error_text, sizeof error_text));
    error =
        opened.m_handle ? std::error_code() : make_error_code(http_errc::connect_failed);
    return opened;
}

std::error_code exchange(connection & used, request const & message,
                         std::string_view host, duration timeout, response & received)
{
    fmt::memory_buffer const text = internal::format_request(message, host);
    int const written = mg_write(used.m_handle.get(), text.data(), text.size());
    if (written <= 0)
    {
        return http_errc::send_failed;
    }
    if (static_cast<std::size_t>(written) != text.size())
    {
        return http_errc::response_lost;
    }
    int const timeout_ms = static_cast<int>(std::max<std::int64_t>(
        1, std::min<std::int64_t>(to_milliseconds(timeout), 3'600'000)));
    time_point const sent_at = runtime::read_boot_clock();
    char error_text[internal::error_text_size] = {};
    if (mg_get_response(used.m_handle.get(), error_text, sizeof error_text, timeout_ms) <
        0)
    {
        bool const in_time =
            runtime::read_boot_clock() - sent_at + internal::timeout_precision <
            std::chrono::milliseconds(timeout_ms);
        return in_time && error_text == internal::no_data_text
                   ? http_errc::connection_broken
                   : http_errc::response_lost;
    }
    return internal::read_response(used.m_handle.get(), used.m_max_body_bytes, received);
}

std::error_code exchange_once(std::string_view address, request const & message,
                              duration timeout, response & received)
{
    std::error_code error;
    connection opened = connect(address, error);
    if (error)
    {
        return error;
    }
    return exchange(opened, message, address, timeout, received);
}

} // namespace cassiahub::http
