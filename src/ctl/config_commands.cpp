#include "ctl/document_diff.hpp"
#include "ctl/operator_client.hpp"

#include <cassiahub/config.hpp>
#include <cassiahub/ctl/config_commands.hpp>
#include <cassiahub/ctl/exit_code.hpp>
#include <cassiahub/store.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <iostream>
#include <random>
#include <utility>
#include <vector>

namespace cassiahub::ctl
{

namespace internal
{

using nlohmann::json;

/// Start of the first line that `config show` prints for a section; the version follows.
constexpr std::string_view version_comment = "; version ";
/// Shortest team key, in characters. Every operator can read the salted hash, and a
/// shorter key could be found by brute force.
constexpr std::size_t min_key_length = 16;

/// Reads the file \p path. \returns false after printing the error.
bool read_text(std::string const & path, std::string & text)
{
    if (std::error_code const error = config::read_file(path, text))
    {
        std::cerr << path << ": " << error.message() << '\n';
        return false;
    }
    return true;
}

void print_faults(std::string const & path, std::span<config::config_error const> faults,
                  output_format output)
{
    if (output == output_format::json)
    {
        json list = json::array();
        for (config::config_error const & fault : faults)
        {
            list.push_back({{"section", fault.m_section},
                            {"line", fault.m_line},
                            {"key", fault.m_key},
                            {"code", fault.m_error.message()},
                            {"allowed", fault.m_allowed}});
        }
        std::cout << dump({{"valid", faults.empty()}, {"faults", std::move(list)}})
                  << '\n';
        return;
    }
    for (config::config_error const & fault : faults)
    {
        std::cerr << path << ": " << to_string(fault) << '\n';
    }
}

std::string format_section(config::ini_section const & section)
{
    std::string text = fmt::format("[{}]\n", section.m_name);
    for (config::ini_entry const & entry : section.m_entries)
    {
        text += fmt::format("{} = {}\n", entry.m_key, entry.m_value);
    }
    return text;
}

random_source make_random_source()
{
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device()};
    return random_source(seed);
}

/// Removes the line with the version from the beginning of \p text.
/// \returns the version, or nothing when \p text does not begin with such a line.
std::optional<std::uint64_t> extract_version(std::string & text)
{
    if (!text.starts_with(version_comment))
    {
        return std::nullopt;
    }
    std::size_t const newline = std::min(text.find('\n'), text.size() - 1);
    std::string_view const digits = std::string_view(text).substr(
        version_comment.size(), newline - version_comment.size());
    std::uint64_t version = 0;
    auto const result =
        std::from_chars(digits.data(), digits.data() + digits.size(), version);
    if (result.ec != std::errc())
    {
        return std::nullopt;
    }
    text.erase(0, newline + 1);
    return version;
}

http::request make_request(char const * method, std::string path)
{
    return {method, std::move(path), {}, {}, {}};
}

std::string section_path(std::string_view section)
{
    return "/v1/config/sections/" + std::string(section);
}

/// Sends an edit and prints the resulting version. When the response to a PUT is lost,
/// the section is read again; if it has the text that was sent, the edit counts as
/// accepted.
/// \returns the program's exit code.
int send_edit(operator_target const & target, std::string const & section,
              http::request const & sent)
{
    http::response received;
    std::error_code const error = exchange_first_reachable(target, sent, received);
    if (http::may_have_arrived(error) && sent.m_method == "PUT")
    {
        json current;
        if (request_json(target, make_request("GET", section_path(section)), current) ==
                runtime::exit_success &&
            member_text(current, "text") == sent.m_body)
        {
            std::cout << fmt::format(
                "[{}] version {} (confirmed after a lost response)\n", section,
                member_text(current, "version"));
            return runtime::exit_success;
        }
    }
    if (error)
    {
        return report_failure(error);
    }
    if (received.m_status >= 300)
    {
        return report_refusal(received, target.m_output);
    }
    json const body = json::parse(received.m_body, nullptr, false);
    if (target.m_output == output_format::json)
    {
        std::cout << dump(body) << '\n';
    }
    else
    {
        std::cout << fmt::format("[{}] version {}\n", section,
                                 member_text(body, "version"));
    }
    return runtime::exit_success;
}

/// Prints the document as a table of its sections, or, when \p whole_text is
/// true, the text of each section.
void print_document(json const & document, bool whole_text)
{
    if (whole_text)
    {
        for (json const & section : document["sections"])
        {
            std::cout << member_text(section, "text") << '\n';
        }
        return;
    }
    std::cout << fmt::format("{:<40} {:<20} {:>10}\n", "SECTION", "OWNER", "VERSION");
    for (json const & section : document["sections"])
    {
        std::cout << fmt::format("{:<40} {:<20} {:>10}\n", member_text(section, "name"),
                                 member_text(section, "owner"),
                                 member_text(section, "version"));
    }
    std::cout << "version " << member_text(document, "version")
              << (member_text(document, "stale") == "true"
                      ? ", stale: the store is unavailable\n"
                      : "\n");
}

} // namespace internal

