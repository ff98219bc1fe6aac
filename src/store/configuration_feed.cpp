#include <cassiahub/store/configuration_feed.hpp>

#include <algorithm>

namespace cassiahub::store
{

bool merge_sections(configuration_feed & feed, codec::table_rows const & rows)
{
    if (rows.m_sequence < feed.m_sequence)
    {
        return false;
    }
    bool changed = false;
    for (decision::table_row const & row : rows.m_rows)
    {
        if (row.m_name == version_row)
        {
            feed.m_version_row = row;
            changed = true;
        }
        if (!row.m_name.starts_with(section_row_prefix))
        {
            continue;
        }
        decision::table_row & known = feed.m_sections[row.m_name];
        if (known.m_version < row.m_version)
        {
            known = row;
            changed = true;
        }
    }
    for (std::string const & name : rows.m_deleted)
    {
        changed |= feed.m_sections.erase(name) > 0;
    }
    feed.m_sequence = std::max(feed.m_sequence, rows.m_sequence);
    return changed;
}

std::string assemble_document(configuration_feed const & feed)
{
    std::string document;
    for (auto const & [name, row] : feed.m_sections)
    {
        document += row.m_value;
        if (!document.ends_with('\n'))
        {
            document += '\n';
        }
    }
    return document;
}

std::uint64_t document_version(configuration_feed const & feed) noexcept
{
    std::uint64_t version = feed.m_version_row.m_version;
    for (auto const & [name, row] : feed.m_sections)
    {
        version = std::max(version, row.m_version);
    }
    return version;
}

} // namespace cassiahub::store
