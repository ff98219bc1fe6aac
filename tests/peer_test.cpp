/// \file Tests of the peer exchange: two exchanges in one process, connected over
/// loopback.

#include "peer/frames.hpp"

#include <cassiahub/peer.hpp>
#include <cassiahub/runtime.hpp>

#include <arpa/inet.h>
#include <cppunit/extensions/HelperMacros.h>
#include <netinet/in.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <random>
#include <string>
#include <thread>

using namespace cassiahub;
using namespace cassiahub::decision;
using namespace std::chrono_literals;

namespace
{

/// Timeout of waits; reached only when a test fails.
constexpr duration max_wait = 10s;

/// A listening TCP socket on a free port of 127.0.0.1.
class listening_socket
{
public:
    listening_socket() : m_fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        CPPUNIT_ASSERT(bind(m_fd, reinterpret_cast<sockaddr *>(&address), size) == 0);
        CPPUNIT_ASSERT(listen(m_fd, 8) == 0);
        getsockname(m_fd, reinterpret_cast<sockaddr *>(&address), &size);
        m_port = ntohs(address.sin_port);
    }

    listening_socket(listening_socket const &) = delete;
    listening_socket & operator=(listening_socket const &) = delete;

    ~listening_socket()
    {
        close(m_fd);
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_port);
    }

    int port() const
    {
        return m_port;
    }

private:
    int m_fd;
    int m_port = 0;
};

/// \returns a socket connected to \p address ("127.0.0.1:port"), or -1.
int connect_to(std::string const & address)
{
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    target.sin_port = htons(
        static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1))));
    int const fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (::connect(fd, reinterpret_cast<sockaddr *>(&target), sizeof target) == 0)
    {
        return fd;
    }
    close(fd);
    return -1;
}

std::string free_address()
{
    return listening_socket().address();
}

/// One instance: an exchange on its own thread, and its rings.
class test_instance
{
public:
    test_instance(std::string const & name, std::size_t event_capacity = 4096,
                  std::string const & address = free_address())
        : m_wake_fd(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)), m_outgoing(4096, m_wake_fd),
          m_events(event_capacity)
    {
        m_options.m_instance = name;
        m_options.m_incarnation = 7;
        m_options.m_listen_address = address;
        m_options.m_secret = "a shared secret of the fleet";
        // A slow machine must not cause call timeouts.
        m_options.m_limits.m_call_timeout = max_wait;
    }

    test_instance(test_instance const &) = delete;
    test_instance & operator=(test_instance const &) = delete;

    ~test_instance()
    {
        stop();
        close(m_wake_fd);
    }

    /// Starts the exchange and waits until its port accepts connections.
    void start()
    {
        m_thread = std::jthread(
            [this](std::stop_token const & stop)
            {
                m_result = peer::run_exchange(
                    m_options, {m_outgoing, m_events, m_wake_fd}, m_counters, stop);
            });
        int fd = -1;
        for (int attempt = 0; attempt < 3000 && fd < 0; ++attempt)
        {
            std::this_thread::sleep_for(10ms);
            fd = connect_to(m_options.m_listen_address);
        }
        CPPUNIT_ASSERT(fd >= 0);
        close(fd);
    }

    void stop()
    {
        if (m_thread.joinable())
        {
            m_thread.request_stop();
            m_thread.join();
        }
    }

    void send(test_instance const & to, peer_message message)
    {
        send_to(to.m_options.m_instance, to.m_options.m_listen_address,
                std::move(message));
    }

    void send_to(std::string const & name, std::string const & address,
                 peer_message message)
    {
        m_outgoing.push({{name}, address, std::move(message)}, {});
    }

    /// Waits for the next event, which must have the type Event.
    template <typename Event>
    Event next_event()
    {
        std::optional<event> occurred = m_events.pop(max_wait);
        CPPUNIT_ASSERT(occurred);
        CPPUNIT_ASSERT(std::holds_alternative<Event>(*occurred));
        return std::get<Event>(std::move(*occurred));
    }

    /// Skips events up to the next peer_disconnected. \returns the peer that it names.
    std::string next_disconnected()
    {
        while (true)
        {
            std::optional<event> const occurred = m_events.pop(max_wait);
            CPPUNIT_ASSERT(occurred);
            if (auto const * const found = std::get_if<peer_disconnected>(&*occurred))
            {
                return found->m_peer.m_value;
            }
        }
    }

    /// Waits for the next event, which must be the key_notice_received \p request.
    void expect_message(peer_request_number request)
    {
        auto const received = next_event<peer_message_received>();
        CPPUNIT_ASSERT_EQUAL(request,
                             std::get<key_notice_received>(received.m_message).m_request);
    }

    /// Sends messages until one arrives; those sent while the session ends may be lost.
    void send_until_received(test_instance & to)
    {
        for (int attempt = 0; attempt < 3000; ++attempt)
        {
            send(to, key_notice_received{999});
            std::optional<event> const occurred = to.m_events.pop(10ms);
            if (occurred && std::holds_alternative<peer_message_received>(*occurred))
            {
                return;
            }
        }
        CPPUNIT_FAIL(
            "the target instance received none of 3000 messages sent up to 10 ms apart");
    }

    int m_wake_fd;
    peer::exchange_options m_options;
    peer::exchange_counters m_counters;
    runtime::bounded_ring<send_peer> m_outgoing;
    runtime::bounded_ring<event> m_events;
    std::error_code m_result;
    std::jthread m_thread;
};

