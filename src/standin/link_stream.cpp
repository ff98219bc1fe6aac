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

/// A direction that holds this much reads no further, as a full socket buffer would.
constexpr std::size_t max_queued = 1024 * 1024;
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
    descriptor made(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    error = made.get() < 0 ? last_error() : std::error_code();
    int const on = 1;
    ::setsockopt(made.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    ::setsockopt(made.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    return made;
}

bool is_temporary(int code) noexcept
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
    descriptor made = open_socket(text, address, error);
    if (error)
    {
        return descriptor();
    }
    if (::bind(made.get(), reinterpret_cast<sockaddr *>(&address), sizeof address) != 0 ||
        ::listen(made.get(), backlog) != 0)
    {
        error = last_error();
        return descriptor();
    }
    return made;
}

descriptor begin_connect(std::string_view text, std::error_code & error)
{
    sockaddr_in address{};
    descriptor made = open_socket(text, address, error);
    if (!error &&
        ::connect(made.get(), reinterpret_cast<sockaddr *>(&address), sizeof address) !=
            0 &&
        errno != EINPROGRESS)
    {
        error = last_error();
    }
    return made;
}

descriptor accept_one(descriptor const & listener)
{
    descriptor made(
        ::accept4(listener.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    int const on = 1;
    ::setsockopt(made.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return made;
}

void reset_on_close(descriptor const & socket) noexcept
{
    linger const at_once{1, 0};
    ::setsockopt(socket.get(), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

bool wants_read(stream const & data) noexcept
{
    return !data.m_read_ended && data.m_queued < max_queued;
}

bool wants_write(stream const & data, time_point now) noexcept
{
    return data.m_queue.empty() ? data.m_read_ended && !data.m_write_ended
                                : data.m_queue.front().m_ready <= now;
}

bool read_from(stream & data, descriptor const & source, time_point ready)
{
    char buffer[64 * 1024];
    ssize_t const count = ::recv(source.get(), buffer, sizeof buffer, 0);
    if (count < 0)
    {
        return is_temporary(errno);
    }
    if (count == 0)
    {
        data.m_read_ended = true;
        return true;
    }
    auto const length = static_cast<std::size_t>(count);
    data.m_queue.push_back({ready, std::string(buffer, length)});
    data.m_queued += length;
    return true;
}

bool write_to(stream & data, descriptor const & destination, time_point now)
{
    while (!data.m_queue.empty() && data.m_queue.front().m_ready <= now)
    {
        std::string & bytes = data.m_queue.front().m_bytes;
        ssize_t const count =
            ::send(destination.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count < 0)
        {
            return is_temporary(errno);
        }
        data.m_queued -= static_cast<std::size_t>(count);
        bytes.erase(0, static_cast<std::size_t>(count));
        if (!bytes.empty())
        {
            return true;
        }
        data.m_queue.pop_front();
    }
    if (data.m_queue.empty() && data.m_read_ended && !data.m_write_ended)
    {
        data.m_write_ended = true;
        // The connect may still be in progress or the other side gone already.
        [[maybe_unused]] int const ended = ::shutdown(destination.get(), SHUT_WR);
    }
    return true;
}

} // namespace cassiahub::standin::internal
