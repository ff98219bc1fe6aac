#ifndef CASSIAHUB_CORE_ERROR_HPP
#define CASSIAHUB_CORE_ERROR_HPP

#include <string_view>
#include <system_error>

namespace cassiahub
{

/// Reasons why a job is refused or fails. The numeric values appear in logs and in peer
/// messages, so existing values never change.
enum class job_errc
{
    malformed_request = 1,
    unknown_tenant = 2,
    unknown_kind = 3,
    too_many_tasks = 4,
    never_fits = 5,
    queue_full = 6,
    quota_exceeded = 7,
    deadline_unreachable = 8,
    deadline_exceeded = 9,
    cancelled = 10,
    task_failed = 11,
    outcome_unknown = 12,
    owner_unreachable = 13,
    lease_lapsed = 14,
    store_unavailable = 15,
    key_expired = 16,
    key_reused = 17,
    draining = 18,
    not_found = 19,
    already_answered = 20,
    no_configuration = 21,
    overloaded = 22,
    retries_exhausted = 23,
    in_progress = 24,       ///< answer to a status query: the job has not finished
    unsupported = 25,       ///< the job requires a feature that is not implemented
    crashes_upstreams = 26, ///< upstreams crashed under a task of the job
    /// Upstreams were lost under a task of the job, and it is not known whether they
    /// crashed.
    crash_suspected = 27,
    /// No route matches, but the store has not confirmed the configuration recently.
    configuration_unconfirmed = 28
};

std::error_category const & job_category() noexcept;
std::error_code make_error_code(job_errc value) noexcept;

/// \returns the stable snake_case name of \p value, as used in the "code" field of
/// problem details and in logs.
std::string_view to_string(job_errc value) noexcept;

} // namespace cassiahub

template <>
struct std::is_error_code_enum<cassiahub::job_errc> : std::true_type
{
};

#endif
