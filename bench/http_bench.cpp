/// \file Round trips between the HTTP client and server on persistent connections. Guards
/// against messages split into several TCP segments, to which Nagle's algorithm and
/// delayed acknowledgements add 44 ms. The program fails when the median reaches 5 ms.

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
/// Far above a round trip on loopback and far below the delay of split segments.
constexpr duration max_median = 5ms;

/// \returns the times of \p count round trips on one connection.
std::vector<duration> measure_round_trips(std::size_t count)
{
    std::vector<duration> times;
    std::error_code error;
    http::connection connection = http::connect(address, error);
    http::request const sent{"POST", "/", {}, {}, std::string(body_size, 'x')};
    http::response received;
    for (std::size_t round = 0; round < count && connection.m_handle; ++round)
    {
        time_point const start = runtime::read_boot_clock();
        if (http::exchange(connection, sent, address, 10s, received))
        {
            break;
        }
        times.push_back(runtime::read_boot_clock() - start);
    }
    return times;
}

/// Measures and prints \p rounds round trips on each of \p clients concurrent
/// connections. \returns the median.
duration measure_and_print(std::size_t clients, std::size_t rounds)
{
    std::vector<std::vector<duration>> times_by_client(clients);
    time_point const start = runtime::read_boot_clock();
    {
        std::vector<std::jthread> threads;
        threads.reserve(clients);
        for (std::vector<duration> & times : times_by_client)
        {
            threads.emplace_back([&times, rounds]
                                 { times = measure_round_trips(rounds); });
        }
    }
    duration const elapsed = runtime::read_boot_clock() - start;
    std::vector<duration> all;
    for (std::vector<duration> const & times : times_by_client)
    {
        all.insert(all.end(), times.begin(), times.end());
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
    duration const median = measure_and_print(1, 20'000);
    measure_and_print(8, 5'000);
    measure_and_print(32, 2'000);
    return median < max_median ? runtime::exit_success : runtime::exit_failed;
}
