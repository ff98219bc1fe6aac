#ifndef CASSIAHUB_TESTS_GATEWAY_FIXTURE_HPP
#define CASSIAHUB_TESTS_GATEWAY_FIXTURE_HPP

#include "free_port.hpp"

#include <cassiahub/http.hpp>
#include <cassiahub/http/async_client.hpp>
#include <cassiahub/http/async_server.hpp>
#include <cassiahub/runtime.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cppunit/TestFixture.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>
#include <spawn.h>
#include <sys/wait.h>

#include <csignal>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

/// \file Stand-ins for the platform's store and for upstreams, and a gateway process that
/// is connected to them.

namespace gateway_fixture
{

using namespace cassiahub;
using namespace std::chrono_literals;
using nlohmann::json;
namespace asio = boost::asio;

inline std::int64_t steady_ms()
{
    return to_milliseconds(runtime::read_boot_clock().time_since_epoch());
}

inline std::string to_base64(std::string const & bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    int const length =
        EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                        reinterpret_cast<unsigned char const *>(bytes.data()),
                        static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

/// The store and the upstreams, served by one thread. Public members may be called on any
/// other thread.
class platform_stand_in
{
public:
    platform_stand_in()
    {
        m_store = start(m_store_address, [this](auto id, auto const & received)
                        { serve_store(id, received); });
        m_thread = std::thread([this] { m_loop.run(); });
    }

    platform_stand_in(platform_stand_in const &) = delete;
    platform_stand_in & operator=(platform_stand_in const &) = delete;

    ~platform_stand_in()
    {
        m_loop.stop();
        m_thread.join();
    }

    std::string const & store_address() const noexcept
    {
        return m_store_address;
    }

    /// Writes a row whose value is \p bytes.
    void put(std::string const & table, std::string const & key,
             std::string const & bytes)
    {
        put_encoded(table, key, to_base64(bytes));
    }

    /// Writes a row whose value is \p value, which need not be base64.
    void put_encoded(std::string const & table, std::string const & key,
                     std::string const & value)
    {
        call([&] { put_on_loop(table, key, value); });
    }

    void remove(std::string const & table, std::string const & key)
    {
        call(
            [&]
            {
                m_rows.erase({table, key});
                m_changes.push_back({{"table", table},
                                     {"part", ""},
                                     {"key", key},
                                     {"ver", ++m_version},
                                     {"removed", true}});
            });
    }

    /// Removes a row, and forgets this and all earlier changes.
    void lose_history_with(std::string const & table, std::string const & key)
    {
        call(
            [&]
            {
                m_rows.erase({table, key});
                m_changes.clear();
                m_history_from = ++m_version;
            });
    }

    /// Lets a read return at most \p rows rows, and refuses every second read of a table.
    void refuse_reads(std::size_t rows)
    {
        call(
            [&]
            {
                m_page_rows = rows;
                m_refuses_reads = true;
            });
    }

    /// Starts an upstream and registers it under \p id.
    void add_upstream(std::string const & id)
    {
        call(
            [&]
            {
                upstream_state & upstream = m_upstreams[id];
                upstream.m_server =
                    start(upstream.m_address,
                          [this, &upstream, id](auto exchange, auto const & received)
                          { serve_upstream(upstream, id, exchange, received); });
            });
        put("servers", id, registration(id).dump());
    }

    /// \returns the registration of the upstream \p id.
    json registration(std::string const & id)
    {
        std::string const address = call([&] { return m_upstreams.at(id).m_address; });
        return {{"service", "pool"},
                {"address", address},
                {"zone", "north"},
                {"version", "v1"},
                {"slots", 8},
                {"state", "ready"},
                {"cold-remaining-ms", 0},
                {"capacity", {{"cpu", 16000}, {"mem-mb", 32768}, {"gpu", 0}}},
                {"labels", {"a", "r1-3"}},
                {"seq", 4},
                {"born", m_born}};
    }

    /// Time for which started tasks run.
    void set_run_time(duration run_time)
    {
        call([&] { m_run_time_ms = to_milliseconds(run_time); });
    }

    /// \returns the number of calls to the upstream \p id.
    int calls(std::string const & id)
    {
        return call([&] { return m_upstreams.at(id).m_calls; });
    }

    /// \returns the number of calls that were meant for another upstream than the one
    /// that got them.
    int misdirected_calls()
    {
        return call([&] { return m_misdirected; });
    }

    /// \returns the upstreams that were told to start a task, by task.
    std::map<std::string, std::vector<std::string>> starts()
    {
        return call([&] { return m_starts; });
    }

private:
    struct run
    {
        std::uint64_t m_generation = 0;
        std::int64_t m_until_ms = 0;
    };

    struct upstream_state
    {
        std::string m_address;
        http::async_server m_server;
        int m_calls = 0;
        std::map<std::string, run> m_runs;
        json m_ended = json::array();
        std::uint64_t m_last_end = 0;
    };

    template <typename Function>
    std::invoke_result_t<Function> call(Function function)
    {
        std::packaged_task<std::invoke_result_t<Function>()> task(std::move(function));
        auto result = task.get_future();
        asio::post(m_loop, [&task] { task(); });
        return result.get();
    }

    http::async_server
    start(std::string & address,
          std::function<void(http::exchange_id, http::request const &)> serve)
    {
        address = fmt::format("127.0.0.1:{}", find_free_port());
        http::async_server_options options;
        options.m_address = address;
        std::error_code error;
        auto server = http::start_async_server(m_loop, options,
                                               {std::move(serve),
                                                [](http::exchange_id) {
                                                }},
                                               error);
        CPPUNIT_ASSERT_MESSAGE(error.message(), !error);
        return server;
    }

    static void send(http::async_server const & server, http::exchange_id exchange,
                     int status, json const & body)
    {
        http::response response;
        response.m_status = status;
        response.m_content_type = "application/json";
        response.m_body = body.dump();
        http::respond(*server, exchange, std::move(response));
    }

    /// Calls \p respond every 10 ms until it returns true; its argument is true from
    /// \p until_ms on.
    void poll(std::int64_t until_ms, std::function<bool(bool)> const & respond)
    {
        if (respond(steady_ms() >= until_ms))
        {
            return;
        }
        auto const timer = std::make_shared<asio::steady_timer>(m_loop);
        timer->expires_after(std::chrono::milliseconds(10));
        timer->async_wait([this, timer, until_ms, respond](boost::system::error_code)
                          { poll(until_ms, respond); });
    }

    static std::string parameter(std::string const & query, std::string const & name)
    {
        std::size_t const begin = ('&' + query).find('&' + name + '=');
        if (begin == std::string::npos)
        {
            return {};
        }
        std::size_t const value = begin + name.size() + 1;
        return query.substr(value, query.find('&', value) - value);
    }

    void put_on_loop(std::string const & table, std::string const & key,
                     std::string const & value)
    {
        json const row = {{"table", table},
                          {"part", ""},
                          {"key", key},
                          {"value", value},
                          {"ver", ++m_version}};
        m_rows[{table, key}] = row;
        m_changes.push_back(row);
    }

    json rows_reply(json rows) const
    {
        return {{"rows", std::move(rows)},
                {"has-more", false},
                {"ver", m_version},
                {"now-ms", steady_ms()}};
    }

    void serve_read(http::exchange_id exchange, std::string const & table,
                    std::string const & from)
    {
        constexpr int unavailable = 503;

        bool const refused = m_refuses_reads && ++m_reads[table] % 2 == 0;
        json rows = json::array();
        bool more = false;
        // A key continues with '!' (%21) where the next page begins.
        std::string const first = from.substr(0, from.find("%21"));
        for (auto row = m_rows.lower_bound({table, first});
             row != m_rows.end() && row->first.first == table && !more; ++row)
        {
            if (row->first.second != first || first.empty())
            {
                more = rows.size() == m_page_rows;
                if (!more)
                {
                    rows.push_back(row->second);
                }
            }
        }
        json reply = rows_reply(std::move(rows));
        reply["has-more"] = more;
        send(m_store, exchange, refused ? unavailable : 200,
             refused ? json::object() : reply);
    }

    void serve_store(http::exchange_id exchange, http::request const & received)
    {
        if (received.m_path == "/cassiahub/rows-tx")
        {
            json const transaction = json::parse(received.m_body);
            for (json const & row : transaction["puts"])
            {
                put_on_loop(row["table"], row["key"], row["value"]);
            }
            send(m_store, exchange, 200, rows_reply(json::array()));
            return;
        }
        std::string const table = parameter(received.m_query, "table");
        if (received.m_path == "/cassiahub/rows-get")
        {
            serve_read(exchange, table, parameter(received.m_query, "from"));
            return;
        }
        std::uint64_t const after = std::stoull(parameter(received.m_query, "after"));
        std::int64_t const wait = std::stoll(parameter(received.m_query, "wait-ms"));
        poll(steady_ms() + wait,
             [this, exchange, table, after](bool expired)
             {
                 if (after < m_history_from)
                 {
                     send(m_store, exchange, 410, json::object());
                     return true;
                 }
                 json rows = json::array();
                 for (json const & row : m_changes)
                 {
                     if (row["table"] == table && row["ver"] > after)
                     {
                         rows.push_back(row);
                     }
                 }
                 if (rows.empty() && !expired)
                 {
                     return false;
                 }
                 send(m_store, exchange, 200, rows_reply(std::move(rows)));
                 return true;
             });
    }

    json upstream_reply() const
    {
        return {{"clock-ms", steady_ms()}, {"born", m_born}};
    }

    static void end_runs(upstream_state & upstream)
    {
        std::erase_if(upstream.m_runs,
                      [&upstream](auto const & item)
                      {
                          if (item.second.m_until_ms > steady_ms())
                          {
                              return false;
                          }
                          upstream.m_ended.push_back(
                              json::array({++upstream.m_last_end, item.first,
                                           item.second.m_generation, "done", ""}));
                          return true;
                      });
    }

    void serve_upstream(upstream_state & upstream, std::string const & id,
                        http::exchange_id exchange, http::request const & received)
    {
        if (http::find_header(received.m_headers, "Cassiahub-Expect-Instance") != id)
        {
            ++m_misdirected;
            send(upstream.m_server, exchange, 421, upstream_reply());
            return;
        }
        ++upstream.m_calls;
        json const body = json::parse(received.m_body);
        if (received.m_path == "/cassiahub/run-start")
        {
            std::string const task = body["task"];
            m_starts[task].push_back(id);
            upstream.m_runs[task] = {body["run"], steady_ms() + m_run_time_ms};
        }
        if (received.m_path != "/cassiahub/hold")
        {
            send(upstream.m_server, exchange, 200, upstream_reply());
            return;
        }
        std::uint64_t const acknowledged = body.value("ack-cursor", std::uint64_t(0));
        json unacknowledged = json::array();
        for (json const & end : upstream.m_ended)
        {
            if (end[0] > acknowledged)
            {
                unacknowledged.push_back(end);
            }
        }
        upstream.m_ended = std::move(unacknowledged);
        poll(steady_ms() + body.value("wait-ms", std::int64_t(0)),
             [this, exchange, &upstream](bool expired)
             {
                 end_runs(upstream);
                 if (upstream.m_ended.empty() && !expired)
                 {
                     return false;
                 }
                 json reply = upstream_reply();
                 reply["ended"] = upstream.m_ended;
                 reply["running"] = json::array();
                 for (auto const & [task, current] : upstream.m_runs)
                 {
                     std::int64_t const left = current.m_until_ms - steady_ms();
                     std::int64_t const percent =
                         99 - std::min<std::int64_t>(99, left * 100 / m_run_time_ms);
                     reply["running"].push_back(
                         json::array({task, current.m_generation, "", percent, 0}));
                 }
                 send(upstream.m_server, exchange, 200, reply);
                 return true;
             });
    }

    asio::io_context m_loop{1};
    asio::executor_work_guard<asio::io_context::executor_type> m_work =
        asio::make_work_guard(m_loop);
    std::string m_store_address;
    http::async_server m_store;
    std::map<std::pair<std::string, std::string>, json> m_rows;
    std::vector<json> m_changes;
    std::uint64_t m_version = 0;
    std::uint64_t m_history_from = 0; ///< first version whose changes are known
    std::size_t m_page_rows = 500;
    bool m_refuses_reads = false;
    std::map<std::string, int> m_reads; ///< by table, while m_refuses_reads
    std::int64_t m_born = 1'700'000'000'000;
    std::int64_t m_run_time_ms = 50;
    std::map<std::string, upstream_state> m_upstreams;
    int m_misdirected = 0;
    std::map<std::string, std::vector<std::string>> m_starts;
    std::thread m_thread;
};

/// A gateway process; killed on destruction if it still runs.
class gateway_process
{
public:
    /// \param settings further lines of the settings file.
    explicit gateway_process(std::string const & store_address,
                             std::string const & grace = "6s",
                             std::string const & settings = {},
                             std::string const & instance = "g1")
    {
        std::filesystem::create_directories(m_folder);
        std::ofstream(m_folder / "gateway.ini")
            << fmt::format("[gateway]\ninstance = {}\ndomain = north\n"
                           "caller_address = {}\nready_address = {}\n"
                           "metrics_address = {}\npeer_address = {}\n"
                           "peer_secret = secret-of-the-test\nstore_address = {}\n"
                           "grace = {}\n{}",
                           instance, m_caller_address, m_ready_address, m_metrics_address,
                           free_address(), store_address, grace, settings);
        std::string program = std::string(CASSIAHUB_BIN_DIR) + "/cassiahub-gateway";
        std::string option = "--settings";
        std::string path = m_folder / "gateway.ini";
        char * const arguments[] = {program.data(), option.data(), path.data(), nullptr};
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_path().c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0600);
        int const error =
            posix_spawn(&m_pid, program.c_str(), &actions, nullptr, arguments, environ);
        posix_spawn_file_actions_destroy(&actions);
        CPPUNIT_ASSERT_EQUAL(0, error);
    }

    gateway_process(gateway_process const &) = delete;
    gateway_process & operator=(gateway_process const &) = delete;

    ~gateway_process()
    {
        if (is_running())
        {
            kill(m_pid, SIGKILL);
            waitpid(m_pid, nullptr, 0);
        }
        std::error_code ignored;
        std::filesystem::remove_all(m_folder, ignored);
    }

    int pid() const noexcept
    {
        return m_pid;
    }

    std::string const & caller_address() const noexcept
    {
        return m_caller_address;
    }

    std::string const & ready_address() const noexcept
    {
        return m_ready_address;
    }

    std::string const & metrics_address() const noexcept
    {
        return m_metrics_address;
    }

    bool is_running()
    {
        if (m_pid > 0 && waitpid(m_pid, nullptr, WNOHANG) != 0)
        {
            m_pid = -1;
        }
        return m_pid > 0;
    }

    /// Sends SIGTERM and waits for the end of the process, at most 30 s.
    /// \returns its exit code, or -1 when it did not exit by itself.
    int stop()
    {
        constexpr int polls = 3000;
        int status = 0;
        kill(m_pid, SIGTERM);
        for (int poll = 0; poll < polls; ++poll)
        {
            if (waitpid(m_pid, &status, WNOHANG) == m_pid)
            {
                m_pid = -1;
                return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
            }
            std::this_thread::sleep_for(10ms);
        }
        return -1;
    }

    bool is_ready() const
    {
        return send(m_ready_address, {"GET", "/cassiahub/ready", {}, {}, {}}) == 200;
    }

    /// Submits a job of one task to the route of \p prefix and waits for its end.
    /// \returns the status, or 0 without a response.
    int run_job(std::string const & id, std::string const & prefix = "/check/") const
    {
        return send(m_caller_address,
                    {"POST",
                     prefix + id,
                     {},
                     {{"Host", "test.example"},
                      {"Cassiahub-Deadline-Ms", "5000"},
                      {"Request-Id", id}},
                     R"({"spec":"s","best-effort":true,"steps":[{"count":1,"cpu":500,)"
                     R"("mem-mb":64,"estimate-ms":50}]})"});
    }

    /// \returns the processor time used so far.
    duration processor_time() const
    {
        clockid_t clock = 0;
        timespec used{};
        CPPUNIT_ASSERT_EQUAL(0, clock_getcpuclockid(m_pid, &clock));
        CPPUNIT_ASSERT_EQUAL(0, clock_gettime(clock, &used));
        return std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec);
    }

