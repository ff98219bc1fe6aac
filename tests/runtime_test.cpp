/// \file Tests of bounded rings and supervisors.

#include <cassiahub/runtime.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

using namespace cassiahub;
using namespace cassiahub::runtime;
using namespace std::chrono_literals;

namespace
{

// Guards against items that are lost, reordered or accepted beyond the capacity.
class bounded_ring_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(bounded_ring_test);
    CPPUNIT_TEST(try_push_full_ring_returns_false);
    CPPUNIT_TEST(pop_all_several_items_keeps_order);
    CPPUNIT_TEST(push_full_ring_waits_for_space);
    CPPUNIT_TEST(pop_closed_ring_returns_remaining_items_then_nothing);
    CPPUNIT_TEST(push_full_ring_stop_requested_returns_false);
    CPPUNIT_TEST_SUITE_END();

public:
    void try_push_full_ring_returns_false()
    {
        bounded_ring<int> ring(1);
        CPPUNIT_ASSERT(ring.try_push(1));
        CPPUNIT_ASSERT(!ring.try_push(2));
        CPPUNIT_ASSERT_EQUAL(1, *ring.pop(0ms));
    }

    void pop_all_several_items_keeps_order()
    {
        bounded_ring<int> ring(3);
        for (int item : {1, 2, 3})
        {
            ring.try_push(int(item));
        }
        std::vector<int> items;
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), ring.pop_all(items, 0ms));
        CPPUNIT_ASSERT(items == std::vector<int>({1, 2, 3}));
    }

    void push_full_ring_waits_for_space()
    {
        bounded_ring<int> ring(1);
        ring.try_push(1);
        std::jthread producer([&ring](std::stop_token const & stop)
                              { ring.push(2, stop); });
        CPPUNIT_ASSERT_EQUAL(1, *ring.pop(10s));
        CPPUNIT_ASSERT_EQUAL(2, *ring.pop(10s));
    }

    void pop_closed_ring_returns_remaining_items_then_nothing()
    {
        bounded_ring<int> ring(2);
        ring.try_push(7);
        ring.close();
        CPPUNIT_ASSERT(!ring.try_push(8));
        CPPUNIT_ASSERT_EQUAL(7, *ring.pop(0ms));
        CPPUNIT_ASSERT(!ring.pop(10s));
    }

    void push_full_ring_stop_requested_returns_false()
    {
        bounded_ring<int> ring(1);
        ring.try_push(1);
        std::stop_source stop;
        stop.request_stop();
        CPPUNIT_ASSERT(!ring.push(2, stop.get_token()));
    }
};

// Guards against a failed duty that isn't restarted, an endless restart loop, and a child
// that is stopped before the children that depend on it.
class supervisor_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(supervisor_test);
    CPPUNIT_TEST(supervise_throwing_duty_restarts_it);
    CPPUNIT_TEST(supervise_duty_that_always_fails_exceeds_intensity);
    CPPUNIT_TEST(supervise_temporary_duty_is_not_restarted);
    CPPUNIT_TEST(supervise_stop_request_stops_in_reverse_order);
    CPPUNIT_TEST(supervise_nested_supervisor_failure_reaches_root);
    CPPUNIT_TEST_SUITE_END();

    std::mutex m_mutex;
    std::vector<std::string> m_stop_order;
    std::stop_source m_stop;

    child_spec waiting_child(std::string const & name)
    {
        return {name,
                [this, name](std::stop_token const & stop)
                {
                    wait_for_stop(stop);
                    std::lock_guard<std::mutex> const lock(m_mutex);
                    m_stop_order.push_back(name);
                    return std::error_code();
                },
                restart_policy::permanent};
    }

public:
    void setUp() override
    {
        m_stop_order.clear();
        m_stop = std::stop_source();
    }

    void supervise_throwing_duty_restarts_it()
    {
        std::atomic<int> runs{0};
        supervisor_spec spec;
        spec.m_children = {{"throws-once",
                            [this, &runs](std::stop_token const &) -> std::error_code
                            {
                                if (++runs == 1)
                                {
                                    throw std::runtime_error("first run");
                                }
                                m_stop.request_stop();
                                return {};
                            },
                            restart_policy::permanent}};
        CPPUNIT_ASSERT(!supervise(spec, m_stop.get_token()));
        CPPUNIT_ASSERT_EQUAL(2, runs.load());
    }

    void supervise_duty_that_always_fails_exceeds_intensity()
    {
        std::atomic<int> runs{0};
        supervisor_spec spec;
        spec.m_max_restarts = 3;
        spec.m_restart_period = 1h;
        spec.m_children = {{"always-fails",
                            [&runs](std::stop_token const &) -> std::error_code
                            {
                                ++runs;
                                return std::make_error_code(std::errc::io_error);
                            },
                            restart_policy::permanent}};
        std::error_code const failure = supervise(spec, m_stop.get_token());
        CPPUNIT_ASSERT(failure == runtime_errc::restart_intensity_exceeded);
        CPPUNIT_ASSERT_EQUAL(4, runs.load());
    }

    void supervise_temporary_duty_is_not_restarted()
    {
        std::atomic<int> runs{0};
        supervisor_spec spec;
        spec.m_observer = [this](std::string_view, child_event event, std::error_code)
        {
            if (event == child_event::failed)
            {
                m_stop.request_stop();
            }
        };
        spec.m_children = {{"one-shot",
                            [&runs](std::stop_token const &) -> std::error_code
                            {
                                ++runs;
                                return {};
                            },
                            restart_policy::temporary}};
        CPPUNIT_ASSERT(!supervise(spec, m_stop.get_token()));
        CPPUNIT_ASSERT_EQUAL(1, runs.load());
    }

    void supervise_stop_request_stops_in_reverse_order()
    {
        supervisor_spec spec;
        spec.m_children = {waiting_child("first"), waiting_child("second"),
                           waiting_child("third")};
        std::size_t started = 0;
        spec.m_observer =
            [this, &started](std::string_view, child_event event, std::error_code)
        {
            if (event == child_event::started && ++started == 3)
            {
                m_stop.request_stop();
            }
        };
        CPPUNIT_ASSERT(!supervise(spec, m_stop.get_token()));
        CPPUNIT_ASSERT(m_stop_order ==
                       std::vector<std::string>({"third", "second", "first"}));
    }

    void supervise_nested_supervisor_failure_reaches_root()
    {
        supervisor_spec inner;
        inner.m_name = "inner";
        inner.m_max_restarts = 0;
        inner.m_children = {{"fails",
                             [](std::stop_token const &) -> std::error_code
                             { return std::make_error_code(std::errc::io_error); },
                             restart_policy::permanent}};
        supervisor_spec root;
        root.m_max_restarts = 1;
        root.m_children = {waiting_child("other"), as_child(inner)};
        std::error_code const failure = supervise(root, m_stop.get_token());
        CPPUNIT_ASSERT(failure == runtime_errc::restart_intensity_exceeded);
        CPPUNIT_ASSERT(m_stop_order == std::vector<std::string>({"other"}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(bounded_ring_test);
CPPUNIT_TEST_SUITE_REGISTRATION(supervisor_test);

} // namespace