int check_config(std::string const & path, output_format output)
{
    std::string text;
    if (!internal::read_text(path, text))
    {
        return runtime::exit_usage;
    }
    std::vector<config::config_error> faults;
    bool const valid = config::parse_fleet_document(text, faults).has_value();
    internal::print_faults(path, faults, output);
    return valid ? runtime::exit_success : runtime::exit_usage;
}

int init_config(std::string const & platform_address, std::string const & path)
{
    std::string text;
    if (!internal::read_text(path, text))
    {
        return runtime::exit_usage;
    }
    std::vector<config::config_error> faults;
    bool const valid = config::parse_fleet_document(text, faults).has_value();
    internal::print_faults(path, faults, output_format::table);
    if (!valid)
    {
        return runtime::exit_usage;
    }
    config::ini_document const document = config::parse_ini(text, faults);
    std::vector<std::string> texts;
    std::vector<config::stored_section> sections;
    texts.reserve(document.m_sections.size());
    for (config::ini_section const & section : document.m_sections)
    {
        texts.push_back(internal::format_section(section));
        sections.push_back({section.m_name, 0, texts.back()});
    }
    store::client client;
    client.m_address = platform_address;
    client.m_caller = "cassiahubctl";
    client.m_timeout = std::chrono::seconds(5);
    store::configuration_session session{
        std::move(client), {}, internal::make_random_source()};
    std::error_code const error =
        store::write_first_document(session, sections, std::chrono::system_clock::now());
    if (!error)
    {
        std::cout << sections.size() << " sections written\n";
        return runtime::exit_success;
    }
    std::cerr << error.message() << '\n';
    return error == config::config_errc::version_conflict ? exit_conflict
                                                          : runtime::exit_failed;
}

int print_keys(output_format output)
{
    internal::json list = internal::json::array();
    for (config::key_documentation const & key : config::list_keys())
    {
        list.push_back({{"section", key.m_section},
                        {"key", key.m_key},
                        {"allowed", key.m_allowed},
                        {"required", key.m_required},
                        {"default", key.m_default},
                        {"summary", key.m_summary}});
        if (output == output_format::table)
        {
            std::cout << fmt::format(
                "[{}] {}\n    {}\n    allowed: {}; {}\n", key.m_section, key.m_key,
                key.m_summary.empty() ? "see docs/configuration.md" : key.m_summary,
                key.m_allowed,
                key.m_required ? "required" : fmt::format("default: {}", key.m_default));
        }
    }
    if (output == output_format::json)
    {
        std::cout << internal::dump({{"keys", std::move(list)}}) << '\n';
    }
    return runtime::exit_success;
}

int print_key_hash(std::string const & key_file)
{
    std::string key;
    if (!read_team_key(key_file, key))
    {
        return runtime::exit_usage;
    }
    if (key.size() < internal::min_key_length)
    {
        std::cerr << "the team key has fewer than " << internal::min_key_length
                  << " characters\n";
        return runtime::exit_usage;
    }
    std::random_device device;
    std::string salt;
    for (int word = 0; word < 4; ++word)
    {
        salt += fmt::format("{:08x}", device());
    }
    std::cout << "key_hash = " << config::hash_team_key(key, salt) << '\n';
    return runtime::exit_success;
}

