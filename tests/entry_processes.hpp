#ifndef CASSIAHUB_TESTS_ENTRY_PROCESSES_HPP
#define CASSIAHUB_TESTS_ENTRY_PROCESSES_HPP

#include <cassiahub/http.hpp>
#include <cassiahub/runtime.hpp>

#include <arpa/inet.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace cassiahub
{

using namespace std::chrono_literals;

/// Longest wait for an expected condition; reached only by a test that fails.
constexpr duration wait_timeout = 60s;

inline void wait_until(std::string const & what, std::function<bool()> const & condition)
{
    time_point const limit = runtime::read_boot_clock() + wait_timeout;
    while (!condition())
    {
        CPPUNIT_ASSERT_MESSAGE("timed out waiting for: " + what,
                               runtime::read_boot_clock() < limit);
        std::this_thread::sleep_for(20ms);
    }
}

/// \returns a port that is currently free. It lies below the kernel's range of ephemeral
/// ports, so that no outgoing connection occupies it before the server binds it.
inline int free_port()
{
    static std::mt19937 random{std::random_device{}()};
    std::uniform_int_distribution<int> ports(10'000, 30'000);
    while (true)
    {
        int const port = ports(random);
        int const fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        int const bound =
            bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address);
        close(fd);
        if (bound == 0)
        {
            return port;
        }
    }
}

inline std::string free_address()
{
    return fmt::format("127.0.0.1:{}", free_port());
}

/// A child process; killed on destruction if it still runs.
class process
{
public:
    process(std::string const & program, std::vector<std::string> arguments)
    {
        std::string path = std::string(CASSIAHUB_BIN_DIR) + "/" + program;
        std::vector<char *> pointers{path.data()};
        for (std::string & argument : arguments)
        {
            pointers.push_back(argument.data());
        }
        pointers.push_back(nullptr);
        CPPUNIT_ASSERT_EQUAL(0, posix_spawn(&m_pid, path.c_str(), nullptr, nullptr,
                                            pointers.data(), environ));
    }

    process(process const &) = delete;
    process & operator=(process const &) = delete;

    ~process()
    {
        if (m_pid > 0)
        {
            kill(m_pid, SIGKILL);
            waitpid(m_pid, nullptr, 0);
        }
    }

    pid_t pid() const noexcept
    {
        return m_pid;
    }

    void signal(int number) const
    {
        CPPUNIT_ASSERT_EQUAL(0, kill(m_pid, number));
    }

    /// Waits for the process to end. \returns its exit code, or -1 after a signal.
    int wait()
    {
        int status = 0;
        wait_until("process to exit",
                   [&] { return waitpid(m_pid, &status, WNOHANG) == m_pid; });
        m_pid = -1;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }

private:
    pid_t m_pid = -1;
};

inline http::response send_request(std::string const & address,
                                   http::request const & sent)
{
    http::response received;
    received.m_status = 0;
    http::exchange_once(address, sent, wait_timeout, received);
    return received;
}

/// Addresses and process of one entry instance.
struct instance
{
    std::string m_name;
    std::string m_caller_address = free_address();
    std::string m_peer_address = free_address();
    std::unique_ptr<process> m_process;
};

} // namespace cassiahub

#endif
