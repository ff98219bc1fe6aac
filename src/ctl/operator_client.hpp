#ifndef CASSIAHUB_CTL_OPERATOR_CLIENT_HPP
#define CASSIAHUB_CTL_OPERATOR_CLIENT_HPP

#include <cassiahub/ctl/operator_target.hpp>
#include <cassiahub/http.hpp>

#include <nlohmann/json.hpp>

#include <string>
#include <system_error>

namespace cassiahub::ctl::internal
{

/// Sends \p sent to the first instance that can be reached. After response_lost no other
/// instance is tried, because the first may have acted.
std::error_code exchange_any(operator_target const & target, http::request const & sent,
                             http::response & received);

/// Like exchange_any(), and reads the body as JSON into \p body when the answer is a
/// success. Otherwise prints why not.
/// \returns the program's exit code.
int request_json(operator_target const & target, http::request const & sent,
                 nlohmann::json & body);

/// Adds the team and its key to \p sent. \returns false after printing what is missing.
bool add_credentials(operator_target const & target, http::request & sent);

/// Prints the problem details of a refusal on standard error.
/// \returns the exit code that belongs to it.
int report_refusal(http::response const & refusal, output_format output);

/// Prints why no answer came. \returns exit_failed.
int report_failure(std::error_code error);

/// \returns \p value as text; bytes that are not UTF-8 become U+FFFD.
std::string dump(nlohmann::json const & value);

} // namespace cassiahub::ctl::internal

#endif