int show_config(operator_target const & target, std::string const & section,
                bool whole_text)
{
    internal::json body;
    int const code = internal::request_json(
        target,
        internal::make_request("GET", section.empty() ? "/v1/config"
                                                      : internal::section_path(section)),
        body);
    if (code != runtime::exit_success)
    {
        return code;
    }
    if (target.m_output == output_format::json)
    {
        std::cout << internal::dump(body) << '\n';
    }
    else if (section.empty())
    {
        internal::print_document(body, whole_text);
    }
    else
    {
        std::cout << internal::version_comment << internal::member_text(body, "version")
                  << '\n'
                  << internal::member_text(body, "text");
    }
    return runtime::exit_success;
}

int diff_config(operator_target const & target, std::string const & path)
{
    std::string text;
    if (!internal::read_text(path, text))
    {
        return runtime::exit_usage;
    }
    std::vector<config::config_error> faults;
    config::ini_document const file = config::parse_ini(text, faults);
    if (!faults.empty())
    {
        internal::print_faults(path, faults, output_format::table);
        return runtime::exit_usage;
    }
    internal::json fleet;
    int const code = internal::request_json(
        target, internal::make_request("GET", "/v1/config"), fleet);
    if (code != runtime::exit_success)
    {
        return code;
    }
    internal::print_changes(internal::compare_documents(fleet, file), target.m_output);
    return runtime::exit_success;
}

int put_config(operator_target const & target, std::string const & path,
               std::optional<std::uint64_t> expected_version)
{
    std::string text;
    if (!internal::read_text(path, text))
    {
        return runtime::exit_usage;
    }
    std::optional<std::uint64_t> const version_in_file = internal::extract_version(text);
    if (!expected_version)
    {
        expected_version = version_in_file;
    }
    if (!expected_version)
    {
        std::cerr << "no expected version: set --if-version or --new, or keep the first "
                     "line that config show printed\n";
        return runtime::exit_usage;
    }
    std::vector<config::config_error> faults;
    config::ini_document const document = config::parse_ini(text, faults);
    internal::print_faults(path, faults, output_format::table);
    if (!faults.empty() || document.m_sections.size() != 1)
    {
        std::cerr << path << ": the file must contain exactly one section\n";
        return runtime::exit_usage;
    }
    std::string const & section = document.m_sections.front().m_name;
    http::request sent = internal::make_request("PUT", internal::section_path(section));
    sent.m_body = text;
    sent.m_headers.push_back(
        *expected_version == 0
            ? http::header{"If-None-Match", "*"}
            : http::header{"If-Match", fmt::format("\"{}\"", *expected_version)});
    if (!internal::add_credentials(target, sent))
    {
        return runtime::exit_usage;
    }
    return internal::send_edit(target, section, sent);
}

int delete_config(operator_target const & target, std::string const & section,
                  std::uint64_t expected_version)
{
    http::request sent =
        internal::make_request("DELETE", internal::section_path(section));
    sent.m_headers.push_back({"If-Match", fmt::format("\"{}\"", expected_version)});
    if (!internal::add_credentials(target, sent))
    {
        return runtime::exit_usage;
    }
    return internal::send_edit(target, section, sent);
}

int print_history(operator_target const & target)
{
    internal::json body;
    int const code = internal::request_json(
        target, internal::make_request("GET", "/v1/config/history"), body);
    if (code != runtime::exit_success)
    {
        return code;
    }
    if (target.m_output == output_format::json)
    {
        std::cout << internal::dump(body) << '\n';
        return runtime::exit_success;
    }
    std::cout << fmt::format("{:>8} {:>10} {:<20} {:<7} {:<20} {}\n", "EDIT", "VERSION",
                             "TIME", "ACTION", "TEAM", "SECTION");
    for (internal::json const & edit : body["edits"])
    {
        std::cout << fmt::format(
            "{:>8} {:>10} {:<20} {:<7} {:<20} {}\n", internal::member_text(edit, "edit"),
            internal::member_text(edit, "version"), internal::member_text(edit, "time"),
            internal::member_text(edit, "action"), internal::member_text(edit, "team"),
            internal::member_text(edit, "section"));
    }
    return runtime::exit_success;
}

} // namespace cassiahub::ctl
