/// \file Tests the stand-ins over real sockets. A fault that has no effect, or that
/// affects more than requested, would invalidate the system tests that inject it.

#include "free_port.hpp"

#include <cassiahub/codec.hpp>
#include <cassiahub/http.hpp>
#include <cassiahub/standin.hpp>

#include <civetweb.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <functional>
#include <future>
#include <string>
#include <thread>
#include <vector>

using namespace cassiahub;
using namespace std::chrono_literals;

namespace
{

std::string make_address(std::uint32_t port)
{
    return fmt::format("127.0.0.1:{}", port);
}

/// Result of one HTTP exchange.
struct exchange_result
{
    std::error_code m_error;
    http::response m_response;
};

exchange_result call(std::string const & address, http::request const & sent)
{
    exchange_result result;
    result.m_error = http::exchange_once(address, sent, 5s, result.m_response);
    return result;
}

exchange_result call(std::string const & address, std::string method, std::string path,
                     std::string body = {}, std::vector<http::header> headers = {})
{
    return call(
        address,
        {std::move(method), std::move(path), {}, std::move(headers), std::move(body)});
}

/// Runs a stand-in on its own thread. The constructor waits until a GET of \p path gets a
/// response.
class running_standin
{
public:
    running_standin(std::string address, std::string const & path,
                    std::function<std::error_code(std::stop_token const &)> body)
        : m_address(std::move(address)), m_thread(std::move(body))
    {
        for (int attempt = 0; attempt < 100 && call(m_address, "GET", path).m_error;
             ++attempt)
        {
            std::this_thread::sleep_for(10ms);
        }
    }

    ~running_standin()
    {
        m_thread.request_stop();
        // The HTTP library takes up to 2 s to stop. The threads therefore stop in
        // parallel and are joined when the program ends.
        static std::vector<std::jthread> stopping;
        stopping.push_back(std::move(m_thread));
    }

    std::string m_address;

private:
    std::jthread m_thread;
};

class standin_fixture : public CppUnit::TestFixture
{
public:
    void setUp() override
    {
        mg_init_library(MG_FEATURES_DEFAULT);
    }
};

class platform_standin_test : public standin_fixture
{
    CPPUNIT_TEST_SUITE(platform_standin_test);
    CPPUNIT_TEST(row_put_with_stale_tag_is_refused);
    CPPUNIT_TEST(write_with_lost_response_takes_effect);
    CPPUNIT_TEST(outage_for_one_viewer_does_not_affect_others);
    CPPUNIT_TEST(write_above_limit_is_refused_and_counted);
    CPPUNIT_TEST(list_with_lag_shows_earlier_state);
    CPPUNIT_TEST(list_with_link_shows_address_for_viewer);
    CPPUNIT_TEST(list_with_current_tag_is_not_sent_again);
    CPPUNIT_TEST(faults_with_unknown_member_are_refused);
    CPPUNIT_TEST(resolve_before_commit_refuses_write);
    CPPUNIT_TEST(write_identifier_after_lifetime_is_removed);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<running_standin> m_platform;

    exchange_result put_faults(std::string body)
    {
        return call(m_platform->m_address, "PUT", "/faults", std::move(body));
    }

    exchange_result list_for(std::string viewer)
    {
        return call(m_platform->m_address, "GET", "/instances", {},
                    {{"User-Agent", std::move(viewer)}});
    }

    void put_instance()
    {
        call(m_platform->m_address, "PUT", "/instances",
             R"({"instances":[{"name":"a","domain":"d","address":"x:1","entry":true,)"
             R"("leaving":false}]})");
    }

public:
    void setUp() override
    {
        standin_fixture::setUp();
        standin::platform_options options;
        options.m_address = make_address(find_free_port());
        options.m_write_delay = 0ms;
        options.m_threads = 4;
        m_platform = std::make_unique<running_standin>(
            options.m_address, "/stats",
            [options](std::stop_token const & stop)
            { return standin::run_platform(options, stop); });
    }

