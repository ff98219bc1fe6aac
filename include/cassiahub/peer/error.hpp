#ifndef CASSIAHUB_PEER_ERROR_HPP
#define CASSIAHUB_PEER_ERROR_HPP

#include <system_error>

namespace cassiahub::peer
{

/// Errors that end the whole exchange with other instances.
enum class peer_errc
{
    bind_failed = 1,      ///< cannot listen on the peer address
    event_loop_failed = 2 ///< the event loop threw an exception
};

std::error_category const & peer_category() noexcept;
std::error_code make_error_code(peer_errc value) noexcept;

} // namespace cassiahub::peer

template <>
struct std::is_error_code_enum<cassiahub::peer::peer_errc> : std::true_type
{
};

#endif
