#ifndef CASSIAHUB_CORE_IDENTIFIERS_HPP
#define CASSIAHUB_CORE_IDENTIFIERS_HPP

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace cassiahub
{

/// Name of an entry instance (a running cassiahub-entry process), unique among live
/// instances.
struct instance_id
{
    std::string m_value;
    auto operator<=>(instance_id const &) const = default;
};

/// Identifies a job. Two submissions with equal keys are the same job.
struct job_key
{
    std::string m_tenant;
    std::string m_home_domain; ///< failure domain whose instances own the job
    std::string m_key;         ///< idempotency key that the caller chose
    auto operator<=>(job_key const &) const = default;
};

/// Identifies one attempt to run one task. The incarnation is a random number chosen at
/// process start, so a restarted instance does not reuse identifiers.
struct attempt_id
{
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_serial = 0; ///< counts the attempts of one incarnation
    auto operator<=>(attempt_id const &) const = default;
};

/// Shard and lease epoch, sent with each attempt. An upstream that checks fencing tokens
/// rejects a token whose epoch is lower than the highest one it has seen for the shard.
struct fencing_token
{
    std::string m_shard;
    std::uint64_t m_epoch = 0;
    auto operator<=>(fencing_token const &) const = default;
};

/// \returns "<incarnation>-<serial>" in hexadecimal.
std::string to_string(attempt_id const & id);

/// Parses the output of to_string(attempt_id).
/// \returns false when \p text is malformed; \p id is then unchanged.
bool parse_attempt_id(std::string_view text, attempt_id & id) noexcept;

} // namespace cassiahub

template <>
struct std::hash<cassiahub::attempt_id>
{
    std::size_t operator()(cassiahub::attempt_id const & id) const noexcept
    {
        return id.m_incarnation ^ (id.m_serial * 0x9e3779b97f4a7c15ULL);
    }
};

template <>
struct std::hash<cassiahub::job_key>
{
    std::size_t operator()(cassiahub::job_key const & key) const noexcept
    {
        std::hash<std::string> const hasher;
        std::size_t const tenant = hasher(key.m_tenant);
        std::size_t const domain = hasher(key.m_home_domain);
        return (tenant * 31 + domain) * 31 + hasher(key.m_key);
    }
};

template <>
struct std::hash<cassiahub::instance_id>
{
    std::size_t operator()(cassiahub::instance_id const & id) const noexcept
    {
        return std::hash<std::string>()(id.m_value);
    }
};

#endif
