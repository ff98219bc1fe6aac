#include <cassiahub/http/error.hpp>
#include <cassiahub/http/server.hpp>

#include <civetweb.h>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <iterator>
#include <mutex>
#include <utility>

namespace cassiahub::http
{

struct server_state
{
    server_options m_options;
    request_handler m_handler;
    mg_context * m_context = nullptr;
    std::mutex m_mutex;
    std::condition_variable m_idle;
    std::size_t m_active_requests = 0;
    std::atomic<std::size_t> m_held_bytes{0}; ///< of bodies until their response
};

namespace internal
{

/// Response to a body above the limit. The handler isn't called, so nothing ran.
constexpr char const * too_large_problem =
    R"({"type":"about:blank","title":"body_too_large","status":413,)"
    R"("code":"body_too_large","ran":"no"})";

/// Response to a body for which there is no memory. The handler isn't called, so nothing
/// ran.
constexpr char const * overloaded_problem =
    R"({"type":"about:blank","title":"overloaded","status":503,)"
    R"("code":"overloaded","ran":"no"})";

/// Counts the bytes of a body as held until its request is finished.
class held_body
{
public:
    explicit held_body(server_state & state) : m_state(state) {}

    held_body(held_body const &) = delete;
    held_body & operator=(held_body const &) = delete;

    ~held_body()
    {
        m_state.m_held_bytes -= m_bytes;
    }

    /// Counts \p bytes instead of the previous number.
    /// \returns false when all bodies together exceed the limit.
    bool update(std::size_t bytes)
    {
        std::size_t const added = bytes - m_bytes; // wraps around when bytes shrink
        m_bytes = bytes;
        return m_state.m_held_bytes.fetch_add(added) + added <=
               m_state.m_options.m_max_held_bytes;
    }

private:
    server_state & m_state;
    std::size_t m_bytes = 0;
};

/// Counts a request as active, from reading its body until its response is written.
class active_request
{
public:
    explicit active_request(server_state & state) : m_state(state)
    {
        std::lock_guard<std::mutex> const lock(m_state.m_mutex);
        ++m_state.m_active_requests;
    }

    active_request(active_request const &) = delete;
    active_request & operator=(active_request const &) = delete;