    void tearDown() override
    {
        m_platform.reset();
    }

    // Guards against a lost update by two concurrent operators.
    void row_put_with_stale_tag_is_refused()
    {
        std::string const & address = m_platform->m_address;
        auto const first =
            call(address, "PUT", "/table/row", "1", {{"If-None-Match", "*"}});
        CPPUNIT_ASSERT_EQUAL(201, first.m_response.m_status);
        std::string const tag(http::find_header(first.m_response.m_headers, "ETag"));
        CPPUNIT_ASSERT_EQUAL(204,
                             call(address, "PUT", "/table/row", "2", {{"If-Match", tag}})
                                 .m_response.m_status);
        CPPUNIT_ASSERT_EQUAL(412,
                             call(address, "PUT", "/table/row", "3", {{"If-Match", tag}})
                                 .m_response.m_status);
        CPPUNIT_ASSERT_EQUAL(std::string("2"),
                             call(address, "GET", "/table/row").m_response.m_body);
    }

    // Guards against a fault that drops the write instead of its response.
    void write_with_lost_response_takes_effect()
    {
        put_faults(R"({"lose_answers":1})");
        CPPUNIT_ASSERT(call(m_platform->m_address, "PUT", "/table/row", "1").m_error ==
                       http::http_errc::connection_broken);
        CPPUNIT_ASSERT_EQUAL(
            std::string("1"),
            call(m_platform->m_address, "GET", "/table/row").m_response.m_body);
        CPPUNIT_ASSERT(!call(m_platform->m_address, "PUT", "/table/row", "2").m_error);
    }

    // Guards against an outage for one viewer that cuts every instance off from the
    // platform.
    void outage_for_one_viewer_does_not_affect_others()
    {
        put_faults(R"({"down_for":["north-1"]})");
        CPPUNIT_ASSERT_EQUAL(503, list_for("north-1").m_response.m_status);
        CPPUNIT_ASSERT_EQUAL(200, list_for("north-2").m_response.m_status);
    }

    // Guards against tests that pass only because the stand-in has no rate limit.
    void write_above_limit_is_refused_and_counted()
    {
        put_faults(R"({"max_writes_per_second":1})");
        int refused = 0;
        for (int index = 0; index < 4; ++index)
        {
            auto const result = call(m_platform->m_address, "PUT", "/table/row", "1");
            refused += result.m_response.m_status == 503 ? 1 : 0;
        }
        auto const stats = nlohmann::json::parse(
            call(m_platform->m_address, "GET", "/stats").m_response.m_body);
        // The four writes fall into at most two clock seconds, with one write admitted in
        // each.
        CPPUNIT_ASSERT(refused >= 2);
        CPPUNIT_ASSERT_EQUAL(refused, stats["writes"]["refused"].get<int>());
    }

