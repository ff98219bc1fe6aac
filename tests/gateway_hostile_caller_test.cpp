/// \file Tests of a gateway process with callers that send without end or never read.
/// They check memory, descriptors and one ordinary request, and no times.

#include "gateway_fixture.hpp"
#include "hostile_crowd.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace gateway_fixture;
using hostile_crowd::script;

namespace
{

constexpr duration wait_timeout = 20s;
/// The smallest machine has 120 MB.
constexpr std::size_t max_memory_kib = 110 * 1024;
/// With the connections that the settings below allow.
constexpr std::size_t max_descriptors = 800;
constexpr char const * settings = "max_connections = 500\n";

constexpr std::size_t senders = 24;
constexpr std::size_t bytes_of_sender = 6'000'000;
constexpr std::size_t unfinished_bodies = 200;
constexpr std::size_t bytes_of_unfinished_body = 1'000'000;

// Guards against callers that make the gateway run out of memory or descriptors, end it,
// or keep it from serving others.
class gateway_hostile_caller_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(gateway_hostile_caller_test);
    CPPUNIT_TEST(endless_trailers_stay_in_bounds);
    CPPUNIT_TEST(endless_trailers_to_readiness_server_stay_in_bounds);
    CPPUNIT_TEST(endless_chunk_extensions_stay_in_bounds);
    CPPUNIT_TEST(endless_header_fields_stay_in_bounds);
    CPPUNIT_TEST(declared_unfinished_bodies_stay_in_bounds);
    CPPUNIT_TEST(undeclared_unfinished_bodies_stay_in_bounds);
    CPPUNIT_TEST(declared_bodies_never_sent_stay_in_bounds);
    CPPUNIT_TEST(bodies_sent_on_after_refusal_stay_in_bounds);
    CPPUNIT_TEST(many_small_fields_before_unsent_body_stay_in_bounds);
    CPPUNIT_TEST(chunks_of_one_byte_stay_in_bounds);
    CPPUNIT_TEST(half_requests_stay_in_bounds);
    CPPUNIT_TEST(pipelined_requests_never_read_stay_in_bounds);
    CPPUNIT_TEST(pipelined_scrapes_never_read_stay_in_bounds);
    CPPUNIT_TEST(large_spec_of_many_tasks_stays_in_bounds);
    CPPUNIT_TEST(jobs_of_many_tasks_never_read_stay_in_bounds);
    CPPUNIT_TEST(connections_opened_and_closed_stay_in_bounds);
    CPPUNIT_TEST(ambiguous_lengths_are_survived);
    CPPUNIT_TEST_SUITE_END();

    platform_stand_in m_platform;
    std::unique_ptr<gateway_process> m_gateway;

    static void wait_until(std::string const & what,
                           std::function<bool()> const & condition)
    {
        time_point const limit = runtime::read_boot_clock() + wait_timeout;
        while (!condition())
        {
            CPPUNIT_ASSERT_MESSAGE("timed out waiting for: " + what,
                                   runtime::read_boot_clock() < limit);
            std::this_thread::sleep_for(20ms);
        }
    }

    /// \returns the start of a request, up to and without the line that ends the head.
    static std::string head(std::string_view fields, int job = 0)
    {
        return fmt::format("POST /check/{:016x} HTTP/1.1\r\nHost: test.example\r\n"
                           "Cassiahub-Deadline-Ms: 5000\r\n{}",
                           0xF0000 + job, fields);
    }

    static std::string chunked_head()
    {
        return head("Transfer-Encoding: chunked\r\n\r\n");
    }

    /// \returns a submission of \p tasks tasks whose spec has \p spec_bytes bytes.
    static std::string submission(std::size_t spec_bytes, int tasks, int job)
    {
        std::string const body = fmt::format(
            R"({{"spec":"{}","best-effort":true,"steps":[{{"count":{},"cpu":500,)"
            R"("mem-mb":64,"estimate-ms":50}}]}})",
            std::string(spec_bytes, 's'), tasks);
        return head(fmt::format("Content-Length: {}\r\n\r\n", body.size()), job) + body;
    }

    /// Checks the process while the callers are connected.
    void check_bounds()
    {
        int const pid = m_gateway->pid();
        hostile_crowd::wait_until_settled(pid);
        CPPUNIT_ASSERT_MESSAGE("the process has ended", m_gateway->is_running());
        std::size_t const peak = hostile_crowd::memory_kib(pid, "VmHWM");
        std::size_t const descriptors = hostile_crowd::open_descriptors(pid);
        fmt::print(" VmHWM {} MiB, {} descriptors\n", peak / 1024, descriptors);
        CPPUNIT_ASSERT_MESSAGE(fmt::format("VmHWM of {} KiB", peak),
                               peak <= max_memory_kib);
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} descriptors", descriptors),
                               descriptors <= max_descriptors);
    }

    /// Checks that one ordinary request is answered.
    void check_served()
    {
        CPPUNIT_ASSERT_EQUAL(200, m_gateway->run_job("00000000000000aa"));
        CPPUNIT_ASSERT(m_gateway->is_ready());
    }

    void check_crowd(std::size_t count, script const & sent)
    {
        hostile_crowd::crowd callers;
        callers.send(m_gateway->caller_address(), count, sent);
        check_bounds();
        check_served();
    }

