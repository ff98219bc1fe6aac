#include "entry/context.hpp"

#include <random>

namespace cassiahub::entry
{

namespace internal
{

// Enough for a burst of 250 jobs of 230 tasks while the decision duty is busy.
constexpr std::size_t event_ring_capacity = 65'536;
// More than the slots of the upstreams of one failure domain with their cancellations.
constexpr std::size_t command_ring_capacity = 16'384;

random_source seeded_random_source()
{
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device()};
    return random_source(seed);
}

} // namespace internal

daemon_context::daemon_context(config::entry_settings const & settings)
    : m_settings(settings), m_events(internal::event_ring_capacity),
      m_upstream_commands(internal::command_ring_capacity),
      m_free_replies(settings.m_caller_threads),
      m_random(internal::seeded_random_source())
{
    for (std::uint32_t index = 0; index < settings.m_caller_threads; ++index)
    {
        m_replies.emplace_back(1);
        m_free_replies.try_push(std::uint32_t(index));
    }
    m_state = decision::make_entry_state(
        {{settings.m_instance}, settings.m_domain, settings.m_peer_address, m_random()});
}

} // namespace cassiahub::entry