    ~active_request()
    {
        std::lock_guard<std::mutex> const lock(m_state.m_mutex);
        if (--m_state.m_active_requests == 0)
        {
            m_state.m_idle.notify_all();
        }
    }

private:
    server_state & m_state;
};

enum class body_status
{
    complete,
    too_large,
    no_memory,
    incomplete
};

body_status read_body(mg_connection * connection, long long content_length,
                      std::size_t limit, std::string & body, held_body & held)
{
    if (content_length > 0 && static_cast<std::size_t>(content_length) > limit)
    {
        return body_status::too_large;
    }
    // Pages that the client hasn't filled take no memory, so a declared length costs
    // nothing before the body arrives.
    body.reserve(content_length > 0 ? static_cast<std::size_t>(content_length) : 0);
    char buffer[16 * 1024];
    int count = 0;
    while ((count = mg_read(connection, buffer, sizeof buffer)) > 0)
    {
        std::size_t const size = body.size() + static_cast<std::size_t>(count);
        if (size > limit)
        {
            return body_status::too_large;
        }
        // A body of unknown length doubles its memory when it grows.
        std::size_t const needed = content_length > 0        ? size
                                   : size <= body.capacity() ? body.capacity()
                                                             : 2 * size;
        if (!held.update(needed))
        {
            return body_status::no_memory;
        }
        body.append(buffer, static_cast<std::size_t>(count));
    }
    bool const complete =
        count == 0 &&
        (content_length < 0 || body.size() == static_cast<std::size_t>(content_length));
    return complete ? body_status::complete : body_status::incomplete;
}

void report_limit(server_state const & state, client_limit limit, std::string_view client)
{
    if (state.m_options.m_limit_reached)
    {
        state.m_options.m_limit_reached(limit, client);
    }
}

request make_request(mg_request_info const & info)
{
    request converted;
    converted.m_method = info.request_method;
    converted.m_path = info.local_uri != nullptr ? info.local_uri : "";
    converted.m_query = info.query_string != nullptr ? info.query_string : "";
    for (int index = 0; index < info.num_headers; ++index)
    {
        mg_header const & field = info.http_headers[index];
        converted.m_headers.push_back({field.name, field.value});
    }
    return converted;
}

/// Writes \p message with one call: separate segments for headers and body cost 44 ms
/// through Nagle's algorithm and delayed acknowledgements.
void write_response(mg_connection * connection, response const & message, bool keep_open)
{
    fmt::memory_buffer text;
    auto out = std::back_inserter(text);
    fmt::format_to(out,
                   "HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n"
                   "Connection: {}\r\n",
                   message.m_status, mg_get_response_code_text(nullptr, message.m_status),
                   message.m_content_type, message.m_body.size(),
                   keep_open ? "keep-alive" : "close");
    for (header const & field : message.m_headers)
    {
        fmt::format_to(out, "{}: {}\r\n", field.m_name, field.m_value);
    }
    fmt::format_to(out, "\r\n{}", message.m_body);
    mg_write(connection, text.data(), text.size());
}

/// \returns false for the header "Connection: close".
bool wants_keep_alive(request const & received)
{
    std::string_view const value = find_header(received.m_headers, "Connection");
    return !(value.size() == 5 && (value[0] == 'c' || value[0] == 'C'));
}

/// Turns an exception into status 500; it must not propagate through CivetWeb's C code.
response call_handler(server_state const & state, request const & received)
{
    try
    {
        return state.m_handler(received);
    }
    catch (...)
    {
        return {500, "text/plain", {}, "internal error\n"};
    }
}

/// \returns the status that CivetWeb records: that of the response, or 499 when the body
/// was incomplete and no response was written.
int handle_request(mg_connection * connection, void * user_data)
{
    auto & state = *static_cast<server_state *>(user_data);
    active_request const active(state);
    mg_request_info const & info = *mg_get_request_info(connection);
    request received = make_request(info);
    held_body held(state);
    body_status const outcome =
        read_body(connection, info.content_length, state.m_options.m_max_body_bytes,
                  received.m_body, held);
    if (outcome == body_status::incomplete)
    {
        mg_close_connection(connection);
        return 499;
    }
    if (outcome == body_status::no_memory)
    {
        report_limit(state, client_limit::held_bytes, info.remote_addr);
        received.m_body = std::string();
        write_response(
            connection,
            {503, "application/problem+json", {{"Retry-After", "1"}}, overloaded_problem},
            false);
        mg_close_connection(connection);
        return 503;
    }
    if (outcome == body_status::too_large)
    {
        report_limit(state, client_limit::body_bytes, info.remote_addr);
        write_response(connection,
                       {413, "application/problem+json", {}, too_large_problem}, false);
        return 413;
    }
    response const message = call_handler(state, received);
    write_response(connection, message, wants_keep_alive(received));
    return message.m_status;
}

mg_context * start_context(server_state & state)
{
    server_options const & options = state.m_options;
    std::string const threads = std::to_string(options.m_threads);
    std::string const request_timeout =
        std::to_string(to_milliseconds(options.m_request_timeout));
    std::string const keep_alive_timeout =
        std::to_string(to_milliseconds(options.m_keep_alive_timeout));
    char const * settings[] = {"listening_ports",
                               options.m_address.c_str(),
                               "num_threads",
                               threads.c_str(),
                               "request_timeout_ms",
                               request_timeout.c_str(),
                               "keep_alive_timeout_ms",
                               keep_alive_timeout.c_str(),
                               "enable_keep_alive",
                               "yes",
                               "tcp_nodelay",
                               "1",
                               "max_request_size",
                               "16384",
                               nullptr};
    mg_callbacks callbacks{};
    return mg_start(&callbacks, &state, settings);
}

} // namespace internal

void server_deleter::operator()(server_state * state) const noexcept
{
    if (state->m_context != nullptr)
    {
        mg_stop(state->m_context);
    }
    delete state;
}

server start_server(server_options options, request_handler handler,
                    std::error_code & error)
{
    server started(new server_state);
    started->m_options = std::move(options);
    started->m_handler = std::move(handler);
    started->m_context = internal::start_context(*started);
    if (started->m_context == nullptr)
    {
        error = http_errc::bind_failed;
        return nullptr;
    }
    mg_set_request_handler(started->m_context, "**", internal::handle_request,
                           started.get());
    error.clear();
    return started;
}

bool wait_until_idle(server_state & state, duration timeout)
{
    std::unique_lock<std::mutex> lock(state.m_mutex);
    return state.m_idle.wait_for(lock, timeout,
                                 [&state] { return state.m_active_requests == 0; });
}

} // namespace cassiahub::http
