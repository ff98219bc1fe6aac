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

/// An idle connection is used again only within this time: the server closes it after
/// 20 s.
constexpr duration max_idle_time = std::chrono::seconds(5);
/// A client that loses the connection submits the job again this often.
constexpr int max_submissions = 3;
/// An answer may take this much longer than the deadline before it counts as lost.
constexpr duration answer_grace = std::chrono::seconds(6);
constexpr duration wait_period = std::chrono::seconds(60);

/// The one connection that a sender keeps. One for each target would occupy the entry
/// instances, which serve as many connections as they have threads for callers.
struct kept_connection
{
    std::size_t m_target = 0;
    http::connection m_connection;
};

/// \returns false when the target cannot be reached.
bool open_connection(load_plan const & plan, kept_connection & kept, std::size_t target)
{
    bool const is_usable =
        kept.m_connection.m_handle && kept.m_target == target &&
        runtime::read_boot_clock() - kept.m_connection.m_idle_since <= max_idle_time;
    if (!is_usable)
    {
        std::error_code error;
        kept.m_connection = {};
        kept.m_connection = http::connect(plan.m_targets[target], error);
        kept.m_target = target;
    }
    return kept.m_connection.m_handle != nullptr;
}

http::request make_request(arrival const & item, duration remaining)
{
    job_spec spec = item.m_job;
    spec.m_time_limit = std::max<duration>(remaining, std::chrono::milliseconds(1));
    http::request made{"POST", "/v1/jobs", {}, {}, codec::format_job_body(spec)};
    made.m_headers = {{std::string(codec::tenant_header), spec.m_key.m_tenant},
                      {std::string(codec::key_header), spec.m_key.m_key}};
    return made;
}

void read_whole(arrival const & item, http::response const & received,
                submission_outcome & outcome)
{
    job_answer answer;
    outcome.m_ran = run_state::yes;
    outcome.m_whole = codec::parse_job_answer(received.m_body, answer) &&
                      answer.m_results.size() == item.m_job.m_tasks.size();
    for (std::size_t index = 0; outcome.m_whole && index < answer.m_results.size();
         ++index)
    {
        outcome.m_whole = answer.m_results[index] == expected_result(item.m_job, index);
    }
    outcome.m_wrong = !outcome.m_whole;
    outcome.m_code = outcome.m_wrong ? "wrong_answer" : "";
}

void read_response(arrival const & item, http::response const & received,
                   submission_outcome & outcome)
{
    if (received.m_status == 200)
    {
        read_whole(item, received, outcome);
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

/// Submits once. \returns false when there was no answer.
bool submit(load_context & context, kept_connection & kept, arrival const & item,
            std::size_t target, submission_outcome & outcome)
{
    if (!open_connection(context.m_plan, kept, target))
    {
        outcome.m_code = "connect_failed";
        return false;
    }
    duration const remaining = context.m_start + item.m_at + item.m_job.m_time_limit -
                               runtime::read_boot_clock();
    http::response received;
    std::error_code const error = http::exchange(
        kept.m_connection, make_request(item, remaining),
        context.m_plan.m_targets[target], remaining + answer_grace, received);
    if (error)
    {
        kept.m_connection = {};
        outcome.m_code = error.message();
        outcome.m_ran = run_state::unknown;
        return false;
    }
    kept.m_connection.m_idle_since = runtime::read_boot_clock();
    read_response(item, received, outcome);
    return true;
}

submission_outcome send_job(load_context & context, kept_connection & kept,
                            arrival const & item)
{
    submission_outcome outcome;
    outcome.m_kind = item.m_kind;
    outcome.m_resubmission = item.m_resubmission;
    outcome.m_sent_again = item.m_resubmitted;
    outcome.m_at = item.m_at;
    outcome.m_ideal = item.m_longest_task + context.m_plan.m_round_trip;
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
            submit(context, kept, item, (item.m_target + attempt) % targets, outcome))
        {
            break;
        }
        outcome.m_sent_again = true;
    }
    outcome.m_latency = runtime::read_boot_clock() - (context.m_start + item.m_at);
    return outcome;
}

} // namespace

std::error_code run_sender(load_context & context, std::stop_token const & stop)
{
    kept_connection kept;
    while (!stop.stop_requested())
    {
        std::optional<arrival> item = context.m_arrivals.pop(wait_period, stop);
        if (item)
        {
            context.m_outcomes.push(send_job(context, kept, *item), stop);
        }
    }
    return {};
}

} // namespace cassiahub::load::internal
