#ifndef CASSIAHUB_CONFIG_TEAM_KEY_HPP
#define CASSIAHUB_CONFIG_TEAM_KEY_HPP

#include <string>
#include <string_view>

namespace cassiahub::config
{

/// \returns true when \p text has the form "sha256:<salt>:<digest>", in lower-case
/// hexadecimal digits. Thread-safe.
bool is_key_hash(std::string_view text) noexcept;

/// Hashes \p key as sha256(salt bytes, key bytes).
/// \param salt 16 to 64 hexadecimal digits, an even number of them.
/// \returns "sha256:<salt>:<digest>", or an empty string when \p salt is malformed.
/// Thread-safe.
std::string hash_team_key(std::string_view key, std::string_view salt);

/// Compares in a time that does not depend on where the digests differ. Thread-safe.
/// \returns true when \p key has the hash \p key_hash.
bool verify_team_key(std::string_view key_hash, std::string_view key);

} // namespace cassiahub::config

#endif