    // Guards against a list that is up to date although a lag is set.
    void list_with_lag_shows_earlier_state()
    {
        put_faults(R"({"list_lag_ms":60000})");
        put_instance();
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"instances":[]})"),
                             list_for("v").m_response.m_body);
        put_faults("{}");
        CPPUNIT_ASSERT(list_for("v").m_response.m_body.find("x:1") != std::string::npos);
    }

    // Guards against sending the whole list for each poll of each instance.
    void list_with_current_tag_is_not_sent_again()
    {
        put_instance();
        exchange_result const first = list_for("v");
        std::string const tag(http::find_header(first.m_response.m_headers, "ETag"));
        CPPUNIT_ASSERT(!tag.empty());
        http::header const condition{"If-None-Match", tag};
        exchange_result const same =
            call(m_platform->m_address, "GET", "/instances", {}, {condition});
        CPPUNIT_ASSERT_EQUAL(304, same.m_response.m_status);
        CPPUNIT_ASSERT(same.m_response.m_body.empty());
        call(m_platform->m_address, "PUT", "/instances", R"({"instances":[]})");
        exchange_result const changed =
            call(m_platform->m_address, "GET", "/instances", {}, {condition});
        CPPUNIT_ASSERT_EQUAL(200, changed.m_response.m_status);
    }

    // Guards against a listed address that bypasses the link that a test cuts.
    void list_with_link_shows_address_for_viewer()
    {
        put_instance();
        call(m_platform->m_address, "PUT", "/links",
             R"({"links":[{"viewer":"v","instance":"a","address":"y:2"}]})");
        CPPUNIT_ASSERT(list_for("v").m_response.m_body.find("y:2") != std::string::npos);
        CPPUNIT_ASSERT(list_for("w").m_response.m_body.find("x:1") != std::string::npos);
    }

    // Guards against a misspelt fault name that is silently ignored.
    void faults_with_unknown_member_are_refused()
    {
        auto const result = put_faults(R"({"dwon":true})");
        CPPUNIT_ASSERT_EQUAL(400, result.m_response.m_status);
        CPPUNIT_ASSERT(result.m_response.m_body.starts_with("dwon: unknown member"));
        CPPUNIT_ASSERT(put_faults(R"({"lose_probability":2})")
                           .m_response.m_body.ends_with("allowed: 0 to 1\n"));
    }

    // Guards against a delayed copy of a write that commits after it was resolved.
    void resolve_before_commit_refuses_write()
    {
        standin::table table;
        codec::table_rows rows;
        time_point const now{};
        CPPUNIT_ASSERT(!standin::resolve(table, "w", now, rows));
        CPPUNIT_ASSERT(standin::commit(table, {"w", {{"row", 0, "1"}}}, now, rows) ==
                       standin::batch_outcome::refused);
    }

    // Guards against memory use that grows with the number of writes.
    void write_identifier_after_lifetime_is_removed()
    {
        standin::table table;
        codec::table_rows rows;
        time_point const now{};
        standin::commit(table, {"w", {{"row", 0, "1"}}}, now, rows);
        standin::commit(table, {"x", {}}, now + standin::write_id_lifetime + 1ns, rows);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), table.m_writes.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_standin_test);

class upstream_standin_test : public standin_fixture
{
    CPPUNIT_TEST_SUITE(upstream_standin_test);
    CPPUNIT_TEST(start_with_lower_epoch_is_refused);
    CPPUNIT_TEST(repeated_start_of_task_is_counted);
    CPPUNIT_TEST(start_above_slots_is_refused);
    CPPUNIT_TEST(start_above_memory_is_refused);
    CPPUNIT_TEST(response_of_leaving_upstream_announces_leaving);
    CPPUNIT_TEST(task_during_pause_runs_after_resume);
    CPPUNIT_TEST(cancellation_before_start_prevents_start);
    CPPUNIT_TEST(task_that_crashes_upstream_gets_no_response_and_connections_are_refused);
    CPPUNIT_TEST(crashed_upstream_serves_again_without_memory_of_attempts);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<running_standin> m_upstream;

    exchange_result run(std::string attempt, std::string epoch = "1",
                        std::string payload = "run_ms=1",
                        std::vector<http::header> extra = {})
    {
        extra.push_back({std::string(codec::attempt_header), std::move(attempt)});
        extra.push_back({std::string(codec::fencing_shard_header), "s"});
        extra.push_back({std::string(codec::fencing_epoch_header), std::move(epoch)});
        extra.push_back({std::string(codec::key_header), "key"});
        extra.push_back({std::string(codec::task_header), "0"});
        return call(m_upstream->m_address, "POST", "/v1/tasks", std::move(payload),
                    std::move(extra));
    }

    void put_faults(std::string body)
    {
        CPPUNIT_ASSERT_EQUAL(
            200, call(m_upstream->m_address, "PUT", "/faults", std::move(body))
                     .m_response.m_status);
    }

