#include "standin/link_stream.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>

namespace cassiahub::standin::internal
{

namespace
{

/// A direction with this many queued bytes stops reading, so that TCP flow control slows
/// the sender.
constexpr std::size_t max_queued_bytes = 1024 * 1024;
constexpr int backlog = 128;

std::error_code last_error() noexcept
{
    return {errno, std::generic_category()};
}

bool to_socket_address(std::string_view text, sockaddr_in & address)
{
    std::size_t const colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        return false;
    }
    std::string const host(text.substr(0, colon));
    std::string_view const digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    auto const parsed =
        std::from_chars(digits.data(), digits.data() + digits.size(), port);
    address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    return parsed.ec == std::errc() && port > 0 &&
           inet_pton(AF_INET, host.c_str(), &address.sin_addr) == 1;
}

descriptor open_socket(std::string_view text, sockaddr_in & address,
                       std::error_code & error)
{
    if (!to_socket_address(text, address))
    {
        error = std::make_error_code(std::errc::invalid_argument);
        return descriptor();
    }
    descriptor opened(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    error = opened.get() < 0 ? last_error() : std::error_code();
    int const on = 1;
    ::setsockopt(opened.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    ::setsockopt(opened.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    return opened;
}

bool is_transient_error(int code) noexcept
{
    return code == EAGAIN || code == EINTR || code == EWOULDBLOCK;
}

} // namespace

descriptor::~descriptor()
{
    if (m_value >= 0)
    {
        ::close(m_value);
    }
}

descriptor open_listener(std::string_view text, std::error_code & error)
{
    sockaddr_in address{};
    descriptor opened = open_socket(text, address, error);
    if (error)
    {
        return descriptor();
    }
    if (::bind(opened.get(), reinterpret_cast<sockaddr *>(&address), sizeof address) !=
            0 ||
        ::listen(opened.get(), backlog) != 0)
    {
        error = last_error();
        return descriptor();
    }
    return opened;
}

descriptor begin_connect(std::string_view text, std::error_code & error)
{
    sockaddr_in address{};
    descriptor opened = open_socket(text, address, error);
    if (!error &&
        ::connect(opened.get(), reinterpret_cast<sockaddr *>(&address), sizeof address) !=
            0 &&
        errno != EINPROGRESS)
    {
        error = last_error();
    }
    return opened;
}

descriptor accept_one(descriptor const & listener)
{
    descriptor opened(
        ::accept4(listener.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    int const on = 1;
    ::setsockopt(opened.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return opened;
}

void reset_on_close(descriptor const & socket) noexcept
{
    linger const immediate_reset{1, 0};
    ::setsockopt(socket.get(), SOL_SOCKET, SO_LINGER, &immediate_reset,
                 sizeof immediate_reset);
}

bool wants_read(stream const & data) noexcept
{
    return !data.m_source_ended && data.m_queued_bytes < max_queued_bytes;
}

bool wants_write(stream const & data, time_point now) noexcept
{
    return data.m_queue.empty() ? data.m_source_ended && !data.m_shutdown_sent
                                : data.m_queue.front().m_send_at <= now;
}

bool read_from(stream & data, descriptor const & source, time_point send_at)
{
    char buffer[64 * 1024];
    ssize_t const count = ::recv(source.get(), buffer, sizeof buffer, 0);
    if (count < 0)
    {
        return is_transient_error(errno);
    }
    if (count == 0)
    {
        data.m_source_ended = true;
        return true;
    }
    auto const length = static_cast<std::size_t>(count);
    data.m_queue.push_back({send_at, std::string(buffer, length)});
    data.m_queued_bytes += length;
    return true;
}

bool write_to(stream & data, descriptor const & destination, time_point now)
{
    while (!data.m_queue.empty() && data.m_queue.front().m_send_at <= now)
    {
        std::string & bytes = data.m_queue.front().m_bytes;
        ssize_t const count =
            ::send(destination.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count < 0)
        {
            return is_transient_error(errno);
        }
        data.m_queued_bytes -= static_cast<std::size_t>(count);
        bytes.erase(0, static_cast<std::size_t>(count));
        if (!bytes.empty())
        {
            return true;
        }
        data.m_queue.pop_front();
    }
    if (data.m_queue.empty() && data.m_source_ended && !data.m_shutdown_sent)
    {
        data.m_shutdown_sent = true;
        // Fails while the connect is in progress or after the peer closed the connection.
        [[maybe_unused]] int const ended = ::shutdown(destination.get(), SHUT_WR);
    }
    return true;
}

} // namespace cassiahub::standin::internal
