#include "entry/operator_json.hpp"

#include <fmt/chrono.h>
#include <nlohmann/json.hpp>

namespace cassiahub::entry
{

namespace internal
{

using nlohmann::json;

/// \returns \p value as JSON text and a line feed; invalid UTF-8 is replaced by U+FFFD.
std::string dump(json const & value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

json to_json(config::stored_section const & section)
{
    return {{"name", section.m_name},
            {"owner", config::section_owner(section.m_name, section.m_text)},
            {"version", section.m_version},
            {"text", section.m_text}};
}

json to_json(config::config_error const & fault)
{
    return {{"section", fault.m_section},
            {"line", fault.m_line},
            {"key", fault.m_key},
            {"code", fault.m_error.message()},
            {"allowed", fault.m_allowed}};
}

} // namespace internal

std::string format_status(instance_status const & status)
{
    return internal::dump({{"instance", status.m_instance},
                           {"domain", status.m_domain},
                           {"configuration_version", status.m_configuration_version},
                           {"draining", status.m_draining}});
}

std::string format_document(std::uint64_t version, bool stale,
                            std::span<config::stored_section const> sections)
{
    internal::json list = internal::json::array();
    for (config::stored_section const & section : sections)
    {
        list.push_back(internal::to_json(section));
    }
    return internal::dump(
        {{"version", version}, {"stale", stale}, {"sections", std::move(list)}});
}

std::string format_section(config::stored_section const & section, bool stale)
{
    internal::json object = internal::to_json(section);
    object["stale"] = stale;
    return internal::dump(object);
}

std::string format_history(std::span<store::history_entry const> history)
{
    internal::json list = internal::json::array();
    for (store::history_entry const & entry : history)
    {
        list.push_back({{"edit", entry.m_edit_number},
                        {"version", entry.m_version},
                        {"time", fmt::format("{:%Y-%m-%dT%H:%M:%SZ}",
                                             fmt::gmtime(std::time_t(entry.m_time_s)))},
                        {"action", entry.m_action},
                        {"team", entry.m_team},
                        {"section", entry.m_section}});
    }
    return internal::dump({{"edits", std::move(list)}});
}

std::string format_accepted(std::string_view section, std::uint64_t version)
{
    return internal::dump({{"section", section}, {"version", version}});
}

std::string format_refusal(int status, config::edit_check const & check)
{
    std::string const code = check.m_error.message();
    bool const unknown = check.m_error == config::config_errc::edit_outcome_unknown;
    internal::json document = {{"type", "about:blank"},
                               {"title", code},
                               {"status", status},
                               {"code", code},
                               {"applied", unknown ? "unknown" : "no"}};
    if (!check.m_faults.empty())
    {
        internal::json list = internal::json::array();
        for (config::config_error const & fault : check.m_faults)
        {
            list.push_back(internal::to_json(fault));
        }
        document["faults"] = std::move(list);
    }
    if (check.m_error == config::config_errc::version_conflict)
    {
        document["current"] = {{"version", check.m_version}, {"text", check.m_text}};
    }
    return internal::dump(document);
}

bool parse_upstream(std::string_view body, std::string & name)
{
    internal::json const parsed = internal::json::parse(body, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("upstream") ||
        !parsed["upstream"].is_string())
    {
        return false;
    }
    name = parsed["upstream"].get<std::string>();
    return true;
}

} // namespace cassiahub::entry
