#ifndef CASSIAHUB_CODEC_JOB_JSON_HPP
#define CASSIAHUB_CODEC_JOB_JSON_HPP

#include <cassiahub/core/error.hpp>
#include <cassiahub/core/job.hpp>

#include <string>
#include <string_view>

namespace cassiahub::codec
{

/// Largest idempotency key, in bytes.
constexpr std::size_t max_key_length = 128;

/// \returns true for 1 to max_key_length characters of A-Z a-z 0-9 . _ ~ -, which need
/// no escaping in a path or a header.
bool is_valid_key(std::string_view key) noexcept;

/// Parses the body of POST /v1/jobs into m_kind, m_time_limit and m_tasks of \p spec.
/// \returns malformed_request or too_many_tasks when the body is refused. Thread-safe.
std::error_code parse_job_body(std::string_view body, job_spec & spec);

/// \returns the body of POST /v1/jobs for \p spec. Thread-safe.
std::string format_job_body(job_spec const & spec);

/// \returns the body of a whole answer. \pre !answer.m_error
std::string format_job_answer(job_key const & key, job_answer const & answer);

/// Parses a whole answer into \p answer. \returns false when it is malformed.
bool parse_job_answer(std::string_view body, job_answer & answer);

/// \returns an RFC 9457 problem document with the members type, title, status, code,
/// ran and, when not empty, detail.
std::string format_problem(int status, std::error_code error, run_state ran,
                           std::string_view detail = {});

/// The members of a problem document that a client acts on.
struct problem
{
    std::string m_code;
    std::string m_detail;
    run_state m_ran = run_state::unknown;
};

/// \returns false when \p body is not a problem document.
bool parse_problem(std::string_view body, problem & parsed);

/// \returns the HTTP status that goes with a refusal or failure.
int http_status(std::error_code error) noexcept;

/// \returns "no", "yes" or "unknown".
std::string_view to_string(run_state ran) noexcept;

} // namespace cassiahub::codec

#endif
