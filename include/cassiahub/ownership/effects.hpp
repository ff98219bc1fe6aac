#ifndef CASSIAHUB_OWNERSHIP_EFFECTS_HPP
#define CASSIAHUB_OWNERSHIP_EFFECTS_HPP

#include <cassiahub/core/job.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

namespace cassiahub::ownership
{

/// Change of one row in an atomic write to the store.
struct row_change
{
    std::string m_name;
    std::optional<std::uint64_t> m_expected_version; ///< 0: must not exist; empty: any
    std::optional<std::string> m_value;              ///< empty: the row is deleted
};

/// An atomic write to the store. All rows change, or none does.
struct store_write
{
    std::uint64_t m_request = 0;
    std::string m_write_id; ///< lets the store recognise a repeated write
    std::vector<row_change> m_rows;
};

/// A read of all rows whose names begin with a prefix.
struct store_read
{
    std::uint64_t m_request = 0;
    std::string m_prefix;
};

/// An admitted job that may now start.
struct startable_job
{
    job_key m_key;
    fencing_token m_token;
};

/// A pending job that is refused and does not start.
struct refused_job
{
    job_key m_key;
    std::error_code m_error;
    run_state m_ran = run_state::no; ///< unknown: an earlier owner may have run it
};

/// Notice to send to another instance: admitted keys without a stored record. The
/// receiver keeps them in case it takes over the shard.
struct outgoing_notice
{
    instance_id m_to;
    std::uint64_t m_request = 0;
    std::uint32_t m_shard = 0;
    std::vector<job_key> m_keys;
};

enum class shard_change
{
    claimed,  ///< the lease was obtained; the records are not loaded yet
    serving,  ///< the records are loaded
    released, ///< the lease was given up by this instance
    lost      ///< another instance took the shard
};

/// A change of shard ownership, for the log.
struct shard_event
{
    shard_change m_change = shard_change::claimed;
    std::uint32_t m_shard = 0;
};

/// Actions that the caller carries out after one event, in order within each list.
struct effects
{
    std::vector<store_write> m_writes;
    std::vector<store_read> m_reads;
    std::vector<startable_job> m_startable;
    std::vector<refused_job> m_refused;
    std::vector<outgoing_notice> m_notices;
    std::vector<shard_event> m_shard_events;
};

} // namespace cassiahub::ownership

#endif
