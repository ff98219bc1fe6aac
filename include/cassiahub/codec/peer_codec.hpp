#ifndef CASSIAHUB_CODEC_PEER_CODEC_HPP
#define CASSIAHUB_CODEC_PEER_CODEC_HPP

#include <cassiahub/decision/peer_message.hpp>

#include <peer_protocol.capnp.h>

#include <cstddef>
#include <system_error>

namespace cassiahub::codec
{

/// Reasons why a received peer message is rejected.
enum class peer_codec_errc
{
    malformed_structure = 1, ///< invalid pointers or sizes, or required data is missing
    unknown_message = 2,     ///< a union member that this version does not know
    bad_enumerator = 3,      ///< a number outside its enumeration
    bad_name = 4,            ///< an empty, too long or otherwise invalid name or key
    out_of_range = 5,        ///< a negative or too large number, duration or time
    too_many_items = 6       ///< a list that exceeds its limit
};

std::error_category const & peer_codec_category() noexcept;
std::error_code make_error_code(peer_codec_errc value) noexcept;

/// Longest list of shards or upstreams in a heartbeat, of keys in a key notice and of
/// tasks in a loss notice.
constexpr std::size_t max_listed_items = 65'536;
/// Longest duration accepted in a peer message, such as the time limit of a forwarded
/// job.
constexpr duration max_peer_duration = std::chrono::hours(1);
/// Largest reading of the fleet's clock accepted in a peer message, ms: sums with the
/// time since the reading stay in range.
constexpr std::int64_t max_peer_clock_ms = std::int64_t(1) << 53;

/// Encodes \p message into \p target. Errors that are not a job_errc become
/// job_errc::outcome_unknown, because the protocol transfers only numbers of job_errc.
/// Thread-safe.
void encode_peer_message(decision::peer_message const & message,
                         peer_protocol::Message::Builder target);

/// Decodes and validates \p source.
/// \returns no error, or the reason why \p source is rejected; \p message is then
/// unchanged. Thread-safe.
std::error_code decode_peer_message(peer_protocol::Message::Reader source,
                                    decision::peer_message & message);

/// \returns the approximate encoded size of \p message in bytes, for queue limits.
std::size_t approximate_size(decision::peer_message const & message) noexcept;

} // namespace cassiahub::codec

template <>
struct std::is_error_code_enum<cassiahub::codec::peer_codec_errc> : std::true_type
{
};

#endif