// Guards against messages that are lost, reordered or accepted from unauthenticated
// senders.
class exchange_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(exchange_test);
    CPPUNIT_TEST(message_arrives_under_name_of_sender);
    CPPUNIT_TEST(many_messages_arrive_in_order);
    CPPUNIT_TEST(full_event_ring_delays_but_loses_no_message);
    CPPUNIT_TEST(large_message_between_small_ones_arrives_whole);
    CPPUNIT_TEST(many_batches_need_few_acknowledgements);
    CPPUNIT_TEST(stop_request_sends_queued_messages);
    CPPUNIT_TEST(wrong_secret_is_rejected);
    CPPUNIT_TEST(wrong_target_is_rejected);
    CPPUNIT_TEST(heartbeat_with_wrong_incarnation_is_rejected);
    CPPUNIT_TEST(malformed_frame_ends_only_its_session);
    CPPUNIT_TEST(frame_beyond_limit_ends_session_with_reason);
    CPPUNIT_TEST(random_bytes_do_not_stop_exchange);
    CPPUNIT_TEST(address_in_use_returns_bind_failed);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<test_instance> m_north;
    std::unique_ptr<test_instance> m_south;

    void start_both()
    {
        m_north->start();
        m_south->start();
    }

public:
    void setUp() override
    {
        m_north = std::make_unique<test_instance>("north-1");
        m_south = std::make_unique<test_instance>("south-1");
    }

    void tearDown() override
    {
        m_north.reset();
        m_south.reset();
    }

    void message_arrives_under_name_of_sender()
    {
        start_both();
        m_north->send(*m_south, key_notice_received{1});
        auto const received = m_south->next_event<peer_message_received>();
        CPPUNIT_ASSERT_EQUAL(std::string("north-1"), received.m_from.m_value);
    }

    void many_messages_arrive_in_order()
    {
        start_both();
        for (peer_request_number request = 0; request < 10'000; ++request)
        {
            m_north->send(*m_south, key_notice_received{request});
            if (request % 1000 == 999)
            {
                for (peer_request_number expected = request - 999; expected <= request;
                     ++expected)
                {
                    m_south->expect_message(expected);
                }
            }
        }
        // Messages are sent in batches, so there are fewer batches than messages.
        CPPUNIT_ASSERT(m_north->m_counters.m_batches_sent < 10'000);
    }

    // Guards against a frame that does not fit the buffer of a connection.
    void large_message_between_small_ones_arrives_whole()
    {
        start_both();
        for (peer_request_number request = 0; request < 20; ++request)
        {
            std::string const document(request * 50'000, 'x');
            m_north->send(*m_south, key_notice_received{request});
            m_north->send(*m_south, configuration_notice{request, document});
            m_south->expect_message(request);
            auto const received = m_south->next_event<peer_message_received>();
            CPPUNIT_ASSERT(document ==
                           std::get<configuration_notice>(received.m_message).m_document);
        }
    }

    void many_batches_need_few_acknowledgements()
    {
        start_both();
        for (peer_request_number request = 0; request < 1'000; ++request)
        {
            m_north->send(*m_south, key_notice_received{request});
            m_south->expect_message(request);
        }
        CPPUNIT_ASSERT(m_north->m_counters.m_acknowledgements * 10 <
                       m_north->m_counters.m_batches_sent);
    }

    void full_event_ring_delays_but_loses_no_message()
    {
        m_south = std::make_unique<test_instance>("south-1", 2);
        start_both();
        for (peer_request_number request = 0; request < 2'000; ++request)
        {
            m_north->send(*m_south, key_notice_received{request});
        }
        for (peer_request_number request = 0; request < 2'000; ++request)
        {
            m_south->expect_message(request);
        }
    }

    void stop_request_sends_queued_messages()
    {
        m_south->start();
        m_north->m_options.m_limits.m_drain_timeout = max_wait;
        for (peer_request_number request = 0; request < 100; ++request)
        {
            m_north->send(*m_south, key_notice_received{request});
        }
        m_north->start();
        m_north->stop();
        for (peer_request_number request = 0; request < 100; ++request)
        {
            m_south->expect_message(request);
        }
    }

    void wrong_secret_is_rejected()
    {
        m_north->m_options.m_secret = "another secret of some length";
        start_both();
        m_north->send(*m_south, key_notice_received{1});
        CPPUNIT_ASSERT_EQUAL(std::string("south-1"), m_north->next_disconnected());
        CPPUNIT_ASSERT(m_south->m_counters.m_opens_rejected > 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_south->m_events.size());
    }

    void wrong_target_is_rejected()
    {
        start_both();
        m_north->send_to("south-2", m_south->m_options.m_listen_address,
                         key_notice_received{1});
        CPPUNIT_ASSERT_EQUAL(std::string("south-2"), m_north->next_disconnected());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_south->m_events.size());
    }

    void heartbeat_with_wrong_incarnation_is_rejected()
    {
        start_both();
        heartbeat sent;
        sent.m_domain = "north";
        sent.m_incarnation = m_north->m_options.m_incarnation + 1;
        m_north->send(*m_south, sent);
        m_north->next_disconnected();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1),
                             m_south->m_counters.m_batches_rejected.load());
    }

    // Guards against a malformed message that ends more than the session it came in.
    void malformed_frame_ends_only_its_session()
    {
        start_both();
        m_north->send_until_received(*m_south);
        std::string const secret = m_south->m_options.m_secret;
        auto const open = peer::internal::encode_open(
            {reinterpret_cast<kj::byte const *>(secret.data()), secret.size()}, "west-1",
            7, "south-1");
        std::string const malformed(64, '\xff');
        for (int round = 0; round < 20; ++round)
        {
            int const fd = connect_to(m_south->m_options.m_listen_address);
            CPPUNIT_ASSERT(fd >= 0);
            ::send(fd, open.begin(), open.asBytes().size(), MSG_NOSIGNAL);
            ::send(fd, malformed.data(), malformed.size(), MSG_NOSIGNAL);
            CPPUNIT_ASSERT_EQUAL(std::string("west-1"), m_south->next_disconnected());
            close(fd);
        }
        m_north->send(*m_south, key_notice_received{1});
        m_south->expect_message(1);
    }

    // Guards against a session that ends without a reason in the log, and against memory
    // that is allocated for a frame as large as its sender claims.
    void frame_beyond_limit_ends_session_with_reason()
    {
        runtime::bounded_ring<std::error_code> reasons(16);
        m_south->m_options.m_limits.m_message_bytes = 100'000;
        m_south->m_options.m_on_rejected =
            [&reasons](std::string_view, std::error_code reason, std::string_view)
        {
            reasons.try_push(std::error_code(reason));
        };
        start_both();
        m_north->send(*m_south, key_notice_received{1});
        m_south->expect_message(1);
        m_north->send(*m_south, configuration_notice{1, std::string(200'000, 'x')});
        CPPUNIT_ASSERT_EQUAL(std::string("north-1"), m_south->next_disconnected());
        CPPUNIT_ASSERT(reasons.pop(max_wait) == peer::peer_errc::frame_rejected);
        m_south.reset(); // uses reasons
    }

    void random_bytes_do_not_stop_exchange()
    {
        start_both();
        std::mt19937_64 random(20'261'204);
        for (int round = 0; round < 500; ++round)
        {
            int const fd = connect_to(m_south->m_options.m_listen_address);
            CPPUNIT_ASSERT(fd >= 0);
            std::string bytes(random() % 512, '\0');
            for (char & byte : bytes)
            {
                byte = static_cast<char>(random());
            }
            ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            close(fd);
        }
        m_north->send_until_received(*m_south);
    }

    void address_in_use_returns_bind_failed()
    {
        listening_socket const taken;
        test_instance third("north-2", 16, taken.address());
        third.start();
        third.m_thread.join();
        CPPUNIT_ASSERT(third.m_result == peer::peer_errc::bind_failed);
    }
};

// Guards against requests that wait for an instance that has failed: an exchange that
// loses messages must report the peer as disconnected.
class broken_session_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(broken_session_test);
    CPPUNIT_TEST(unreachable_peer_is_reported);
    CPPUNIT_TEST(unreachable_peer_with_only_periodic_messages_is_not_reported);
    CPPUNIT_TEST(stopped_sender_is_reported_by_receiver);
    CPPUNIT_TEST(restarted_peer_is_reached_again);
    CPPUNIT_TEST(unresponsive_listener_is_reported_after_timeout);
    CPPUNIT_TEST(unacknowledged_batch_is_reported);
    CPPUNIT_TEST(full_queue_drops_oldest_periodic_messages_first);
    CPPUNIT_TEST(full_queue_of_requests_is_reported);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<test_instance> m_north;
    std::unique_ptr<test_instance> m_south;

    /// Waits until \p sender has dropped \p count periodic messages.
    static void wait_for_dropped(test_instance const & sender, std::uint64_t count)
    {
        for (int round = 0;
             round < 30'000 && sender.m_counters.m_periodic_dropped < count; ++round)
        {
            std::this_thread::sleep_for(1ms);
        }
        CPPUNIT_ASSERT_EQUAL(count, sender.m_counters.m_periodic_dropped.load());
    }

public:
    void setUp() override
    {
        m_north = std::make_unique<test_instance>("north-1");
        m_south = std::make_unique<test_instance>("south-1");
    }

    void tearDown() override
    {
        m_north.reset();
        m_south.reset();
    }

    void unreachable_peer_is_reported()
    {
        m_north->start();
        m_north->send(*m_south, forward_request{});
        m_north->next_disconnected();
    }

    void unreachable_peer_with_only_periodic_messages_is_not_reported()
    {
        m_north->start();
        m_north->send(*m_south, load_report{});
        m_north->send_to("south-2", free_address(), key_notice_received{1});
        // An event for south-1 would have come first.
        CPPUNIT_ASSERT_EQUAL(std::string("south-2"), m_north->next_disconnected());
    }

    void stopped_sender_is_reported_by_receiver()
    {
        m_north->start();
        m_south->start();
        m_north->send_until_received(*m_south);
        m_north->stop();
        CPPUNIT_ASSERT_EQUAL(std::string("north-1"), m_south->next_disconnected());
    }

    void restarted_peer_is_reached_again()
    {
        m_north->start();
        m_south->start();
        m_north->send_until_received(*m_south);
        std::string const address = m_south->m_options.m_listen_address;
        m_south = std::make_unique<test_instance>("south-1", 4096, address);
        m_south->start();
        m_north->send_until_received(*m_south);
        m_north->next_disconnected();
    }

    void unresponsive_listener_is_reported_after_timeout()
    {
        listening_socket const unresponsive;
        m_north->m_options.m_limits.m_call_timeout = 100ms;
        m_north->start();
        m_north->send_to("south-1", unresponsive.address(), forward_request{});
        m_north->next_disconnected();
    }

    void unacknowledged_batch_is_reported()
    {
        m_south = std::make_unique<test_instance>("south-1", 1);
        m_north->m_options.m_limits.m_call_timeout = 100ms;
        m_north->start();
        m_south->start();
        m_north->send(*m_south, key_notice_received{1});
        m_north->send(*m_south, key_notice_received{2});
        m_north->next_disconnected();
    }

    void full_queue_drops_oldest_periodic_messages_first()
    {
        listening_socket const unresponsive;
        m_north->m_options.m_limits.m_queued_messages = 3;
        m_north->m_options.m_limits.m_call_timeout = max_wait;
        m_north->start();
        m_north->send_to("south-1", unresponsive.address(), load_report{});
        m_north->send_to("south-1", unresponsive.address(), load_report{});
        for (peer_request_number request = 1; request <= 3; ++request)
        {
            m_north->send_to("south-1", unresponsive.address(),
                             key_notice_received{request});
        }
        wait_for_dropped(*m_north, 2);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0),
                             m_north->m_counters.m_messages_refused.load());
    }

    void full_queue_of_requests_is_reported()
    {
        listening_socket const unresponsive;
        m_north->m_options.m_limits.m_queued_messages = 3;
        m_north->m_options.m_limits.m_call_timeout = max_wait;
        m_north->start();
        for (peer_request_number request = 1; request <= 4; ++request)
        {
            m_north->send_to("south-1", unresponsive.address(),
                             key_notice_received{request});
        }
        m_north->next_disconnected();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1),
                             m_north->m_counters.m_messages_refused.load());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(exchange_test);
CPPUNIT_TEST_SUITE_REGISTRATION(broken_session_test);

} // namespace
