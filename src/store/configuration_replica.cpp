#include <cassiahub/store/configuration_replica.hpp>

#include <algorithm>

namespace cassiahub::store
{

bool merge_sections(configuration_replica & replica, codec::table_rows const & rows)
{
    if (rows.m_sequence < replica.m_sequence)
    {
        return false;
    }
    bool changed = false;
    for (decision::table_row const & row : rows.m_rows)
    {
        if (row.m_name == version_row)
        {
            replica.m_version_row = row;
            changed = true;
        }
        if (!row.m_name.starts_with(section_row_prefix))
        {
            continue;
        }
        decision::table_row & known = replica.m_sections[row.m_name];
        if (known.m_version < row.m_version)
        {
            known = row;
            changed = true;
        }
    }
    for (std::string const & name : rows.m_deleted)
    {
        changed |= replica.m_sections.erase(name) > 0;
    }
    replica.m_sequence = std::max(replica.m_sequence, rows.m_sequence);
    return changed;
}

std::string assemble_document(configuration_replica const & replica)
{
    std::string document;
    for (auto const & [name, row] : replica.m_sections)
    {
        document += row.m_value;
        if (!document.ends_with('\n'))
        {
            document += '\n';
        }
    }
    return document;
}

std::uint64_t document_version(configuration_replica const & replica) noexcept
{
    std::uint64_t version = replica.m_version_row.m_version;
    for (auto const & [name, row] : replica.m_sections)
    {
        version = std::max(version, row.m_version);
    }
    return version;
}

} // namespace cassiahub::store
