#ifndef CASSIAHUB_ENTRY_OPERATOR_ENDPOINTS_HPP
#define CASSIAHUB_ENTRY_OPERATOR_ENDPOINTS_HPP

#include "entry/context.hpp"

#include <cassiahub/http/message.hpp>
#include <cassiahub/store/configuration_edit.hpp>

#include <string_view>

namespace cassiahub::entry
{

/// Permit of one operator request to use a session or to wait for one.
struct operator_ticket
{
};

/// Store sessions shared by the operator requests.
struct operator_state
{
    explicit operator_state(daemon_context const & context);

    daemon_context const & m_context;
    // Permits not in use. Empty: the request is refused immediately, which bounds the
    // listener threads that operator requests occupy while the store is slow.
    runtime::bounded_ring<operator_ticket> m_tickets;
    // Sessions not in use. Empty: a request with a ticket waits for at most session_wait
    // and is then refused.
    runtime::bounded_ring<store::configuration_session> m_sessions;
};

/// \returns true for the paths that serve_operator() serves.
bool is_operator_path(std::string_view path) noexcept;

/// Serves /v1/config, /v1/status, /v1/drain and /v1/undrain. Thread-safe.
/// \param stopping true while the daemon is shutting down.
/// \pre is_operator_path(\p received.m_path)
http::response serve_operator(operator_state & state, http::request const & received,
                              bool stopping);

} // namespace cassiahub::entry

#endif