    nlohmann::json stats()
    {
        return nlohmann::json::parse(
            call(m_upstream->m_address, "GET", "/stats").m_response.m_body);
    }

public:
    void setUp() override
    {
        standin_fixture::setUp();
        standin::upstream_options options;
        options.m_first_port = find_free_port();
        options.m_slots = 1;
        options.m_connections = 8;
        m_upstream = std::make_unique<running_standin>(
            make_address(options.m_first_port), "/stats",
            [options](std::stop_token const & stop)
            { return standin::run_upstreams(options, stop); });
    }

    void tearDown() override
    {
        m_upstream.reset();
    }

    // Guards against an upstream that starts tasks for a former owner of a shard.
    void start_with_lower_epoch_is_refused()
    {
        CPPUNIT_ASSERT_EQUAL(200, run("1-1", "2").m_response.m_status);
        auto const refused = run("1-2", "1");
        CPPUNIT_ASSERT_EQUAL(503, refused.m_response.m_status);
        CPPUNIT_ASSERT(
            http::find_header(refused.m_response.m_headers, codec::ran_header) == "no");
    }

    // Guards against a repeated start that is missing from the statistics.
    void repeated_start_of_task_is_counted()
    {
        run("1-1");
        CPPUNIT_ASSERT_EQUAL(0, stats()["repeated_starts"].get<int>());
        run("1-2");
        CPPUNIT_ASSERT_EQUAL(1, stats()["repeated_starts"].get<int>());
    }

    // Guards against an upstream that accepts more tasks than it has slots.
    void start_above_slots_is_refused()
    {
        auto first = std::async(std::launch::async,
                                [this] { return run("1-1", "1", "run_ms=300"); });
        std::this_thread::sleep_for(100ms);
        CPPUNIT_ASSERT_EQUAL(503, run("1-2").m_response.m_status);
        CPPUNIT_ASSERT_EQUAL(200, first.get().m_response.m_status);
        CPPUNIT_ASSERT_EQUAL(1, stats()["upstreams"][0]["refused"]["slots"].get<int>());
    }

    // Guards against a worker that accepts a task above its memory capacity.
    void start_above_memory_is_refused()
    {
        CPPUNIT_ASSERT_EQUAL(503, run("1-1", "1", "run_ms=1",
                                      {{std::string(standin::memory_header), "32769"}})
                                      .m_response.m_status);
    }

    // Guards against an upstream that leaves without announcing it.
    void response_of_leaving_upstream_announces_leaving()
    {
        put_faults(R"({"leave":true,"leave_grace_ms":60000})");
        auto const accepted = run("1-1");
        CPPUNIT_ASSERT_EQUAL(200, accepted.m_response.m_status);
        CPPUNIT_ASSERT(http::find_header(accepted.m_response.m_headers,
                                         codec::leaving_header) == "true");
        put_faults(R"({"leave":true,"leave_grace_ms":0})");
        CPPUNIT_ASSERT_EQUAL(503, run("1-2").m_response.m_status);
    }

    // Guards against a pause that refuses or loses the requests it holds.
    void task_during_pause_runs_after_resume()
    {
        put_faults(R"({"pause":true})");
        auto paused = std::async(std::launch::async, [this] { return run("1-1"); });
        CPPUNIT_ASSERT(paused.wait_for(200ms) == std::future_status::timeout);
        put_faults("{}");
        CPPUNIT_ASSERT_EQUAL(200, paused.get().m_response.m_status);
    }

    // Guards against a cancelled attempt that starts when its request arrives late.
    void cancellation_before_start_prevents_start()
    {
        call(m_upstream->m_address, "DELETE", "/v1/tasks/1-1");
        CPPUNIT_ASSERT_EQUAL(503, run("1-1").m_response.m_status);
    }

    // Guards against a crash that callers can tell from none only by a timeout.
    void task_that_crashes_upstream_gets_no_response_and_connections_are_refused()
    {
        put_faults(R"({"crash_payload":"deadly","crash_ms":60000})");
        CPPUNIT_ASSERT_EQUAL(200, run("1-1").m_response.m_status);
        CPPUNIT_ASSERT(run("1-2", "1", "run_ms=1 deadly").m_error ==
                       http::http_errc::connection_broken);
        CPPUNIT_ASSERT(run("1-3").m_error == http::http_errc::connect_failed);
    }

