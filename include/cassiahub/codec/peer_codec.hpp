#ifndef CASSIAHUB_CODEC_PEER_CODEC_HPP
#define CASSIAHUB_CODEC_PEER_CODEC_HPP

#include <cassiahub/decision/peer_message.hpp>

#include <peer_protocol.capnp.h>

#include <cstddef>
#include <system_error>

namespace cassiahub::codec
{

/// Why a peer message was refused.
enum class peer_codec_errc
{
    malformed_structure = 1, ///< pointers or sizes that do not fit the message
    unknown_message = 2,     ///< a member of the union that this version lacks
    bad_enumerator = 3,      ///< a number outside its enumeration
    bad_name = 4,            ///< a name or key that is empty, too long or not allowed
    out_of_range = 5,        ///< a negative or too large duration or time
    too_many_items = 6       ///< a list that is longer than its limit
};

std::error_category const & peer_codec_category() noexcept;
std::error_code make_error_code(peer_codec_errc value) noexcept;

/// Largest number of shards in a heartbeat and of keys in a key notice.
constexpr std::size_t max_listed_items = 65'536;
/// Longest time limit of a forwarded job.
constexpr duration max_forwarded_time_limit = std::chrono::hours(1);

/// Writes \p message into \p target. Errors that are not a job_errc are written as
/// job_errc::outcome_unknown, because their numbers mean nothing elsewhere. Thread-safe.
void encode_peer_message(decision::peer_message const & message,
                         peer_protocol::Message::Builder target);

/// Reads and checks \p source.
/// \returns no error, or why it was refused; \p message is then unchanged. Thread-safe.
std::error_code decode_peer_message(peer_protocol::Message::Reader source,
                                    decision::peer_message & message);

/// \returns roughly the encoded size of \p message in bytes, for queue limits.
std::size_t approximate_size(decision::peer_message const & message) noexcept;

} // namespace cassiahub::codec

template <>
struct std::is_error_code_enum<cassiahub::codec::peer_codec_errc> : std::true_type
{
};

#endif
