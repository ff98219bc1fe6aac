#ifndef CASSIAHUB_PEER_ERROR_HPP
#define CASSIAHUB_PEER_ERROR_HPP

#include <system_error>

namespace cassiahub::peer
{

/// Errors of the exchange with other instances. The first two end all of it, the others
/// one session or connection.
enum class peer_errc
{
    bind_failed = 1,       ///< cannot listen on the peer address
    event_loop_failed = 2, ///< the event loop threw an exception
    frame_rejected = 3,    ///< malformed, too large or not expected
    batch_rejected = 4,    ///< a message that cannot be decoded
    open_rejected = 5,     ///< wrong secret or names, or no open frame
    too_many_connections = 6
};

std::error_category const & peer_category() noexcept;
std::error_code make_error_code(peer_errc value) noexcept;

} // namespace cassiahub::peer

template <>
struct std::is_error_code_enum<cassiahub::peer::peer_errc> : std::true_type
{
};

#endif
