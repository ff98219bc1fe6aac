#ifndef CASSIAHUB_DECISION_ENTRY_STATE_HPP
#define CASSIAHUB_DECISION_ENTRY_STATE_HPP

#include <cassiahub/decision/event.hpp>
#include <cassiahub/dispatch/state.hpp>

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace cassiahub::decision
{

/// What an entry instance knows of itself from its settings.
struct entry_identity
{
    instance_id m_instance;
    std::string m_domain;
    std::string m_peer_address;
    std::uint64_t m_incarnation = 0; ///< drawn at random when the process starts
};

/// Where the answer to a job goes: a local caller, or the instance that forwarded it.
struct answer_route
{
    caller_token m_caller = 0;
    instance_id m_peer; ///< empty for a local caller
    peer_request m_request = 0;
};

/// A job that is being run, with everyone who waits for its answer.
struct open_job
{
    std::string m_kind;
    time_point m_submitted;
    std::vector<answer_route> m_waiting;
};

/// Everything that the decision thread owns.
struct entry_state
{
    entry_identity m_identity;
    dispatch::dispatch_state m_dispatch;
    std::unordered_map<job_key, open_job> m_open_jobs;
    bool m_draining = false;
};

} // namespace cassiahub::decision

#endif