    /// \returns the logged lines with \p code.
    std::vector<json> log_lines(std::string const & code) const
    {
        std::vector<json> lines;
        std::ifstream file(log_path());
        for (std::string text; std::getline(file, text);)
        {
            json line = json::parse(text, nullptr, false);
            if (line.is_object() && line["code"] == code)
            {
                lines.push_back(std::move(line));
            }
        }
        return lines;
    }

private:
    static std::string free_address()
    {
        return fmt::format("127.0.0.1:{}", find_free_port());
    }

    /// \returns the status of the response, or 0 without a response.
    static int send(std::string const & address, http::request sent)
    {
        asio::io_context loop(1);
        http::async_client const client = http::make_async_client(loop, {});
        int status = 0;
        http::send_request(
            *client, address, std::move(sent), 10s,
            [&loop, &status](std::error_code error, http::response const & received)
            {
                status = error ? 0 : received.m_status;
                loop.stop();
            });
        loop.run();
        return status;
    }

    std::filesystem::path log_path() const
    {
        return m_folder / "gateway.log";
    }

    std::string m_caller_address = free_address();
    std::string m_ready_address = free_address();
    std::string m_metrics_address = free_address();
    std::filesystem::path m_folder =
        std::filesystem::temp_directory_path() /
        fmt::format("cassiahub-gateway-test-{}-{}", getpid(), find_free_port());
    pid_t m_pid = -1;
};

} // namespace gateway_fixture

#endif
