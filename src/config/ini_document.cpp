#include <cassiahub/config/ini_document.hpp>
#include <cassiahub/core/text.hpp>

#include <ini.h>

#include <algorithm>
#include <set>
#include <string>

namespace cassiahub::config
{

namespace internal
{

/// State of one call of parse_ini(). The handler of inih gets no line number, is not
/// called for a section without keys, and gets at most 49 bytes of a section's name.
/// Therefore read_line() counts the lines and parses the section headers.
struct ini_parse_state
{
    std::string_view m_rest; ///< text not read yet
    std::size_t m_line = 0;  ///< number of the last line read
    ini_document m_document;
    std::set<std::string, std::less<>> m_names; ///< names of the sections read so far
    std::vector<config_error> & m_faults;
};

/// Appends an empty section, and a fault when the name was used before.
void add_section(ini_parse_state & state, std::string_view name)
{
    if (!state.m_names.emplace(name).second)
    {
        state.m_faults.push_back({config_errc::duplicate_section, std::string(name), "",
                                  state.m_line, "each section once"});
    }
    state.m_document.m_sections.push_back(
        ini_section{std::string(name), state.m_line, {}});
}

/// Adds a section when \p line is a section header.
void parse_section_header(ini_parse_state & state, std::string_view line)
{
    std::size_t const start = line.find_first_not_of(" \t");
    if (start == std::string_view::npos || line[start] != '[')
    {
        return;
    }
    std::size_t const end = line.find(']', start);
    if (end != std::string_view::npos)
    {
        add_section(state, line.substr(start + 1, end - start - 1));
    }
}

/// Reader callback of inih; reads one line like fgets().
char * read_line(char * buffer, int size, void * stream)
{
    auto & state = *static_cast<ini_parse_state *>(stream);
    if (state.m_rest.empty() || size < 2)
    {
        return nullptr;
    }
    ++state.m_line;
    std::size_t const newline = state.m_rest.find('\n');
    std::size_t const length =
        newline == std::string_view::npos ? state.m_rest.size() : newline + 1;
    std::size_t const copied = std::min(length, static_cast<std::size_t>(size) - 1);
    state.m_rest.copy(buffer, copied);
    buffer[copied] = '\0';
    if (copied < length)
    {
        state.m_faults.push_back({config_errc::syntax_error, "", "", state.m_line,
                                  "lines of at most 199 bytes"});
    }
    std::string_view const line = state.m_rest.substr(0, std::min(copied, newline));
    // inih would end the line at a zero byte.
    if (!is_printable_utf8(line))
    {
        state.m_faults.push_back({config_errc::syntax_error, "", "", state.m_line,
                                  "UTF-8 text without control characters"});
    }
    parse_section_header(state, line);
    state.m_rest.remove_prefix(length);
    return buffer;
}

/// Entry callback of inih. \returns 1, so that parsing continues.
int handle_entry(void * user, char const * /*section_name*/, char const * key,
                 char const * value)
{
    auto & state = *static_cast<ini_parse_state *>(user);
    if (state.m_document.m_sections.empty())
    {
        add_section(state, "");
    }
    ini_section & section = state.m_document.m_sections.back();
    if (find_entry(section, key) != nullptr)
    {
        state.m_faults.push_back({config_errc::duplicate_key, section.m_name, key,
                                  state.m_line, "each key once in a section"});
        return 1;
    }
    section.m_entries.push_back({key, value, state.m_line});
    return 1;
}

} // namespace internal

ini_document parse_ini(std::string_view text, std::vector<config_error> & faults)
{
    internal::ini_parse_state state{text, 0, {}, {}, faults};
    int const first_bad_line =
        ini_parse_stream(internal::read_line, &state, internal::handle_entry, &state);
    if (first_bad_line > 0)
    {
        faults.push_back({config_errc::syntax_error, "", "",
                          static_cast<std::size_t>(first_bad_line),
                          "[section], key = value or ; comment"});
    }
    return std::move(state.m_document);
}

ini_section const * find_section(ini_document const & document, std::string_view name)
{
    auto const found = std::find_if(
        document.m_sections.begin(), document.m_sections.end(),
        [name](ini_section const & section) { return section.m_name == name; });
    return found == document.m_sections.end() ? nullptr : &*found;
}

ini_entry const * find_entry(ini_section const & section, std::string_view key)
{
    auto const found =
        std::find_if(section.m_entries.begin(), section.m_entries.end(),
                     [key](ini_entry const & entry) { return entry.m_key == key; });
    return found == section.m_entries.end() ? nullptr : &*found;
}

} // namespace cassiahub::config
