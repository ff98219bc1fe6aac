#include "load/load_duties.hpp"

#include <cassiahub/codec.hpp>
#include <cassiahub/http.hpp>
#include <cassiahub/runtime/boot_clock.hpp>

#include <string>
#include <utility>

namespace cassiahub::load::internal
{

namespace
{

/// A connection that was idle for longer is not used again: the server closes it after
/// 20 s.
constexpr duration max_idle_time = std::chrono::seconds(5);
/// Largest number of submissions of one job. A sender that gets no answer submits the job
/// again, to the next target.
constexpr int max_submissions = 3;
/// Time after the deadline until a missing answer counts as lost.
constexpr duration answer_grace = std::chrono::seconds(6);
constexpr duration ring_wait_time = std::chrono::seconds(60);

/// The only persistent connection of a sender. With a connection to each target, the
/// senders would exhaust the entry instances, which serve one connection with each caller
/// thread.
struct persistent_connection
{
    std::size_t m_target = 0;
    http::connection m_connection;
};

/// Connects to \p target unless \p persistent is already connected to it and usable.
/// \returns false when the target cannot be reached.
bool open_connection(load_plan const & plan, persistent_connection & persistent,
                     std::size_t target)
{
    bool const is_usable =
        persistent.m_connection.m_handle && persistent.m_target == target &&
        runtime::read_boot_clock() - persistent.m_connection.m_idle_since <=
            max_idle_time;
    if (!is_usable)
    {
        std::error_code error;
        persistent.m_connection = {};
        persistent.m_connection = http::connect(plan.m_targets[target], error);
        persistent.m_target = target;
    }
    return persistent.m_connection.m_handle != nullptr;
}

http::request make_request(arrival const & item, duration remaining)
{
    job_spec spec = item.m_job;
    spec.m_time_limit = std::max<duration>(remaining, std::chrono::milliseconds(1));
    http::request result{"POST", "/v1/jobs", {}, {}, codec::format_job_body(spec)};
    result.m_headers = {{std::string(codec::tenant_header), spec.m_key.m_tenant},
                        {std::string(codec::key_header), spec.m_key.m_key}};
    return result;
}

void check_results(arrival const & item, http::response const & received,
                   submission_outcome & outcome)
{
    job_answer answer;
    outcome.m_ran = run_state::yes;
    outcome.m_complete = codec::parse_job_answer(received.m_body, answer) &&
                         answer.m_results.size() == item.m_job.m_tasks.size();
    for (std::size_t index = 0; outcome.m_complete && index < answer.m_results.size();
         ++index)
    {
        outcome.m_complete =
            answer.m_results[index] == expected_result(item.m_job, index);
    }
    outcome.m_wrong_answer = !outcome.m_complete;
    outcome.m_code = outcome.m_wrong_answer ? "wrong_answer" : "";
}

void record_response(arrival const & item, http::response const & received,
                     submission_outcome & outcome)
{
    if (received.m_status == 200)
    {
        check_results(item, received, outcome);
        return;
    }
    codec::problem problem;
    if (codec::parse_problem(received.m_body, problem))
    {
        outcome.m_code = problem.m_code;
        outcome.m_ran = problem.m_ran;
        return;
    }
    outcome.m_code = "http_" + std::to_string(received.m_status);
}

/// Submits the job once. \returns false when there was no answer.
bool submit(run_context & context, persistent_connection & persistent,
            arrival const & item, std::size_t target, submission_outcome & outcome)
{
    if (!open_connection(context.m_plan, persistent, target))
    {
        outcome.m_code = "connect_failed";
        return false;
    }
    duration const remaining = context.m_start + item.m_at + item.m_job.m_time_limit -
                               runtime::read_boot_clock();
    http::response received;
    std::error_code const error = http::exchange(
        persistent.m_connection, make_request(item, remaining),
        context.m_plan.m_targets[target], remaining + answer_grace, received);
    if (error)
    {
        persistent.m_connection = {};
        outcome.m_code = error.message();
        outcome.m_ran = run_state::unknown;
        return false;
    }
    persistent.m_connection.m_idle_since = runtime::read_boot_clock();
    record_response(item, received, outcome);
    return true;
}

submission_outcome send_job(run_context & context, persistent_connection & persistent,
                            arrival const & item)
{
    submission_outcome outcome;
    outcome.m_kind = item.m_kind;
    outcome.m_resubmission = item.m_resubmission;
    outcome.m_multiple_submissions = item.m_has_resubmission;
    outcome.m_at = item.m_at;
    outcome.m_ideal_latency = item.m_longest_run_time + context.m_plan.m_round_trip_time;
    outcome.m_tasks = item.m_job.m_tasks.size();
    outcome.m_key = item.m_job.m_key.m_key;
    time_point const deadline = context.m_start + item.m_at + item.m_job.m_time_limit;
    std::size_t const targets = context.m_plan.m_targets.size();
    if (runtime::read_boot_clock() >= deadline)
    {
        outcome.m_code = "not_sent_in_time";
        outcome.m_ran = run_state::no;
    }
    for (int attempt = 0; attempt < max_submissions; ++attempt)
    {
        if (runtime::read_boot_clock() >= deadline ||
            submit(context, persistent, item, (item.m_target + attempt) % targets,
                   outcome))
        {
            break;
        }
        outcome.m_multiple_submissions = true;
    }
    outcome.m_latency = runtime::read_boot_clock() - (context.m_start + item.m_at);
    return outcome;
}

} // namespace

std::error_code run_sender(run_context & context, std::stop_token const & stop)
{
    persistent_connection persistent;
    while (!stop.stop_requested())
    {
        std::optional<arrival> item = context.m_arrivals.pop(ring_wait_time, stop);
        if (item)
        {
            context.m_outcomes.push(send_job(context, persistent, *item), stop);
        }
    }
    return {};
}

} // namespace cassiahub::load::internal
