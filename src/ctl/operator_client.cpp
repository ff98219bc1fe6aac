#include "ctl/operator_client.hpp"

#include <cassiahub/config/process_settings.hpp>
#include <cassiahub/ctl/exit_code.hpp>

#include <fmt/format.h>

#include <cstdlib>
#include <iostream>

namespace cassiahub::ctl
{

namespace internal
{

using nlohmann::json;

/// Longer than an edit takes when the store is slow and the edit is checked again.
constexpr duration request_timeout = std::chrono::seconds(30);

/// \returns the member \p key of \p object, or an empty string when it is absent or no
/// string.
std::string string_member(json const & object, char const * key)
{
    auto const found = object.find(key);
    return found != object.end() && found->is_string() ? found->get<std::string>() : "";
}

/// \returns the member \p key of \p object, or 0 when it is absent or no unsigned number.
std::uint64_t number_member(json const & object, char const * key)
{
    auto const found = object.find(key);
    return found != object.end() && found->is_number_unsigned()
               ? found->get<std::uint64_t>()
               : 0;
}

/// \returns the exit code for an HTTP status and its problem details.
int exit_code_of(int status, json const & problem)
{
    bool const not_executed = string_member(problem, "applied") == "no" ||
                              string_member(problem, "ran") == "no";
    switch (status)
    {
    case 400:
    case 404:
    case 405:
    case 413:
    case 422:
    case 428:
        return runtime::exit_usage;
    case 409:
        // The deletion is refused again until the referring sections are changed.
        return string_member(problem, "code") == "still_referenced" ? runtime::exit_usage
                                                                    : exit_conflict;
    case 412:
        return exit_conflict;
    case 429:
    case 503:
        return not_executed ? exit_not_run : runtime::exit_failed;
    default:
        return runtime::exit_failed;
    }
}

/// Prints problem details on standard error, with the faults and the current section.
void print_problem(json const & problem, int status)
{
    std::string const detail = string_member(problem, "detail");
    std::cerr << fmt::format("refused: {} (status {}){}{}\n",
                             string_member(problem, "code"), status,
                             detail.empty() ? "" : ": ", detail);
    if (problem.contains("faults") && problem["faults"].is_array())
    {
        for (json const & fault : problem["faults"])
        {
            std::cerr << fmt::format(
                "  line {}, [{}] {}: {}, allowed: {}\n", number_member(fault, "line"),
                string_member(fault, "section"), string_member(fault, "key"),
                string_member(fault, "code"), string_member(fault, "allowed"));
        }
    }
    if (problem.contains("current") && problem["current"].is_object())
    {
        json const & current = problem["current"];
        // Same form as version_comment, so that config put can read the saved output.
        std::cerr << fmt::format("; version {} is the current one\n{}",
                                 number_member(current, "version"),
                                 string_member(current, "text"));
    }
}

std::error_code exchange_first_reachable(operator_target const & target,
                                         http::request const & sent,
                                         http::response & received)
{
    std::error_code error = http::http_errc::bad_address;
    for (std::string const & address : target.m_entries)
    {
        error = http::exchange_once(address, sent, request_timeout, received);
        if (!error || http::may_have_arrived(error))
        {
            break;
        }
        std::cerr << address << ": " << error.message() << '\n';
    }
    return error;
}

int request_json(operator_target const & target, http::request const & sent, json & body)
{
    http::response received;
    if (std::error_code const error = exchange_first_reachable(target, sent, received))
    {
        return report_failure(error);
    }
    if (received.m_status >= 300)
    {
        return report_refusal(received, target.m_output);
    }
    body = json::parse(received.m_body, nullptr, false);
    if (!body.is_object())
    {
        std::cerr << "malformed response: not a JSON object\n";
        return runtime::exit_failed;
    }
    return runtime::exit_success;
}

bool add_credentials(operator_target const & target, http::request & sent)
{
    if (target.m_team.empty())
    {
        std::cerr << "--team is required\n";
        return false;
    }
    std::string key;
    if (!read_team_key(target.m_key_file, key))
    {
        return false;
    }
    sent.m_headers.push_back({"Cassiahub-Team", target.m_team});
    sent.m_headers.push_back({"Authorization", "Bearer " + key});
    return true;
}

int report_refusal(http::response const & refusal, output_format output)
{
    json const problem = json::parse(refusal.m_body, nullptr, false);
    if (!problem.is_object())
    {
        std::cerr << "refused: status " << refusal.m_status << '\n';
        return exit_code_of(refusal.m_status, json::object());
    }
    if (output == output_format::json)
    {
        std::cerr << dump(problem) << '\n';
    }
    else
    {
        print_problem(problem, refusal.m_status);
    }
    return exit_code_of(refusal.m_status, problem);
}

int report_failure(std::error_code error)
{
    std::cerr << "no response: " << error.message() << '\n';
    return runtime::exit_failed;
}

std::string dump(json const & value)
{
    return value.dump(2, ' ', false, json::error_handler_t::replace);
}

} // namespace internal

bool read_team_key(std::string const & key_file, std::string & key)
{
    if (!key_file.empty())
    {
        if (std::error_code const error = config::read_file(key_file, key))
        {
            std::cerr << key_file << ": " << error.message() << '\n';
            return false;
        }
    }
    else if (char const * const value = std::getenv("CASSIAHUB_TEAM_KEY"))
    {
        key = value;
    }
    key.erase(key.find_last_not_of("\r\n") + 1);
    if (key.empty())
    {
        std::cerr << "no team key: set CASSIAHUB_TEAM_KEY or --key-file\n";
        return false;
    }
    // The key is sent in a header field, which a line break would end.
    if (key.find_first_of("\r\n") != std::string::npos)
    {
        std::cerr << "the team key must be one line\n";
        return false;
    }
    return true;
}

} // namespace cassiahub::ctl
