#include <cassiahub/config/team_key.hpp>

#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <charconv>

namespace cassiahub::config
{

namespace internal
{

constexpr std::string_view hash_prefix = "sha256:";
constexpr std::size_t digest_digits = 64;
constexpr std::size_t min_salt_digits = 16;
constexpr std::size_t max_salt_digits = 64;

bool is_hexadecimal(std::string_view text) noexcept
{
    return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

bool is_salt(std::string_view text) noexcept
{
    return text.size() >= min_salt_digits && text.size() <= max_salt_digits &&
           text.size() % 2 == 0 && is_hexadecimal(text);
}

/// \pre is_hexadecimal(\p digits) and an even number of digits
std::string decode_hexadecimal(std::string_view digits)
{
    std::string bytes;
    for (std::size_t index = 0; index < digits.size(); index += 2)
    {
        unsigned value = 0;
        std::from_chars(digits.data() + index, digits.data() + index + 2, value, 16);
        bytes.push_back(static_cast<char>(value));
    }
    return bytes;
}

std::string encode_hexadecimal(std::basic_string_view<unsigned char> bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (unsigned char const byte : bytes)
    {
        text.push_back(digits[byte >> 4U]);
        text.push_back(digits[byte & 15U]);
    }
    return text;
}

} // namespace internal

bool is_key_hash(std::string_view text) noexcept
{
    if (!text.starts_with(internal::hash_prefix))
    {
        return false;
    }
    text.remove_prefix(internal::hash_prefix.size());
    std::size_t const colon = text.find(':');
    return colon != std::string_view::npos && internal::is_salt(text.substr(0, colon)) &&
           text.size() == colon + 1 + internal::digest_digits &&
           internal::is_hexadecimal(text.substr(colon + 1));
}

std::string hash_team_key(std::string_view key, std::string_view salt)
{
    if (!internal::is_salt(salt))
    {
        return {};
    }
    std::string salted = internal::decode_hexadecimal(salt);
    salted += key;
    unsigned char digest[EVP_MAX_MD_SIZE];
    unsigned length = 0;
    int const status =
        EVP_Digest(salted.data(), salted.size(), digest, &length, EVP_sha256(), nullptr);
    OPENSSL_cleanse(salted.data(), salted.size());
    if (status != 1)
    {
        return {};
    }
    std::string text(internal::hash_prefix);
    text += salt;
    text += ':';
    text += internal::encode_hexadecimal({digest, length});
    return text;
}

bool verify_team_key(std::string_view key_hash, std::string_view key)
{
    if (!is_key_hash(key_hash))
    {
        return false;
    }
    std::string_view const rest = key_hash.substr(internal::hash_prefix.size());
    std::string const expected = hash_team_key(key, rest.substr(0, rest.find(':')));
    return expected.size() == key_hash.size() &&
           CRYPTO_memcmp(expected.data(), key_hash.data(), expected.size()) == 0;
}

} // namespace cassiahub::config
