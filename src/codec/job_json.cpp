#include "codec/json_text.hpp"

#include <cassiahub/codec/job_json.hpp>

#include <algorithm>
#include <cctype>
#include <utility>

namespace cassiahub::codec
{

namespace internal
{

using nlohmann::json;

/// Longest time limit of a job, in milliseconds.
constexpr std::int64_t max_time_limit_ms = 600'000;

/// Reads an optional integer in [0, \p max_value]. \p value keeps its value when the
/// member is missing. \returns false when the member is not such an integer.
bool read_optional_integer(json const & object, char const * key, std::int64_t max_value,
                           std::int64_t & value)
{
    auto const found = object.find(key);
    if (found == object.end())
    {
        return true;
    }
    if (!found->is_number_integer())
    {
        return false;
    }
    // An unsigned number above the signed range converts to a negative one and is
    // rejected.
    value = found->get<std::int64_t>();
    return value >= 0 && value <= max_value;
}

bool parse_task(json const & object, task_spec & task)
{
    constexpr std::int64_t max_resource = 16'777'216; // of each resource, in its unit
    if (!object.is_object())
    {
        return false;
    }
    auto const payload = object.find("payload");
    if (payload == object.end() || !payload->is_string())
    {
        return false;
    }
    std::int64_t millicores = 0;
    std::int64_t memory_mib = 0;
    std::int64_t accelerators = 0;
    std::int64_t run_time_ms = 0;
    if (!read_optional_integer(object, "millicores", max_resource, millicores) ||
        !read_optional_integer(object, "memory_mib", max_resource, memory_mib) ||
        !read_optional_integer(object, "accelerators", max_resource, accelerators) ||
        !read_optional_integer(object, "run_time_ms", max_time_limit_ms, run_time_ms))
    {
        return false;
    }
    task.m_payload = payload->get<std::string>();
    task.m_demand = {static_cast<std::uint32_t>(millicores),
                     static_cast<std::uint32_t>(memory_mib),
                     static_cast<std::uint32_t>(accelerators)};
    task.m_declared_run_time = std::chrono::milliseconds(run_time_ms);
    return true;
}

/// Reads an optional string. \p value keeps its value when the member is missing.
/// \returns false when the member is not a string.
bool read_optional_text(json const & object, char const * key, std::string & value)
{
    auto const found = object.find(key);
    if (found == object.end())
    {
        return true;
    }
    if (!found->is_string())
    {
        return false;
    }
    value = found->get<std::string>();
    return true;
}

std::error_code parse_tasks(json const & tasks, job_spec & spec)
{
    if (tasks.empty() || tasks.size() > max_tasks_per_job)
    {
        return job_errc::too_many_tasks;
    }
    spec.m_tasks.resize(tasks.size());
    for (std::size_t index = 0; index < tasks.size(); ++index)
    {
        if (!parse_task(tasks[index], spec.m_tasks[index]))
        {
            return job_errc::malformed_request;
        }
    }
    return {};
}

} // namespace internal

bool is_valid_key(std::string_view key) noexcept
{
    return !key.empty() && key.size() <= max_key_length &&
           std::all_of(key.begin(), key.end(),
                       [](unsigned char c) {
                           return std::isalnum(c) != 0 || c == '.' || c == '_' ||
                                  c == '~' || c == '-';
                       });
}

std::error_code parse_job_body(std::string_view body, job_spec & spec)
{
    internal::json const parsed = internal::json::parse(body, nullptr, false);
    if (!parsed.is_object())
    {
        return job_errc::malformed_request;
    }
    auto const kind = parsed.find("kind");
    auto const tasks = parsed.find("tasks");
    std::int64_t deadline_ms = 0;
    bool const complete =
        kind != parsed.end() && kind->is_string() && tasks != parsed.end() &&
        tasks->is_array() && parsed.contains("deadline_ms") &&
        internal::read_optional_integer(parsed, "deadline_ms",
                                        internal::max_time_limit_ms, deadline_ms);
    if (!complete || deadline_ms == 0)
    {
        return job_errc::malformed_request;
    }
    spec.m_kind = kind->get<std::string>();
    spec.m_time_limit = std::chrono::milliseconds(deadline_ms);
    return internal::parse_tasks(*tasks, spec);
}

std::string format_job_body(job_spec const & spec)
{
    internal::json tasks = internal::json::array();
    for (task_spec const & task : spec.m_tasks)
    {
        tasks.push_back({{"payload", task.m_payload},
                         {"millicores", task.m_demand.m_millicores},
                         {"memory_mib", task.m_demand.m_memory_mib},
                         {"accelerators", task.m_demand.m_accelerators},
                         {"run_time_ms", to_milliseconds(task.m_declared_run_time)}});
    }
    return internal::dump({{"kind", spec.m_kind},
                           {"deadline_ms", to_milliseconds(spec.m_time_limit)},
                           {"tasks", std::move(tasks)}});
}

std::string format_job_answer(job_key const & key, job_answer const & answer)
{
    return internal::dump({{"key", key.m_key},
                           {"home_domain", key.m_home_domain},
                           {"results", answer.m_results}});
}

bool parse_job_answer(std::string_view body, job_answer & answer)
{
    internal::json const parsed = internal::json::parse(body, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("results") ||
        !parsed["results"].is_array())
    {
        return false;
    }
    std::vector<std::string> results;
    for (internal::json const & result : parsed["results"])
    {
        if (!result.is_string())
        {
            return false;
        }
        results.push_back(result.get<std::string>());
    }
    answer = {{}, run_state::yes, {}, std::move(results)};
    return true;
}

std::string format_problem(int status, std::error_code error, run_state ran,
                           std::string_view detail)
{
    std::string const code = error.message();
    internal::json document = {{"type", "about:blank"},
                               {"title", code},
                               {"status", status},
                               {"code", code},
                               {"ran", to_string(ran)}};
    if (!detail.empty())
    {
        document["detail"] = detail;
    }
    return internal::dump(document);
}

bool parse_problem(std::string_view body, problem & parsed)
{
    internal::json const document = internal::json::parse(body, nullptr, false);
    problem read;
    std::string ran = "unknown";
    if (!document.is_object() || !document.contains("code") ||
        !internal::read_optional_text(document, "code", read.m_code) ||
        !internal::read_optional_text(document, "detail", read.m_detail) ||
        !internal::read_optional_text(document, "ran", ran))
    {
        return false;
    }
    read.m_ran = ran == "no"    ? run_state::no
                 : ran == "yes" ? run_state::yes
                                : run_state::unknown;
    parsed = std::move(read);
    return true;
}

int http_status(std::error_code error) noexcept
{
    if (error.category() != job_category())
    {
        return 500;
    }
    switch (static_cast<job_errc>(error.value()))
    {
    case job_errc::unsupported:
        return 501;
    case job_errc::in_progress:
        return 202;
    case job_errc::malformed_request:
    case job_errc::too_many_tasks:
        return 400;
    case job_errc::unknown_tenant:
        return 403;
    case job_errc::not_found:
        return 404;
    case job_errc::cancelled:
    case job_errc::key_reused:
    case job_errc::already_answered:
        return 409;
    case job_errc::key_expired:
        return 410;
    case job_errc::unknown_kind:
    case job_errc::never_fits:
        return 422;
    case job_errc::queue_full:
    case job_errc::quota_exceeded:
        return 429;
    case job_errc::task_failed:
    case job_errc::crashes_upstreams:
    case job_errc::retries_exhausted:
    case job_errc::outcome_unknown:
        return 502;
    case job_errc::deadline_unreachable:
    case job_errc::owner_unreachable:
    case job_errc::lease_lapsed:
    case job_errc::store_unavailable:
    case job_errc::draining:
    case job_errc::no_configuration:
    case job_errc::overloaded:
    case job_errc::crash_suspected:
    case job_errc::configuration_unconfirmed:
        return 503;
    case job_errc::deadline_exceeded:
        return 504;
    }
    return 500;
}

std::string_view to_string(run_state ran) noexcept
{
    switch (ran)
    {
    case run_state::no:
        return "no";
    case run_state::yes:
        return "yes";
    case run_state::unknown:
        break;
    }
    return "unknown";
}

} // namespace cassiahub::codec
