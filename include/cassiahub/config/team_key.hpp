#ifndef CASSIAHUB_CONFIG_TEAM_KEY_HPP
#define CASSIAHUB_CONFIG_TEAM_KEY_HPP

#include <string>
#include <string_view>

namespace cassiahub::config
{

/// \returns true when \p text has the form "sha256:<salt>:<digest>" with lower-case
/// hexadecimal digits. Thread-safe.
bool is_key_hash(std::string_view text) noexcept;

/// Computes the SHA-256 digest of the decoded salt followed by \p key.
/// \param salt 16 to 64 lower-case hexadecimal digits; the number of digits is even.
/// \returns "sha256:<salt>:<digest>", or an empty string when \p salt is malformed or the
/// digest cannot be computed.
/// Thread-safe.
std::string hash_team_key(std::string_view key, std::string_view salt);

/// Compares the digests in constant time. Thread-safe.
/// \returns true when the salted hash of \p key is \p key_hash.
bool verify_team_key(std::string_view key_hash, std::string_view key);

} // namespace cassiahub::config

#endif
