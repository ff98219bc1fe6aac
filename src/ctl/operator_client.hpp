#ifndef CASSIAHUB_CTL_OPERATOR_CLIENT_HPP
#define CASSIAHUB_CTL_OPERATOR_CLIENT_HPP

#include <cassiahub/ctl/operator_target.hpp>
#include <cassiahub/http.hpp>

#include <nlohmann/json.hpp>

#include <string>
#include <system_error>

namespace cassiahub::ctl::internal
{

/// Sends \p sent to the first reachable instance of \p target. After a lost response no
/// other instance is tried, because the request may have been executed.
std::error_code exchange_first_reachable(operator_target const & target,
                                         http::request const & sent,
                                         http::response & received);

/// Like exchange_first_reachable(), and parses the JSON object of a successful response
/// into \p body. Otherwise prints the error.
/// \returns the program's exit code.
int request_json(operator_target const & target, http::request const & sent,
                 nlohmann::json & body);

/// Adds the header fields with the team and its key to \p sent.
/// \returns false, after printing the reason, when one of them is missing or invalid.
bool add_credentials(operator_target const & target, http::request & sent);

/// Prints the problem details of a refused request on standard error.
/// \returns the exit code for the refusal.
int report_refusal(http::response const & refusal, output_format output);

/// Prints why no response was received. \returns exit_failed.
int report_failure(std::error_code error);

/// \returns \p value as indented JSON; bytes that are not UTF-8 become U+FFFD.
std::string dump(nlohmann::json const & value);

} // namespace cassiahub::ctl::internal

#endif
