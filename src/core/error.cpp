#include <cassiahub/core/error.hpp>
#include <cassiahub/core/error_category.hpp>

#include <string>
#include <string_view>

namespace cassiahub
{

std::error_category const & job_category() noexcept
{
    static named_error_category<job_errc, to_string> const category("cassiahub.job");
    return category;
}

std::error_code make_error_code(job_errc value) noexcept
{
    return {static_cast<int>(value), job_category()};
}

std::string_view to_string(job_errc value) noexcept
{
    switch (value)
    {
    case job_errc::malformed_request:
        return "malformed_request";
    case job_errc::unknown_tenant:
        return "unknown_tenant";
    case job_errc::unknown_kind:
        return "unknown_kind";
    case job_errc::too_many_tasks:
        return "too_many_tasks";
    case job_errc::never_fits:
        return "never_fits";
    case job_errc::queue_full:
        return "queue_full";
    case job_errc::quota_exceeded:
        return "quota_exceeded";
    case job_errc::deadline_unreachable:
        return "deadline_unreachable";
    case job_errc::deadline_exceeded:
        return "deadline_exceeded";
    case job_errc::cancelled:
        return "cancelled";
    case job_errc::task_failed:
        return "task_failed";
    case job_errc::outcome_unknown:
        return "outcome_unknown";
    case job_errc::owner_unreachable:
        return "owner_unreachable";
    case job_errc::lease_lapsed:
        return "lease_lapsed";
    case job_errc::store_unavailable:
        return "store_unavailable";
    case job_errc::key_expired:
        return "key_expired";
    case job_errc::key_reused:
        return "key_reused";
    case job_errc::draining:
        return "draining";
    case job_errc::not_found:
        return "not_found";
    case job_errc::already_answered:
        return "already_answered";
    case job_errc::no_configuration:
        return "no_configuration";
    case job_errc::overloaded:
        return "overloaded";
    case job_errc::retries_exhausted:
        return "retries_exhausted";
    case job_errc::in_progress:
        return "in_progress";
    case job_errc::unsupported:
        return "unsupported";
    case job_errc::crashes_upstreams:
        return "crashes_upstreams";
    case job_errc::crash_suspected:
        return "crash_suspected";
    case job_errc::configuration_unconfirmed:
        return "configuration_unconfirmed";
    }
    return "unknown_error";
}

} // namespace cassiahub