public:
    void setUp() override
    {
        m_platform.put("op", "config",
                       R"({"version":1,"routes":[{"name":"check","host":"test.example",)"
                       R"("prefix":"/check/","type":"unsafe","timeout-ms":5000,)"
                       R"("target-duration-ms":4000,"priority":0,"service":"pool",)"
                       R"("max-attempts":4,"stretch":3}],"services":[{"name":"pool"}],)"
                       R"("limits":{}})");
        m_platform.add_upstream("up-0");
        m_gateway =
            std::make_unique<gateway_process>(m_platform.store_address(), "6s", settings);
        wait_until("gateway to be ready", [this] { return m_gateway->is_ready(); });
        wait_until("call to the upstream",
                   [this] { return m_platform.calls("up-0") > 0; });
    }

    void tearDown() override
    {
        m_gateway.reset();
    }

    void endless_trailers_stay_in_bounds()
    {
        check_crowd(senders,
                    {chunked_head() + "0\r\n", "X-Trailer: value\r\n", bytes_of_sender});
    }

    void endless_trailers_to_readiness_server_stay_in_bounds()
    {
        hostile_crowd::crowd callers;
        callers.send(m_gateway->ready_address(), senders,
                     {chunked_head() + "0\r\n", "X-Trailer: value\r\n", bytes_of_sender});
        check_bounds();
        check_served();
    }

    void endless_chunk_extensions_stay_in_bounds()
    {
        check_crowd(senders, {chunked_head() + "1", ";name=value", bytes_of_sender});
    }

    void endless_header_fields_stay_in_bounds()
    {
        check_crowd(senders, {head(""), "X-Field: value\r\n", bytes_of_sender});
    }

    void declared_unfinished_bodies_stay_in_bounds()
    {
        check_crowd(unfinished_bodies,
                    {head("Content-Length: 1040000\r\n\r\n"), std::string(1000, 'x'),
                     bytes_of_unfinished_body});
    }

    void undeclared_unfinished_bodies_stay_in_bounds()
    {
        check_crowd(unfinished_bodies,
                    {chunked_head(), "3e8\r\n" + std::string(1000, 'x') + "\r\n",
                     bytes_of_unfinished_body});
    }

    void declared_bodies_never_sent_stay_in_bounds()
    {
        check_crowd(unfinished_bodies, {head("Content-Length: 1040000\r\n\r\n"), "", 0});
    }

    void bodies_sent_on_after_refusal_stay_in_bounds()
    {
        check_crowd(senders, {head("Content-Length: 100000000\r\n\r\n"),
                              std::string(1000, 'x'), bytes_of_sender});
    }

    void many_small_fields_before_unsent_body_stay_in_bounds()
    {
        std::string fields;
        for (int field = 0; field < 3000; ++field)
        {
            fields += "a:\r\n";
        }
        check_crowd(480, {head(fields + "Content-Length: 1000\r\n\r\n"), "", 0});
    }

    void chunks_of_one_byte_stay_in_bounds()
    {
        check_crowd(100, {chunked_head(), "1\r\nx\r\n", 200'000});
    }

    // More callers than the gateway accepts connections.
    void half_requests_stay_in_bounds()
    {
        check_crowd(1600, {head("X-Half: "), "", 0});
    }

    void pipelined_requests_never_read_stay_in_bounds()
    {
        check_crowd(100, {"",
                          "GET /check/00000000000000bb HTTP/1.1\r\n"
                          "Host: test.example\r\n\r\n",
                          160'000});
    }

    void pipelined_scrapes_never_read_stay_in_bounds()
    {
        hostile_crowd::crowd callers;
        callers.send(m_gateway->metrics_address(), 100,
                     {"", "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n", 40'000});
        check_bounds();
        check_served();
    }

    void large_spec_of_many_tasks_stays_in_bounds()
    {
        check_crowd(1, {submission(900'000, 230, 1), "", 0});
    }

    // Jobs within the limits of ordinary callers, but more than the machine can hold.
    void jobs_of_many_tasks_never_read_stay_in_bounds()
    {
        {
            hostile_crowd::crowd callers;
            for (int job = 0; job < 300; ++job)
            {
                callers.send(m_gateway->caller_address(), 1,
                             {submission(4000, 230, job), "", 0});
            }
            check_bounds();
        }
        // Until then the upstream is busy with the jobs.
        wait_until("job to be run",
                   [this] { return m_gateway->run_job("00000000000000aa") == 200; });
    }

    void connections_opened_and_closed_stay_in_bounds()
    {
        for (int round = 0; round < 10; ++round)
        {
            hostile_crowd::crowd callers;
            callers.send(m_gateway->caller_address(), 300, {head("X-Half: "), "", 0});
        }
        check_bounds();
        check_served();
    }

    void ambiguous_lengths_are_survived()
    {
        hostile_crowd::crowd callers;
        for (char const * const lengths :
             {"Content-Length: -1", "Content-Length: 99999999999999999999999",
              "Content-Length: 5\r\nContent-Length: 6",
              "Content-Length: 5\r\nTransfer-Encoding: chunked"})
        {
            callers.send(m_gateway->caller_address(), 20,
                         {head(lengths) + "\r\n\r\n", "5\r\nhello\r\n", 1000});
        }
        check_bounds();
        check_served();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_hostile_caller_test);

} // namespace