    // Guards against a worker that refuses the tasks of its earlier life.
    void crashed_upstream_serves_again_without_memory_of_attempts()
    {
        put_faults(R"({"crash_payload":"deadly","crash_ms":50})");
        run("1-1", "2", "run_ms=1 deadly");
        exchange_result again;
        for (int attempt = 0; attempt < 500; ++attempt)
        {
            again = run("1-1", "1");
            if (!again.m_error)
            {
                break;
            }
            std::this_thread::sleep_for(10ms);
        }
        CPPUNIT_ASSERT_EQUAL(200, again.m_response.m_status);
        CPPUNIT_ASSERT(stats()["upstreams"][0]["crashes"] == 1);
        CPPUNIT_ASSERT(stats()["starts"] == 2);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(upstream_standin_test);

class link_standin_test : public standin_fixture
{
    CPPUNIT_TEST_SUITE(link_standin_test);
    CPPUNIT_TEST(request_over_healed_link_is_answered);
    CPPUNIT_TEST(request_over_closed_link_fails_immediately);
    CPPUNIT_TEST(request_over_held_link_is_answered_after_healing);
    CPPUNIT_TEST(request_over_delayed_link_takes_both_delays);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<running_standin> m_target;
    std::unique_ptr<running_standin> m_links;
    std::string m_link_address;

    exchange_result call_through_link()
    {
        return call(m_link_address, "GET", "/stats");
    }

    void set_mode(std::string body)
    {
        CPPUNIT_ASSERT_EQUAL(200,
                             call(m_links->m_address,
                                  {"PUT", "/links", "from=a*&to=b", {}, std::move(body)})
                                 .m_response.m_status);
    }

public:
    void setUp() override
    {
        standin_fixture::setUp();
        standin::platform_options target;
        target.m_address = make_address(find_free_port());
        target.m_threads = 4;
        m_target = std::make_unique<running_standin>(
            target.m_address, "/stats",
            [target](std::stop_token const & stop)
            { return standin::run_platform(target, stop); });
        m_link_address = make_address(find_free_port());
        standin::link_options options;
        options.m_control_address = make_address(find_free_port());
        options.m_links = {{"a-1", "b", m_link_address, target.m_address}};
        m_links = std::make_unique<running_standin>(
            options.m_control_address, "/links",
            [options](std::stop_token const & stop)
            { return standin::run_links(options, stop); });
    }

    void tearDown() override
    {
        m_links.reset();
        m_target.reset();
    }

    void request_over_healed_link_is_answered()
    {
        CPPUNIT_ASSERT_EQUAL(200, call_through_link().m_response.m_status);
    }

    // Guards against a closed link that still forwards connections.
    void request_over_closed_link_fails_immediately()
    {
        set_mode(R"({"state":"closed"})");
        auto const start = std::chrono::steady_clock::now();
        CPPUNIT_ASSERT(call_through_link().m_error);
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start < 1s);
    }

    // Guards against a held link that closes connections or loses their bytes.
    void request_over_held_link_is_answered_after_healing()
    {
        set_mode(R"({"state":"held"})");
        auto held =
            std::async(std::launch::async, [this] { return call_through_link(); });
        CPPUNIT_ASSERT(held.wait_for(300ms) == std::future_status::timeout);
        set_mode("{}");
        CPPUNIT_ASSERT_EQUAL(200, held.get().m_response.m_status);
    }

    // Guards against a delay in only one direction.
    void request_over_delayed_link_takes_both_delays()
    {
        set_mode(R"({"delay_ms":100})");
        auto const start = std::chrono::steady_clock::now();
        CPPUNIT_ASSERT_EQUAL(200, call_through_link().m_response.m_status);
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start >= 200ms);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(link_standin_test);

} // namespace
