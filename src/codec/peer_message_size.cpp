#include <cassiahub/codec/job_json.hpp>
#include <cassiahub/codec/peer_codec.hpp>
#include <cassiahub/core/error.hpp>

#include <numeric>
#include <string>
#include <vector>

namespace cassiahub::codec
{

namespace internal
{

// The constants in this file approximate the encoded size, in bytes, of fixed-size parts.

/// Fixed-size part of any message.
constexpr std::size_t fixed_size = 128;

/// \returns the approximate encoded size of the parts that vary from message to message.
std::size_t variable_size(job_key const & key) noexcept
{
    return key.m_tenant.size() + key.m_home_domain.size() + key.m_key.size() + 32;
}

std::size_t variable_size(decision::forward_request const & message) noexcept
{
    return std::accumulate(message.m_spec.m_tasks.begin(), message.m_spec.m_tasks.end(),
                           variable_size(message.m_spec.m_key),
                           [](std::size_t sum, task_spec const & task)
                           { return sum + task.m_payload.size() + 48; });
}

std::size_t variable_size(decision::request_answered const & message) noexcept
{
    return std::accumulate(message.m_answer.m_results.begin(),
                           message.m_answer.m_results.end(), std::size_t(0),
                           [](std::size_t sum, std::string const & result)
                           { return sum + result.size() + 16; });
}

std::size_t variable_size(decision::forward_task const & message) noexcept
{
    return variable_size(message.m_start.m_job) + message.m_start.m_payload.size();
}

std::size_t variable_size(decision::task_reported const & message) noexcept
{
    return message.m_result.m_payload.size();
}

std::size_t variable_size(decision::heartbeat const & message) noexcept
{
    return std::accumulate(
        message.m_held_upstreams.begin(), message.m_held_upstreams.end(),
        message.m_holdings.size() * 16 + message.m_loads.size() * 64 +
            message.m_interference.m_kinds.size() * 32 +
            message.m_interference.m_pairs.size() * 40 +
            message.m_draining_upstreams.size() * 48,
        [](std::size_t sum, std::string const & name) { return sum + name.size() + 16; });
}

std::size_t variable_size(decision::key_notice const & message) noexcept
{
    return std::accumulate(message.m_keys.begin(), message.m_keys.end(), std::size_t(0),
                           [](std::size_t sum, job_key const & key)
                           { return sum + variable_size(key); });
}

std::size_t variable_size(decision::configuration_notice const & message) noexcept
{
    return message.m_document.size();
}

std::size_t variable_size(decision::drained_domains_notice const & message) noexcept
{
    return std::accumulate(message.m_domains.begin(), message.m_domains.end(),
                           std::size_t(0),
                           [](std::size_t sum, std::string const & domain)
                           { return sum + domain.size() + 16; });
}

std::size_t variable_size(decision::loss_notice const & message) noexcept
{
    return std::accumulate(message.m_loss.m_tasks.begin(), message.m_loss.m_tasks.end(),
                           message.m_loss.m_upstream.m_name.size(),
                           [](std::size_t sum, dispatch::task_identity const & task) {
                               return sum + task.m_tenant.size() + task.m_job.size() + 40;
                           });
}

/// The remaining messages have only fixed-size parts.
template <typename Other>
std::size_t variable_size(Other const &) noexcept
{
    return 0;
}

} // namespace internal

std::size_t approximate_size(decision::peer_message const & message) noexcept
{
    return std::visit(
        [](auto const & alternative)
        { return internal::fixed_size + internal::variable_size(alternative); },
        message);
}

} // namespace cassiahub::codec
