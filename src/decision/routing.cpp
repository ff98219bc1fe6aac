#include "decision/context.hpp"

#include <cassiahub/core/error.hpp>
#include <cassiahub/membership/members.hpp>
#include <cassiahub/ownership/owner.hpp>

#include <algorithm>
#include <random>

namespace cassiahub::decision::internal
{

/// Time limit of a query or cancellation.
constexpr duration short_request_timeout = std::chrono::seconds(2);
/// Time after a job's deadline during which this instance still waits for the owner's
/// answer.
constexpr duration answer_grace_period = std::chrono::milliseconds(250);
/// Time between two attempts to send a request again after its peer was lost.
constexpr duration resend_period = std::chrono::milliseconds(100);

/// \returns the live instance that reports the highest epoch of the shard of \p key;
/// empty when none reports the shard.
instance_id find_shard_owner(entry_state const & state, job_key const & key)
{
    instance_id owner;
    if (state.m_ownership.m_shards.empty())
    {
        return owner;
    }
    std::uint32_t const shard =
        ownership::shard_of(key, state.m_ownership.m_shards.size());
    std::uint64_t best = 0;
    for (auto const & [id, entry] : state.m_membership.m_members)
    {
        if (!entry.m_live || entry.m_domain != state.m_identity.m_domain)
        {
            continue;
        }
        std::uint64_t const epoch = membership::held_epoch(entry, shard);
        if (epoch > best)
        {
            best = epoch;
            owner = id;
        }
    }
    return owner;
}

/// \returns the instance to send a request for \p key to; empty when there is none.
instance_id find_target(step_context & context, job_key const & key)
{
    entry_state & state = context.m_state;
    if (key.m_home_domain == state.m_identity.m_domain)
    {
        return find_shard_owner(state, key);
    }
    std::vector<instance_id> const members =
        membership::live_members(state.m_membership, key.m_home_domain);
    if (members.empty())
    {
        return {};
    }
    std::uniform_int_distribution<std::size_t> pick(0, members.size() - 1);
    return members[pick(context.m_random)];
}

void send_request(step_context & context, instance_id const & to,
                  forwarded_request request)
{
    entry_state & state = context.m_state;
    peer_request_number const number = state.m_next_request++;
    request.m_to = to;
    forward_request message{number, request.m_operation, request.m_spec};
    message.m_spec.m_time_limit = request.m_deadline - context.m_now;
    membership::record_request(state.m_membership, to, context.m_now);
    state.m_forwarded.emplace(number, std::move(request));
    send(context, to, std::move(message));
}

/// \returns the names of the configured failure domains, sorted as in the configuration.
std::vector<std::string> domain_names(config::fleet_configuration const & configuration)
{
    std::vector<std::string> names;
    for (config::failure_domain const & domain : configuration.m_domains)
    {
        names.push_back(domain.m_name);
    }
    return names;
}

/// Sets the home domain of \p key if the caller did not. \returns an error when there is
/// no configuration or the home domain is not configured.
std::error_code complete_key(entry_state const & state, job_key & key)
{
    if (!state.m_dispatch.m_configuration)
    {
        return job_errc::no_configuration;
    }
    config::fleet_configuration const & configuration = *state.m_dispatch.m_configuration;
    if (key.m_home_domain.empty())
    {
        if (configuration.m_domains.empty())
        {
            return job_errc::no_configuration;
        }
        key.m_home_domain =
            ownership::home_domain(domain_names(configuration), key.m_tenant, key.m_key);
    }
    return config::find_domain(configuration, key.m_home_domain) == nullptr
               ? std::error_code(job_errc::malformed_request)
               : std::error_code();
}

/// \returns true when a request from \p peer must not be forwarded again: it came from
/// this domain, or its key has another home domain. This prevents forwarding loops.
bool must_not_forward(entry_state const & state, instance_id const & peer,
                      job_key const & key)
{
    if (peer.m_value.empty())
    {
        return false;
    }
    auto const found = state.m_membership.m_members.find(peer);
    bool const same_domain = found != state.m_membership.m_members.end() &&
                             found->second.m_domain == state.m_identity.m_domain;
    return same_domain || key.m_home_domain != state.m_identity.m_domain;
}

void handle_request(step_context & context, answer_route const & route,
                    key_operation operation, job_spec spec)
{
    entry_state & state = context.m_state;
    if (state.m_identity.m_leases_upstreams)
    {
        handle_own_key(context, route, operation, spec,
                       context.m_now + spec.m_time_limit);
        return;
    }
    if (std::error_code const error = complete_key(state, spec.m_key))
    {
        refuse(context, route, error);
        return;
    }
    bool const submit = operation == key_operation::submit;
    time_point const deadline =
        context.m_now + (submit ? spec.m_time_limit : short_request_timeout);
    bool const at_home = spec.m_key.m_home_domain == state.m_identity.m_domain;
    if (at_home && handle_own_key(context, route, operation, spec, deadline))
    {
        return;
    }
    if (state.m_draining && submit)
    {
        refuse(context, route, job_errc::draining);
        return;
    }
    instance_id const target = must_not_forward(state, route.m_peer, spec.m_key)
                                   ? instance_id()
                                   : find_target(context, spec.m_key);
    if (target.m_value.empty())
    {
        refuse(context, route, job_errc::owner_unreachable);
        return;
    }
    send_request(context, target,
                 {route, operation, std::move(spec), deadline, target, {}});
}

/// \returns true for a refusal after which sending the request again may succeed.
bool is_transient(std::error_code const & error)
{
    return error == job_errc::owner_unreachable || error == job_errc::draining ||
           error == job_errc::lease_lapsed || error == job_errc::store_unavailable;
}

void receive_answer(step_context & context, instance_id const & from,
                    request_answered answered)
{
    entry_state & state = context.m_state;
    auto const found = state.m_forwarded.find(answered.m_request);
    if (found == state.m_forwarded.end() || found->second.m_to != from)
    {
        return; // late: the request was already answered or sent to another instance
    }
    forwarded_request & request = found->second;
    if (request.m_route.m_may_have_run && answered.m_answer.m_ran == run_state::no &&
        is_transient(answered.m_answer.m_error))
    {
        request.m_to = {};
        request.m_retry_at = context.m_now + resend_period;
        return;
    }
    answer_route const route = request.m_route;
    state.m_forwarded.erase(found);
    answer(context, route, std::move(answered.m_answer));
}

void mark_requests_for_resend(step_context & context, instance_id const & peer)
{
    for (auto & [number, request] : context.m_state.m_forwarded)
    {
        if (request.m_to == peer)
        {
            request.m_to = {};
            request.m_retry_at = context.m_now;
            request.m_route.m_may_have_run = true;
        }
    }
}

/// Resends a request whose peer was lost, or handles it here if this instance has
/// become the owner.
void resend(step_context & context, forwarded_request request)
{
    entry_state & state = context.m_state;
    if (request.m_spec.m_key.m_home_domain == state.m_identity.m_domain &&
        handle_own_key(context, request.m_route, request.m_operation, request.m_spec,
                       request.m_deadline))
    {
        return;
    }
    instance_id const target = find_target(context, request.m_spec.m_key);
    if (target.m_value.empty())
    {
        request.m_retry_at = context.m_now + resend_period;
        state.m_forwarded.emplace(state.m_next_request++, std::move(request));
        return;
    }
    send_request(context, target, std::move(request));
}

void advance_requests(step_context & context)
{
    entry_state & state = context.m_state;
    std::vector<peer_request_number> expired;
    std::vector<peer_request_number> lost;
    for (auto const & [number, request] : state.m_forwarded)
    {
        bool const is_lost = request.m_to.m_value.empty();
        if (context.m_now >=
            request.m_deadline + (is_lost ? duration(0) : answer_grace_period))
        {
            expired.push_back(number);
        }
        else if (is_lost && context.m_now >= request.m_retry_at)
        {
            lost.push_back(number);
        }
    }
    // Request numbers increase: sorting restores the order of sending, independently of
    // the order in the hash table.
    std::sort(expired.begin(), expired.end());
    std::sort(lost.begin(), lost.end());
    for (peer_request_number const number : expired)
    {
        forwarded_request const request = std::move(state.m_forwarded.at(number));
        state.m_forwarded.erase(number);
        answer(context, request.m_route,
               {job_errc::outcome_unknown, run_state::unknown, {}, {}});
    }
    for (peer_request_number const number : lost)
    {
        forwarded_request request = std::move(state.m_forwarded.at(number));
        state.m_forwarded.erase(number);
        resend(context, std::move(request));
    }
}

} // namespace cassiahub::decision::internal
