/// \file Tests of the decisions about connections that hold too much or take too long.

#include <cassiahub/http/connection_limits.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace cassiahub;
using namespace std::chrono_literals;
using http::client_limit;
using http::connection_phase;

namespace
{

// Guards against closing an ordinary client, or one that waits for its job, instead of a
// slow one, and against holding more bytes than the limits allow.
class http_limits_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(http_limits_test);
    CPPUNIT_TEST(slow_client_is_evicted_before_silent_and_idle_ones);
    CPPUNIT_TEST(silent_client_is_evicted_before_idle_one);
    CPPUNIT_TEST(client_that_waits_for_job_is_never_evicted);
    CPPUNIT_TEST(young_transfer_is_not_slow);
    CPPUNIT_TEST(oldest_of_slow_clients_is_chosen);
    CPPUNIT_TEST(bytes_at_limit_are_allowed_and_one_more_is_not);
    CPPUNIT_TEST(refusal_for_lack_of_memory_may_be_repeated);
    CPPUNIT_TEST(running_request_has_no_timeout);
    CPPUNIT_TEST(connections_leave_reserved_descriptors);
    CPPUNIT_TEST_SUITE_END();

    time_point const m_now{1h};
    http::oldest_by_phase m_oldest;

    void add(connection_phase phase, duration age)
    {
        m_oldest[static_cast<std::size_t>(phase)] = m_now - age;
    }

public:
    void slow_client_is_evicted_before_silent_and_idle_ones()
    {
        add(connection_phase::idle, 50s);
        add(connection_phase::opened, 40s);
        add(connection_phase::body, 2s);
        CPPUNIT_ASSERT(http::choose_eviction(m_oldest, m_now) == connection_phase::body);
    }

    void silent_client_is_evicted_before_idle_one()
    {
        add(connection_phase::idle, 50s);
        add(connection_phase::opened, 1ms);
        add(connection_phase::body, 1ms);
        CPPUNIT_ASSERT(http::choose_eviction(m_oldest, m_now) ==
                       connection_phase::opened);
    }

    void client_that_waits_for_job_is_never_evicted()
    {
        add(connection_phase::running, 60s);
        CPPUNIT_ASSERT(!http::choose_eviction(m_oldest, m_now));
        CPPUNIT_ASSERT(!http::choose_slow(m_oldest, m_now));
    }

    void young_transfer_is_not_slow()
    {
        add(connection_phase::body, 100ms);
        add(connection_phase::idle, 50s);
        CPPUNIT_ASSERT(!http::choose_slow(m_oldest, m_now));
        CPPUNIT_ASSERT(http::choose_eviction(m_oldest, m_now) == connection_phase::idle);
    }

    void oldest_of_slow_clients_is_chosen()
    {
        add(connection_phase::head, 2s);
        add(connection_phase::responding, 3s);
        CPPUNIT_ASSERT(http::choose_slow(m_oldest, m_now) ==
                       connection_phase::responding);
    }

    void bytes_at_limit_are_allowed_and_one_more_is_not()
    {
        http::connection_limits limits;
        limits.m_max_chunk_bytes = 10;
        limits.m_max_connection_bytes = 20;
        limits.m_max_held_bytes = 30;
        CPPUNIT_ASSERT(!http::exceeded_limit(limits, {10, 20, 30}));
        CPPUNIT_ASSERT(http::exceeded_limit(limits, {11, 20, 30}) ==
                       client_limit::chunk_bytes);
        CPPUNIT_ASSERT(http::exceeded_limit(limits, {10, 21, 30}) ==
                       client_limit::connection_bytes);
        CPPUNIT_ASSERT(http::exceeded_limit(limits, {10, 20, 31}) ==
                       client_limit::held_bytes);
    }

    void refusal_for_lack_of_memory_may_be_repeated()
    {
        CPPUNIT_ASSERT_EQUAL(503, http::refusal_status(client_limit::held_bytes));
        CPPUNIT_ASSERT_EQUAL(413, http::refusal_status(client_limit::body_bytes));
        CPPUNIT_ASSERT_EQUAL(431, http::refusal_status(client_limit::header_bytes));
    }

    void running_request_has_no_timeout()
    {
        CPPUNIT_ASSERT(!http::phase_timeout({}, connection_phase::running));
        CPPUNIT_ASSERT(http::phase_timeout({}, connection_phase::head));
    }

    void connections_leave_reserved_descriptors()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t(2200),
                             http::usable_connections(2200, 3075, 800));
        CPPUNIT_ASSERT_EQUAL(std::size_t(250), http::usable_connections(2200, 1000, 800));
        CPPUNIT_ASSERT_EQUAL(std::size_t(100), http::usable_connections(2200, 400, 800));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_limits_test);

} // namespace
