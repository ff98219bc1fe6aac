#ifndef CASSIAHUB_TESTS_HOSTILE_CROWD_HPP
#define CASSIAHUB_TESTS_HOSTILE_CROWD_HPP

#include <arpa/inet.h>
#include <cppunit/TestAssert.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <filesystem>
#include <fstream>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file Connections that send without end and never read, and the memory and descriptors
/// of the process that serves them.

namespace hostile_crowd
{

/// What a connection sends: m_head once, then m_unit until m_max_bytes are reached.
struct script
{
    std::string m_head;
    std::string m_unit;
    std::size_t m_max_bytes = 0;
};

/// Open connections; closed on destruction.
class crowd
{
public:
    crowd() = default;
    crowd(crowd const &) = delete;
    crowd & operator=(crowd const &) = delete;

    ~crowd()
    {
        for (caller & member : m_callers)
        {
            end(member);
        }
    }

    /// Opens \p count connections to \p address and sends \p sent on each until all is
    /// sent, every connection was ended by the server, or the server accepts no bytes.
    void send(std::string const & address, std::size_t count, script const & sent)
    {
        constexpr int max_idle_polls = 200; // of 5 ms: the server has stopped reading
        std::size_t const first = m_callers.size();
        for (std::size_t index = 0; index < count; ++index)
        {
            m_callers.push_back({open(address)});
        }
        auto const added = std::span(m_callers).subspan(first);
        std::string const block = repeat(sent.m_unit);
        for (int idle_polls = 0; idle_polls < max_idle_polls;)
        {
            if (send_some(added, sent, block))
            {
                idle_polls = 0;
                continue;
            }
            if (std::all_of(added.begin(), added.end(),
                            [&sent](caller const & member)
                            { return is_finished(member, sent); }))
            {
                return;
            }
            ++idle_polls;
            ::poll(nullptr, 0, 5);
        }
    }

private:
    struct caller
    {
        int m_socket = -1; ///< -1 once the server has closed the connection
        std::size_t m_sent = 0;
    };

    static bool is_finished(caller const & member, script const & sent)
    {
        return member.m_socket < 0 ||
               member.m_sent >= std::max(sent.m_max_bytes, sent.m_head.size());
    }

    static void end(caller & member)
    {
        if (member.m_socket >= 0)
        {
            ::close(member.m_socket);
        }
        member.m_socket = -1;
    }

    static std::string repeat(std::string const & unit)
    {
        constexpr std::size_t block_bytes = 65'536;
        std::string block = unit;
        while (!unit.empty() && block.size() + unit.size() <= block_bytes)
        {
            block += unit;
        }
        return block;
    }

    static int open(std::string const & address)
    {
        int const socket =
            ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        CPPUNIT_ASSERT_MESSAGE("too few descriptors for the test", socket >= 0);
        std::size_t const colon = address.find(':');
        sockaddr_in target{};
        target.sin_family = AF_INET;
        target.sin_port =
            htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
        ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &target.sin_addr);
        // The connection is completed later, or fails with the first send.
        [[maybe_unused]] int const pending =
            ::connect(socket, reinterpret_cast<sockaddr *>(&target), sizeof target);
        return socket;
    }

    static std::string_view next_bytes(caller const & member, script const & sent,
                                       std::string const & block)
    {
        if (member.m_sent < sent.m_head.size())
        {
            return std::string_view(sent.m_head).substr(member.m_sent);
        }
        std::size_t const offset = (member.m_sent - sent.m_head.size()) % block.size();
        return std::string_view(block).substr(offset, sent.m_max_bytes - member.m_sent);
    }

    /// \returns true when a connection has taken bytes.
    static bool send_some(std::span<caller> callers, script const & sent,
                          std::string const & block)
    {
        bool progress = false;
        for (caller & member : callers)
        {
            if (is_finished(member, sent))
            {
                continue;
            }
            std::string_view const bytes = next_bytes(member, sent, block);
            ssize_t const count =
                ::send(member.m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (count > 0)
            {
                member.m_sent += static_cast<std::size_t>(count);
                progress = true;
            }
            else if (errno != EAGAIN && errno != ENOTCONN)
            {
                end(member);
            }
        }
        return progress;
    }

    std::vector<caller> m_callers;
};

/// \returns the value of \p field (VmRSS, VmHWM) of the process \p pid, in KiB.
inline std::size_t memory_kib(int pid, std::string_view field)
{
    std::ifstream file(fmt::format("/proc/{}/status", pid));
    for (std::string line; std::getline(file, line);)
    {
        if (line.starts_with(field))
        {
            return std::stoul(line.substr(field.size() + 1));
        }
    }
    CPPUNIT_FAIL("the process has ended");
    return 0;
}

/// \returns the number of open descriptors of the process \p pid.
inline std::size_t open_descriptors(int pid)
{
    using iterator = std::filesystem::directory_iterator;
    return static_cast<std::size_t>(
        std::distance(iterator(fmt::format("/proc/{}/fd", pid)), iterator()));
}

/// \returns the processor time of the process \p pid so far, in clock ticks.
inline unsigned long processor_ticks(int pid)
{
    constexpr int field_before = 11; // utime and stime are fields 14 and 15
    std::ifstream file(fmt::format("/proc/{}/stat", pid));
    std::string text;
    std::getline(file, text, ')');
    for (int field = 0; field < field_before; ++field)
    {
        file >> text;
    }
    unsigned long user = 0;
    unsigned long system = 0;
    file >> user >> system;
    return user + system;
}

/// Waits until the process \p pid has dealt with what the kernel holds for it: until it
/// uses no more than one tick in each of three periods of 200 ms.
inline void wait_until_settled(int pid)
{
    constexpr int max_periods = 150;
    unsigned long before = processor_ticks(pid);
    for (int period = 0, quiet = 0; period < max_periods && quiet < 3; ++period)
    {
        ::poll(nullptr, 0, 200);
        unsigned long const now = processor_ticks(pid);
        quiet = now <= before + 1 ? quiet + 1 : 0;
        before = now;
    }
}

} // namespace hostile_crowd

#endif
