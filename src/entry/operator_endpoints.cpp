#include "entry/operator_endpoints.hpp"
#include "entry/operator_json.hpp"

#include <fmt/format.h>

#include <charconv>
#include <chrono>
#include <optional>
#include <random>
#include <utility>

namespace cassiahub::entry
{

namespace internal
{

namespace
{

using config::config_errc;

constexpr std::string_view config_path = "/v1/config";
constexpr std::string_view section_path = "/v1/config/sections/";
constexpr std::string_view history_path = "/v1/config/history";
constexpr std::string_view status_path = "/v1/status";
constexpr std::string_view drain_path = "/v1/drain";
constexpr std::string_view undrain_path = "/v1/undrain";
constexpr std::string_view team_header = "Cassiahub-Team";

/// Most operator requests that use the store concurrently. One session would suffice for
/// 19,000 edits a day over all instances; more sessions let reads proceed while a write
/// waits for the store.
constexpr std::size_t session_count = 4;
/// Most operator requests in progress, including those that wait for a session; a small
/// part of the 128 listener threads, which they occupy.
constexpr std::size_t ticket_count = 12;
/// Longest wait for a session; about the duration of one request to a slow store.
constexpr duration session_wait = std::chrono::seconds(2);

/// RAII reservation of a ticket and a session for one request.
class session_reservation
{
public:
    explicit session_reservation(operator_state & state)
        : m_state(state), m_ticket(state.m_tickets.pop(duration::zero()))
    {
        if (m_ticket)
        {
            m_session = state.m_sessions.pop(session_wait);
        }
    }

    session_reservation(session_reservation const &) = delete;
    session_reservation & operator=(session_reservation const &) = delete;

    ~session_reservation()
    {
        if (m_session)
        {
            m_state.m_sessions.try_push(std::move(*m_session));
        }
        if (m_ticket)
        {
            m_state.m_tickets.try_push(operator_ticket());
        }
    }

