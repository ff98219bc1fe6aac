#include <cassiahub/standin/table.hpp>

namespace cassiahub::standin
{

namespace internal
{

decision::table_row current_row(table const & source, std::string const & name)
{
    auto const found = source.m_rows.find(name);
    if (found == source.m_rows.end() || found->second.m_deleted)
    {
        return {name, 0, ""};
    }
    return {name, found->second.m_version, found->second.m_value};
}

bool conditions_hold(table const & source, codec::table_batch const & batch)
{
    for (decision::row_write const & write : batch.m_rows)
    {
        if (write.m_expected_version &&
            current_row(source, write.m_name).m_version != *write.m_expected_version)
        {
            return false;
        }
    }
    return true;
}

} // namespace internal

batch_outcome commit(table & target, codec::table_batch const & batch,
                     codec::table_rows & rows)
{
    if (target.m_refused_writes.contains(batch.m_write_id))
    {
        return batch_outcome::refused;
    }
    auto const earlier = target.m_writes.find(batch.m_write_id);
    if (earlier != target.m_writes.end())
    {
        rows = earlier->second;
        return batch_outcome::committed;
    }
    bool const holds = internal::conditions_hold(target, batch);
    if (holds)
    {
        ++target.m_sequence;
        for (decision::row_write const & write : batch.m_rows)
        {
            target.m_rows[write.m_name] = {target.m_sequence, !write.m_value,
                                           write.m_value.value_or("")};
        }
    }
    rows.m_sequence = target.m_sequence;
    for (decision::row_write const & write : batch.m_rows)
    {
        rows.m_rows.push_back(internal::current_row(target, write.m_name));
    }
    if (!holds)
    {
        return batch_outcome::conflict;
    }
    target.m_writes.emplace(batch.m_write_id, rows);
    return batch_outcome::committed;
}

codec::table_rows read(table const & source, std::string_view prefix, std::uint64_t after)
{
    codec::table_rows rows;
    rows.m_sequence = source.m_sequence;
    for (auto row = source.m_rows.lower_bound(prefix);
         row != source.m_rows.end() && row->first.starts_with(prefix); ++row)
    {
        if (row->second.m_version <= after)
        {
            continue;
        }
        if (row->second.m_deleted)
        {
            rows.m_deleted.push_back(row->first);
        }
        else
        {
            rows.m_rows.push_back(
                {row->first, row->second.m_version, row->second.m_value});
        }
    }
    return rows;
}

bool resolve(table & target, std::string_view write_id, codec::table_rows & rows)
{
    auto const found = target.m_writes.find(write_id);
    if (found == target.m_writes.end())
    {
        target.m_refused_writes.emplace(write_id);
        return false;
    }
    rows = found->second;
    return true;
}

} // namespace cassiahub::standin
