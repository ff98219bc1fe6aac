#ifndef CASSIAHUB_OWNERSHIP_TABLE_ROWS_HPP
#define CASSIAHUB_OWNERSHIP_TABLE_ROWS_HPP

#include <cassiahub/core/job.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace cassiahub::ownership
{

/// Value of the row lease/<domain>/<shard>.
struct lease_value
{
    instance_id m_owner; ///< empty: released
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_epoch = 0;
    duration m_lease_time{0};
};

/// Value of the row record/<domain>/<shard>/<tenant>/<key>.
struct record_value
{
    std::uint64_t m_job_hash = 0; ///< 0: not known
    std::uint64_t m_epoch = 0;    ///< under which the job was admitted
    bool m_finished = false;
    int m_error = 0; ///< job_errc of a finished job; 0: no error
    run_state m_ran = run_state::unknown;
};

// Names and keys may contain any bytes. They are escaped, so that a row name is a valid
// URL path and no part of it contains '/'.

std::string lease_prefix(std::string_view domain);
std::string lease_row_name(std::string_view domain, std::uint32_t shard);
std::string record_prefix(std::string_view domain, std::uint32_t shard);
std::string record_row_name(std::uint32_t shard, job_key const & key);

/// Parses the shard from the name of a lease row.
/// \returns false when \p name is not a lease row of \p domain.
bool parse_lease_row_name(std::string_view name, std::string_view domain,
                          std::uint32_t & shard);

/// Parses the tenant and key from the name of a record row and sets the home domain to
/// \p domain.
/// \returns false when \p name is not a record row of that shard.
bool parse_record_row_name(std::string_view name, std::string_view domain,
                           std::uint32_t shard, job_key & key);

std::string format_lease(lease_value const & value);
std::string format_record(record_value const & value);

/// \returns false when \p text is malformed; the result is then unspecified.
bool parse_lease(std::string_view text, lease_value & value);

/// \returns false when \p text is malformed; the result is then unspecified.
bool parse_record(std::string_view text, record_value & value);

} // namespace cassiahub::ownership

#endif
