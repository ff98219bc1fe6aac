#include <cassiahub/store/client.hpp>

#include <fmt/format.h>

#include <optional>
#include <utility>

namespace cassiahub::store
{

namespace internal
{

/// Exchanges on the kept connection, which is opened when there is none.
std::error_code exchange(client & used, http::request sent, http::response & received)
{
    if (!used.m_connection.m_handle)
    {
        std::error_code error;
        used.m_connection = http::connect(used.m_address, error);
        if (error)
        {
            return error;
        }
    }
    sent.m_headers.push_back({"User-Agent", used.m_caller});
    std::error_code const error =
        http::exchange(used.m_connection, sent, used.m_address, used.m_timeout, received);
    if (error)
    {
        used.m_connection = {};
    }
    return error;
}

std::error_code get(client & used, http::request const & sent, http::response & received)
{
    bool const was_open = used.m_connection.m_handle != nullptr;
    std::error_code error = exchange(used, sent, received);
    if (error && was_open)
    {
        // The service may have closed the idle connection; reading again is harmless.
        error = exchange(used, sent, received);
    }
    if (error || received.m_status >= 500)
    {
        return store_errc::unavailable;
    }
    return {};
}

/// What the platform knows of a write.
enum class write_fate
{
    committed,
    never_committed,
    unavailable
};

/// Asks for a write's fate. The platform refuses the identifier from then on if it has
/// not seen it, so a delayed copy of the write cannot take effect later.
write_fate resolve_write(client & used, std::string_view write_id,
                         std::vector<decision::table_row> & versions)
{
    http::response received;
    http::request const sent{
        "POST", fmt::format("/writes/{}:resolve", write_id), {}, {}, {}};
    std::error_code error = exchange(used, sent, received);
    if (error)
    {
        error = exchange(used, sent, received);
    }
    if (error || received.m_status >= 500)
    {
        return write_fate::unavailable;
    }
    if (received.m_status == 404)
    {
        return write_fate::never_committed;
    }
    codec::table_rows rows;
    if (!codec::parse_table_rows(received.m_body, rows))
    {
        return write_fate::unavailable;
    }
    versions = std::move(rows.m_rows);
    return write_fate::committed;
}

/// One try of a write. \returns nothing definite when the answer was lost.
std::optional<decision::store_outcome>
try_write(client & used, http::request const & sent,
          std::vector<decision::table_row> & versions)
{
    http::response received;
    if (exchange(used, sent, received))
    {
        return std::nullopt;
    }
    codec::table_rows rows;
    bool const parsed = codec::parse_table_rows(received.m_body, rows);
    versions = std::move(rows.m_rows);
    if (received.m_status == 200 && parsed)
    {
        return decision::store_outcome::done;
    }
    if (received.m_status == 412)
    {
        return decision::store_outcome::conflict;
    }
    return std::nullopt;
}

} // namespace internal

std::error_code read_rows(client & used, std::string_view prefix, std::uint64_t after,
                          codec::table_rows & rows)
{
    http::response received;
    std::error_code const error = internal::get(
        used, {"GET", "/table", fmt::format("prefix={}&after={}", prefix, after), {}, {}},
        received);
    if (error)
    {
        return error;
    }
    return received.m_status == 200 && codec::parse_table_rows(received.m_body, rows)
               ? std::error_code()
               : make_error_code(store_errc::malformed_response);
}

decision::store_outcome write_rows(client & used, decision::write_store const & write,
                                   std::vector<decision::table_row> & versions)
{
    std::string write_id = write.m_write_id;
    // A write that is known not to have taken effect is repeated once, for example
    // when the service had closed the idle connection. The platform refuses the resolved
    // identifier from then on, so the repetition has its own.
    for (int attempt = 0; attempt < 2; ++attempt)
    {
        http::request const sent{"POST",
                                 "/table:batch",
                                 {},
                                 {},
                                 codec::format_table_batch(write_id, write.m_rows)};
        std::optional<decision::store_outcome> const outcome =
            internal::try_write(used, sent, versions);
        if (outcome)
        {
            return *outcome;
        }
        switch (internal::resolve_write(used, write_id, versions))
        {
        case internal::write_fate::committed:
            return decision::store_outcome::done;
        case internal::write_fate::unavailable:
            return decision::store_outcome::unavailable;
        case internal::write_fate::never_committed:
            break;
        }
        write_id += "-repeated";
    }
    return decision::store_outcome::unavailable;
}

std::error_code list_instances(client & used,
                               std::vector<decision::listed_instance> & instances)
{
    http::request sent{"GET", "/instances", {}, {}, {}};
    if (!used.m_list_tag.empty())
    {
        sent.m_headers.push_back({"If-None-Match", used.m_list_tag});
    }
    http::response received;
    if (std::error_code const error = internal::get(used, sent, received))
    {
        return error;
    }
    if (received.m_status == 304 && !used.m_list_tag.empty())
    {
        return {};
    }
    if (received.m_status != 200 || !codec::parse_instances(received.m_body, instances))
    {
        return store_errc::malformed_response;
    }
    used.m_list_tag = http::find_header(received.m_headers, "ETag");
    return {};
}

} // namespace cassiahub::store
