#include <cassiahub/config/ini_document.hpp>

#include <ini.h>
#include <openssl/asn1.h>

#include <algorithm>
#include <set>
#include <string>

namespace cassiahub::config
{

namespace internal
{

/// Reading position and result of one call of parse_ini(). inih's handler receives no
/// line number, is not called for a section without keys, and receives at most 49 bytes
/// of a section's name, so the reader counts the lines and reads the section lines.
struct ini_reading
{
    std::string_view m_rest;
    std::size_t m_line = 0;
    ini_document m_document;
    std::set<std::string, std::less<>> m_names; ///< of the sections so far
    std::vector<config_fault> & m_faults;
};

void open_section(ini_reading & reading, std::string_view name)
{
    if (!reading.m_names.emplace(name).second)
    {
        reading.m_faults.push_back({config_errc::duplicate_section, std::string(name), "",
                                    reading.m_line, "each section once"});
    }
    reading.m_document.m_sections.push_back(
        ini_section{std::string(name), reading.m_line, {}});
}

/// \returns true when \p line is UTF-8 without control characters. Other bytes could not
/// be passed on in JSON, and a zero byte would end the line for inih.
bool is_plain_text(std::string_view line) noexcept
{
    while (!line.empty())
    {
        auto const * const bytes = reinterpret_cast<unsigned char const *>(line.data());
        unsigned long character = 0;
        int const length = UTF8_getc(bytes, static_cast<int>(line.size()), &character);
        bool const is_control = character < 0x20 || character == 0x7f;
        if (length <= 0 || (is_control && character != '\t' && character != '\r'))
        {
            return false;
        }
        line.remove_prefix(static_cast<std::size_t>(length));
    }
    return true;
}

/// Opens a section when \p line is a section line.
void read_section_line(ini_reading & reading, std::string_view line)
{
    std::size_t const start = line.find_first_not_of(" \t");
    if (start == std::string_view::npos || line[start] != '[')
    {
        return;
    }
    std::size_t const end = line.find(']', start);
    if (end != std::string_view::npos)
    {
        open_section(reading, line.substr(start + 1, end - start - 1));
    }
}

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
    std::string_view const line = reading.m_rest.substr(0, std::min(copied, newline));
    if (!is_plain_text(line))
    {
        reading.m_faults.push_back({config_errc::syntax_error, "", "", reading.m_line,
                                    "UTF-8 text without control characters"});
    }
    read_section_line(reading, line);
    reading.m_rest.remove_prefix(length);
    return buffer;
}

int handle_entry(void * user, char const * /*section_name*/, char const * key,
                 char const * value)
{
    auto & reading = *static_cast<ini_reading *>(user);
    if (reading.m_document.m_sections.empty())
    {
        open_section(reading, "");
    }
    ini_section & section = reading.m_document.m_sections.back();
    if (find_entry(section, key) != nullptr)
    {
        reading.m_faults.push_back({config_errc::duplicate_key, section.m_name, key,
                                    reading.m_line, "each key once in a section"});
        return 1;
    }
    section.m_entries.push_back({key, value, reading.m_line});
    return 1;
}

} // namespace internal

ini_document parse_ini(std::string_view text, std::vector<config_fault> & faults)
{
    internal::ini_reading reading{text, 0, {}, {}, faults};
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
