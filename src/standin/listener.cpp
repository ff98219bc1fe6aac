#include "standin/listener.hpp"

#include <cassiahub/http/error.hpp>

#include <civetweb.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <charconv>
#include <filesystem>
#include <iterator>
#include <utility>
#include <vector>

namespace cassiahub::standin::internal
{

struct listener_state
{
    request_handler m_handler;
    mg_context * m_context = nullptr;
};

namespace
{

constexpr std::size_t max_body_bytes = 16 * 1024 * 1024;

bool read_body(mg_connection * connection, std::string & body)
{
    char buffer[16 * 1024];
    int count = 0;
    while ((count = mg_read(connection, buffer, sizeof buffer)) > 0)
    {
        body.append(buffer, static_cast<std::size_t>(count));
        if (body.size() > max_body_bytes)
        {
            return false;
        }
    }
    return count == 0;
}

http::request convert_request(mg_request_info const & info)
{
    http::request converted;
    converted.m_method = info.request_method;
    converted.m_path = info.local_uri != nullptr ? info.local_uri : "";
    converted.m_query = info.query_string != nullptr ? info.query_string : "";
    for (int index = 0; index < info.num_headers; ++index)
    {
        converted.m_headers.push_back(
            {info.http_headers[index].name, info.http_headers[index].value});
    }
    return converted;
}

void write_response(mg_connection * connection, http::response const & response)
{
    fmt::memory_buffer text;
    auto out = std::back_inserter(text);
    fmt::format_to(out, "HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n",
                   response.m_status,
                   mg_get_response_code_text(nullptr, response.m_status),
                   response.m_content_type, response.m_body.size());
    for (http::header const & field : response.m_headers)
    {
        fmt::format_to(out, "{}: {}\r\n", field.m_name, field.m_value);
    }
    fmt::format_to(out, "\r\n{}", response.m_body);
    mg_write(connection, text.data(), text.size());
}

int handle_request(mg_connection * connection, void * user_data)
{
    auto const & state = *static_cast<listener_state *>(user_data);
    http::request received = convert_request(*mg_get_request_info(connection));
    bool const complete = read_body(connection, received.m_body);
    optional_response const response =
        complete ? state.m_handler(received) : std::nullopt;
    if (!response)
    {
        mg_close_connection(connection);
        return 499;
    }
    write_response(connection, *response);
    return response->m_status;
}

} // namespace

void listener_deleter::operator()(listener_state * state) const noexcept
{
    if (state->m_context != nullptr)
    {
        mg_stop(state->m_context);
    }
    delete state;
}

listener start_listener(std::string const & address, std::uint32_t threads,
                        request_handler handler, std::error_code & error)
{
    listener started(new listener_state{std::move(handler)});
    std::string const thread_count = std::to_string(threads);
    char const * settings[] = {"listening_ports",
                               address.c_str(),
                               "num_threads",
                               thread_count.c_str(),
                               "request_timeout_ms",
                               "20000",
                               "keep_alive_timeout_ms",
                               "20000",
                               "enable_keep_alive",
                               "yes",
                               "tcp_nodelay",
                               "1",
                               nullptr};
    mg_callbacks callbacks{};
    started->m_context = mg_start(&callbacks, started.get(), settings);
    if (started->m_context == nullptr)
    {
        error = http::http_errc::bind_failed;
        return nullptr;
    }
    mg_set_request_handler(started->m_context, "**", handle_request, started.get());
    error.clear();
    return started;
}

void close_sockets(std::uint32_t port)
{
    std::vector<int> connections;
    // CivetWeb gives no access to its sockets.
    for (auto const & entry : std::filesystem::directory_iterator("/proc/self/fd"))
    {
        auto const fd = static_cast<int>(to_number(entry.path().filename().string()));
        sockaddr_in address{};
        socklen_t length = sizeof address;
        if (getsockname(fd, reinterpret_cast<sockaddr *>(&address), &length) != 0 ||
            address.sin_family != AF_INET || ntohs(address.sin_port) != port)
        {
            continue;
        }
        int listens = 0;
        length = sizeof listens;
        getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &length);
        if (listens != 0)
        {
            shutdown(fd, SHUT_RDWR);
        }
        else
        {
            connections.push_back(fd);
        }
    }
    for (int const fd : connections)
    {
        shutdown(fd, SHUT_RDWR);
    }
}

http::response make_text(int status, std::string text)
{
    return {status, "text/plain", {}, std::move(text)};
}

http::response make_json(std::string text)
{
    return {200, "application/json", {}, std::move(text)};
}

std::uint64_t to_number(std::string_view text) noexcept
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

} // namespace cassiahub::standin::internal