    /// \returns the session, or nullptr when no ticket or no session was available.
    store::configuration_session * get() noexcept
    {
        return m_session ? &*m_session : nullptr;
    }

private:
    operator_state & m_state;
    std::optional<operator_ticket> m_ticket;
    std::optional<store::configuration_session> m_session;
};

int http_status(std::error_code error) noexcept
{
    switch (static_cast<config_errc>(error.value()))
    {
    case config_errc::not_authenticated:
        return 401;
    case config_errc::not_owner:
        return 403;
    case config_errc::section_not_found:
    case config_errc::unknown_path:
        return 404;
    case config_errc::method_not_allowed:
        return 405;
    case config_errc::still_referenced:
        return 409;
    case config_errc::version_conflict:
        return 412;
    case config_errc::text_too_large:
        return 413;
    case config_errc::invalid_document:
        return 422;
    case config_errc::precondition_required:
        return 428;
    case config_errc::contended:
    case config_errc::store_unavailable:
    case config_errc::overloaded:
        return 503;
    case config_errc::edit_outcome_unknown:
        return 504;
    default:
        return 400;
    }
}

http::response refuse(config::edit_check const & check)
{
    int const status = http_status(check.m_error);
    http::response answer{
        status, "application/problem+json", {}, format_refusal(status, check)};
    if (status == 401)
    {
        answer.m_headers.push_back({"WWW-Authenticate", "Bearer"});
    }
    if (status == 503)
    {
        answer.m_headers.push_back({"Retry-After", "1"});
    }
    return answer;
}

http::response refuse(std::error_code error)
{
    config::edit_check check;
    check.m_error = error;
    return refuse(check);
}

http::response refuse_method(std::string_view allowed)
{
    http::response answer = refuse(config_errc::method_not_allowed);
    answer.m_headers.push_back({"Allow", std::string(allowed)});
    return answer;
}

http::header make_etag(std::uint64_t version)
{
    return {"ETag", fmt::format("\"{}\"", version)};
}

http::response make_accepted(std::string_view section, std::uint64_t version,
                             bool created)
{
    return {created ? 201 : 200,
            "application/json",
            {make_etag(version)},
            format_accepted(section, version)};
}

/// Refreshes the session's document. When the store is unavailable, \p stale is set and
/// the document that the session read last is kept. \returns an error when the session
/// has none.
std::error_code read_document(store::configuration_session & session, bool & stale)
{
    std::error_code const error = store::refresh(session);
    stale = static_cast<bool>(error);
    return session.m_replica.m_sections.empty() ? error : std::error_code();
}

http::response serve_document(store::configuration_session & session)
{
    bool stale = false;
    if (std::error_code const error = read_document(session, stale))
    {
        return refuse(error);
    }
    std::uint64_t const version = store::document_version(session.m_replica);
    return {200,
            "application/json",
            {make_etag(version)},
            format_document(version, stale, store::list_sections(session.m_replica))};
}

http::response serve_section(store::configuration_session & session,
                             std::string_view name)
{
    bool stale = false;
    if (std::error_code const error = read_document(session, stale))
    {
        return refuse(error);
    }
    auto const sections = store::list_sections(session.m_replica);
    config::stored_section const * const found =
        config::find_stored_section(sections, name);
    if (found == nullptr)
    {
        return refuse(config_errc::section_not_found);
    }
    return {200,
            "application/json",
            {make_etag(found->m_version)},
            format_section(*found, stale)};
}

http::response serve_history(store::configuration_session & session)
{
    std::vector<store::history_entry> history;
    if (std::error_code const error = store::read_history(session.m_client, history))
    {
        return refuse(error);
    }
    return {200, "application/json", {}, format_history(history)};
}

void read_credentials(http::request const & received, config::section_edit & edit)
{
    constexpr std::string_view scheme = "Bearer ";
    edit.m_team = http::find_header(received.m_headers, team_header);
    std::string_view const value = http::find_header(received.m_headers, "Authorization");
    if (value.starts_with(scheme))
    {
        edit.m_team_key = value.substr(scheme.size());
    }
}

/// Reads If-Match: "VERSION" or If-None-Match: * into \p expected, where 0 stands for a
/// section that must not exist. \returns false when a header is malformed.
bool read_precondition(http::request const & received,
                       std::optional<std::uint64_t> & expected)
{
    std::string_view const match = http::find_header(received.m_headers, "If-Match");
    std::string_view const none = http::find_header(received.m_headers, "If-None-Match");
    if (!none.empty())
    {
        expected = 0;
        return match.empty() && none == "*";
    }
    if (match.empty())
    {
        return true;
    }
    if (match.size() < 3 || match.front() != '"' || match.back() != '"')
    {
        return false;
    }
    char const * const end = match.data() + match.size() - 1;
    std::uint64_t version = 0;
    auto const result = std::from_chars(match.data() + 1, end, version);
    expected = version;
    return result.ec == std::errc() && result.ptr == end && version != 0;
}

http::response answer_edit(config::section_edit const & edit,
                           store::edit_result const & result)
{
    if (result.m_check.m_error)
    {
        return refuse(result.m_check);
    }
    return make_accepted(edit.m_section, result.m_version,
                         edit.m_text && result.m_check.m_version == 0);
}

/// Serves PUT and DELETE of a section. An edit without text deletes the section.
http::response edit_section(store::configuration_session & session, std::string_view name,
                            http::request const & received)
{
    config::section_edit edit;
    edit.m_section = name;
    read_credentials(received, edit);
    if (!read_precondition(received, edit.m_expected_version))
    {
        return refuse(config_errc::malformed_request);
    }
    if (received.m_method == "PUT")
    {
        edit.m_text = received.m_body;
    }
    return answer_edit(
        edit, store::apply_edit(session, edit, std::chrono::system_clock::now()));
}

/// Sets the key "draining" of an upstream's section to \p draining.
http::response set_draining(store::configuration_session & session,
                            std::string_view draining, http::request const & received)
{
    config::section_edit edit;
    std::string upstream;
    if (!parse_upstream(received.m_body, upstream))
    {
        return refuse(config_errc::malformed_request);
    }
    edit.m_section = "upstream." + upstream;
    read_credentials(received, edit);
    store::edit_result const result = store::set_section_key(
        session, edit, "draining", draining, std::chrono::system_clock::now());
    if (result.m_check.m_error)
    {
        return refuse(result.m_check);
    }
    return make_accepted(edit.m_section, result.m_version, false);
}

http::response serve_status(operator_state const & state, bool stopping)
{
    config::entry_settings const & settings = state.m_context.m_settings;
    return {200,
            "application/json",
            {},
            format_status({settings.m_instance, settings.m_domain,
                           state.m_context.m_configuration_version.load(), stopping})};
}

/// \returns the methods allowed on \p path, as in the Allow header; empty for an unknown
/// path.
std::string_view allowed_methods(std::string_view path) noexcept
{
    if (path == config_path || path == history_path || path == status_path)
    {
        return "GET";
    }
    if (path == drain_path || path == undrain_path)
    {
        return "POST";
    }
    return path.starts_with(section_path) && path.size() > section_path.size()
               ? "GET, PUT, DELETE"
               : "";
}

/// Serves the paths that need the platform's store.
http::response serve_with_session(store::configuration_session & session,
                                  http::request const & received)
{
    std::string_view const path = received.m_path;
    if (path == config_path)
    {
        return serve_document(session);
    }
    if (path == history_path)
    {
        return serve_history(session);
    }
    if (path == drain_path || path == undrain_path)
    {
        return set_draining(session, path == drain_path ? "yes" : "no", received);
    }
    std::string_view const name = path.substr(section_path.size());
    return received.m_method == "GET" ? serve_section(session, name)
                                      : edit_section(session, name, received);
}

} // namespace

} // namespace internal

operator_state::operator_state(daemon_context const & context)
    : m_context(context), m_tickets(internal::ticket_count),
      m_sessions(internal::session_count)
{
    for (std::size_t index = 0; index < internal::ticket_count; ++index)
    {
        m_tickets.try_push(operator_ticket());
    }
    std::random_device device;
    for (std::size_t index = 0; index < internal::session_count; ++index)
    {
        std::seed_seq seed{device(), device(), device(), device()};
        store::configuration_session session;
        session.m_client.m_address = context.m_settings.m_platform_address;
        session.m_client.m_caller = context.m_settings.m_instance;
        session.m_random = random_source(seed);
        m_sessions.try_push(std::move(session));
    }
}

bool is_operator_path(std::string_view path) noexcept
{
    return path.starts_with(internal::config_path) || path == internal::status_path ||
           path == internal::drain_path || path == internal::undrain_path;
}

http::response serve_operator(operator_state & state, http::request const & received,
                              bool stopping)
{
    std::string_view const allowed = internal::allowed_methods(received.m_path);
    if (allowed.empty())
    {
        return internal::refuse(config::config_errc::unknown_path);
    }
    if (allowed.find(received.m_method) == std::string_view::npos)
    {
        return internal::refuse_method(allowed);
    }
    if (received.m_path == internal::status_path)
    {
        return internal::serve_status(state, stopping);
    }
    internal::session_reservation reservation(state);
    store::configuration_session * const session = reservation.get();
    return session == nullptr ? internal::refuse(config::config_errc::overloaded)
                              : internal::serve_with_session(*session, received);
}

} // namespace cassiahub::entry
