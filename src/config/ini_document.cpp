#include <cassiahub/config/ini_document.hpp>

#include <ini.h>

#include <algorithm>

namespace cassiahub::config
{

namespace internal
{

/// Reading position and result of one call of parse_ini(). inih's handler receives no
/// line number, so the reader counts the lines that it hands out.
struct ini_reading
{
    std::string_view m_rest;
    std::size_t m_line = 0;
    ini_document m_document;
    std::vector<config_fault> & m_faults;
};

char * read_line(char * buffer, int size, void * stream)
{
    auto & reading = *static_cast<ini_reading *>(stream);
    if (reading.m_rest.empty() || size < 2)
    {
        return nullptr;
    }
    ++reading.m_line;
    std::size_t const newline = reading.m_rest.find('\n');
    std::size_t const length =
        newline == std::string_view::npos ? reading.m_rest.size() : newline + 1;
    std::size_t const copied = std::min(length, static_cast<std::size_t>(size) - 1);
    reading.m_rest.copy(buffer, copied);
    buffer[copied] = '\0';
    if (copied < length)
    {
        reading.m_faults.push_back({config_errc::syntax_error, "", "", reading.m_line,
                                    "lines of at most 199 bytes"});
    }
    reading.m_rest.remove_prefix(length);
    return buffer;
}

ini_section & open_section(ini_reading & reading, std::string_view name)
{
    std::vector<ini_section> & sections = reading.m_document.m_sections;
    auto const found = std::find_if(sections.begin(), sections.end(),
                                    [name](ini_section const & section)
                                    { return section.m_name == name; });
    if (found == sections.end())
    {
        return sections.emplace_back(ini_section{std::string(name), reading.m_line, {}});
    }
    if (&*found != &sections.back())
    {
        reading.m_faults.push_back({config_errc::duplicate_section, std::string(name), "",
                                    reading.m_line, "each section once"});
    }
    return *found;
}

int handle_entry(void * user, char const * section_name, char const * key,
                 char const * value)
{
    auto & reading = *static_cast<ini_reading *>(user);
    ini_section & section = open_section(reading, section_name);
    if (find_entry(section, key) != nullptr)
    {
        reading.m_faults.push_back({config_errc::duplicate_key, section_name, key,
                                    reading.m_line, "each key once in a section"});
        return 1;
    }
    section.m_entries.push_back({key, value, reading.m_line});
    return 1;
}

} // namespace internal

ini_document parse_ini(std::string_view text, std::vector<config_fault> & faults)
{
    internal::ini_reading reading{text, 0, {}, faults};
    int const first_bad_line =
        ini_parse_stream(internal::read_line, &reading, internal::handle_entry, &reading);
    if (first_bad_line > 0)
    {
        faults.push_back({config_errc::syntax_error, "", "",
                          static_cast<std::size_t>(first_bad_line),
                          "[section], key = value or ; comment"});
    }
    return std::move(reading.m_document);
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
