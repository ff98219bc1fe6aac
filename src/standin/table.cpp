#include <cassiahub/standin/table.hpp>

namespace cassiahub::standin
{

namespace internal
{

namespace
{

bool expected_versions_match(table const & source, codec::table_batch const & batch)
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

void remove_expired_writes(table & target, time_point now)
{
    while (!target.m_write_order.empty() &&
           target.m_write_order.front().first + write_id_lifetime < now)
    {
        target.m_writes.erase(target.m_write_order.front().second);
        target.m_write_order.pop_front();
    }
}

void record_write(table & target, std::string_view write_id, write_record record,
                  time_point now)
{
    target.m_writes.emplace(write_id, std::move(record));
    target.m_write_order.emplace_back(now, write_id);
}

} // namespace

} // namespace internal

decision::table_row current_row(table const & source, std::string const & name)
{
    auto const found = source.m_rows.find(name);
    if (found == source.m_rows.end() || found->second.m_deleted)
    {
        return {name, 0, ""};
    }
    return {name, found->second.m_version, found->second.m_value};
}

std::uint64_t write_row(table & target, std::string const & name,
                        std::optional<std::string> value)
{
    ++target.m_sequence;
    bool const deleted = !value;
    target.m_rows[name] = {target.m_sequence, deleted,
                           std::move(value).value_or(std::string())};
    return target.m_sequence;
}

batch_outcome commit(table & target, codec::table_batch const & batch, time_point now,
                     codec::table_rows & rows)
{
    internal::remove_expired_writes(target, now);
    auto const earlier = target.m_writes.find(batch.m_write_id);
    if (earlier != target.m_writes.end())
    {
        if (!earlier->second.m_rows)
        {
            return batch_outcome::refused;
        }
        rows = *earlier->second.m_rows;
        return batch_outcome::committed;
    }
    bool const matches = internal::expected_versions_match(target, batch);
    if (matches)
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
        rows.m_rows.push_back(current_row(target, write.m_name));
    }
    if (!matches)
    {
        return batch_outcome::conflict;
    }
    internal::record_write(target, batch.m_write_id, {rows}, now);
    return batch_outcome::committed;
}

codec::table_rows read_rows(table const & source, std::string_view prefix,
                            std::uint64_t after)
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

bool resolve(table & target, std::string_view write_id, time_point now,
             codec::table_rows & rows)
{
    internal::remove_expired_writes(target, now);
    auto const found = target.m_writes.find(write_id);
    if (found == target.m_writes.end())
    {
        internal::record_write(target, write_id, {}, now);
        return false;
    }
    if (!found->second.m_rows)
    {
        return false;
    }
    rows = *found->second.m_rows;
    return true;
}

} // namespace cassiahub::standin
