#ifndef CASSIAHUB_CODEC_JOB_JSON_HPP
#define CASSIAHUB_CODEC_JOB_JSON_HPP

#include <cassiahub/core/error.hpp>
#include <cassiahub/core/job.hpp>

#include <string>
#include <string_view>

namespace cassiahub::codec
{

/// Longest idempotency key, in bytes.
constexpr std::size_t max_key_length = 128;

/// \returns true for 1 to max_key_length characters of A-Z a-z 0-9 . _ ~ -, which need
/// no escaping in a URL path or a header field.
bool is_valid_key(std::string_view key) noexcept;

/// Parses the body of POST /v1/jobs into m_kind, m_time_limit and m_tasks of \p spec.
/// \returns no error, malformed_request or too_many_tasks. After an error \p spec may be
/// partly filled. Thread-safe.
std::error_code parse_job_body(std::string_view body, job_spec & spec);

/// \returns the body of POST /v1/jobs for \p spec. Thread-safe.
std::string format_job_body(job_spec const & spec);

/// \returns the body of the HTTP response for a successful job. \pre !answer.m_error
std::string format_job_answer(job_key const & key, job_answer const & answer);

/// Parses the output of format_job_answer() into \p answer.
/// \returns false when it is malformed; \p answer is then unchanged.
bool parse_job_answer(std::string_view body, job_answer & answer);

/// \returns an RFC 9457 problem document with the members type, title, status, code, ran
/// and, unless it is empty, detail.
std::string format_problem(int status, std::error_code error, run_state ran,
                           std::string_view detail = {});

/// The members of a problem document that a client evaluates.
struct problem
{
    std::string m_code; ///< name of the error, for example "queue_full"
    std::string m_detail;
    run_state m_ran = run_state::unknown;
};

/// Parses a problem document.
/// \returns false when \p body is not one; \p parsed is then unchanged.
bool parse_problem(std::string_view body, problem & parsed);

/// \returns the HTTP status for a refused or failed job; 500 for errors that are not a
/// job_errc.
int http_status(std::error_code error) noexcept;

/// \returns "no", "yes" or "unknown".
std::string_view to_string(run_state ran) noexcept;

} // namespace cassiahub::codec

#endif
