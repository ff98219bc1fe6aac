#include "entry/context.hpp"

#include <sys/eventfd.h>
#include <unistd.h>

#include <random>
#include <system_error>
#include <utility>

namespace cassiahub::entry
{

namespace internal
{

// Holds the events of a burst of 250 jobs of 230 tasks (57,500) while the decision thread
// is busy.
constexpr std::size_t event_ring_capacity = 65'536;
// Exceeds the number of upstream slots in one failure domain, with their cancellations.
constexpr std::size_t command_ring_capacity = 16'384;

// One write and one read are in flight at a time; the rest is headroom for duty restarts.
constexpr std::size_t store_ring_capacity = 64;
constexpr std::size_t document_ring_capacity = 4;
// Holds the outcomes of a burst of jobs while the telemetry duty writes the log.
constexpr std::size_t telemetry_ring_capacity = 16'384;

random_source make_random_source()
{
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device()};
    return random_source(seed);
}

} // namespace internal

wake_descriptor::wake_descriptor() : m_fd(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    if (m_fd < 0)
    {
        throw std::system_error(errno, std::system_category(), "eventfd");
    }
}

wake_descriptor::~wake_descriptor()
{
    ::close(m_fd);
}

void record(daemon_context & context, telemetry_item item)
{
    if (!context.m_telemetry.try_push(std::move(item)))
    {
        ++context.m_telemetry_dropped;
    }
}

daemon_context::daemon_context(config::entry_settings const & settings,
                               bool leases_upstreams)
    : m_settings(settings), m_events(internal::event_ring_capacity),
      m_attempts(internal::command_ring_capacity),
      m_cancellations(internal::command_ring_capacity),
      m_upstream_calls(internal::command_ring_capacity, m_call_wake.get()),
      m_answers(internal::command_ring_capacity, m_answer_wake.get()),
      m_peer_messages(internal::command_ring_capacity, m_peer_wake.get()),
      m_store_commands(internal::store_ring_capacity),
      m_documents(internal::document_ring_capacity),
      m_telemetry(internal::telemetry_ring_capacity), m_idle_notices(1),
      m_free_answer_rings(settings.m_caller_threads),
      m_random(internal::make_random_source())
{
    for (std::uint32_t index = 0; index < settings.m_caller_threads; ++index)
    {
        m_answer_rings.emplace_back(1);
        m_free_answer_rings.try_push(std::uint32_t(index));
    }
    m_incarnation = m_random();
    m_state = decision::make_entry_state({{settings.m_instance},
                                          settings.m_domain,
                                          settings.m_peer_address,
                                          m_incarnation,
                                          leases_upstreams});
}

} // namespace cassiahub::entry
