/// \file Round trips of the HTTP server and client on a kept connection. Guards against
/// the 44 ms that split segments cost through Nagle's algorithm and delayed
/// acknowledgements: the program fails when the median reaches 5 ms.

#include <cassiahub/http.hpp>
#include <cassiahub/runtime.hpp>

#include <civetweb.h>
#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <thread>
#include <vector>

using namespace cassiahub;
using namespace std::chrono_literals;

namespace
{

constexpr char const * address = "127.0.0.1:21778";
constexpr std::size_t body_size = 1024;
/// Far above a round trip on loopback and far below the cost of split segments.
constexpr duration largest_median = 5ms;

/// \returns the times of \p count round trips on one connection.
std::vector<duration> measure(std::size_t count)
{
    std::vector<duration> times;
    std::error_code error;
    http::connection used = http::connect(address, error);
    http::request const sent{"POST", "/", {}, {}, std::string(body_size, 'x')};
    http::response received;
    for (std::size_t round = 0; round < count && used.m_handle; ++round)
    {
        time_point const start = runtime::read_boot_clock();
        if (http::exchange(used, sent, address, 10s, received))
        {
            break;
        }
        times.push_back(runtime::read_boot_clock() - start);
    }
    return times;
}

/// Measures \p clients connections at a time. \returns the median.
duration report(std::size_t clients, std::size_t rounds)
{
    std::vector<std::vector<duration>> results(clients);
    time_point const start = runtime::read_boot_clock();
    {
        std::vector<std::jthread> threads;
        threads.reserve(clients);
        for (std::vector<duration> & result : results)
        {
            threads.emplace_back([&result, rounds] { result = measure(rounds); });
        }
    }
    duration const elapsed = runtime::read_boot_clock() - start;
    std::vector<duration> all;
    for (std::vector<duration> const & result : results)
    {
        all.insert(all.end(), result.begin(), result.end());
    }
    if (all.empty())
    {
        return duration::max();
    }
    std::sort(all.begin(), all.end());
    auto const microseconds = [](duration value)
    {
        return value.count() / 1000;
    };
    fmt::print(
        "connections {:3}  round trips {:7}  lost {}  p50 {:5} us  p99 {:5} us  "
        "{:8.0f} requests/s\n",
        clients, all.size(), clients * rounds - all.size(),
        microseconds(all[all.size() / 2]), microseconds(all[all.size() * 99 / 100]),
        static_cast<double>(all.size()) / std::chrono::duration<double>(elapsed).count());
    return all[all.size() / 2];
}

} // namespace

int main()
{
    mg_init_library(MG_FEATURES_DEFAULT);
    http::server_options options;
    options.m_address = address;
    options.m_threads = 64;
    std::error_code error;
    http::server const server = http::start_server(
        options,
        [](http::request const & received) {
            return http::response{200, "text/plain", {}, received.m_body};
        },
        error);
    if (error)
    {
        fmt::print(stderr, "{}: {}\n", address, error.message());
        return runtime::exit_failed;
    }
    duration const median = report(1, 20'000);
    report(8, 5'000);
    report(32, 2'000);
    return median < largest_median ? runtime::exit_success : runtime::exit_failed;
}
