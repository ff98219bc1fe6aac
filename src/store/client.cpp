#include <cassiahub/store/client.hpp>

#include <fmt/format.h>

#include <optional>
#include <utility>

namespace cassiahub::store
{

namespace internal
{

/// Sends a request on the open connection, or on a new one when none is open. An error
/// closes the connection.
std::error_code exchange(client & store_client, http::request sent,
                         http::response & received)
{
    if (!store_client.m_connection.m_handle)
    {
        std::error_code error;
        store_client.m_connection = http::connect(store_client.m_address, error);
        if (error)
        {
            return error;
        }
    }
    sent.m_headers.push_back({"User-Agent", store_client.m_caller});
    std::error_code const error =
        http::exchange(store_client.m_connection, sent, store_client.m_address,
                       store_client.m_timeout, received);
    if (error)
    {
        store_client.m_connection = {};
    }
    return error;
}

/// Sends a request that has no side effects.
std::error_code get(client & store_client, http::request const & sent,
                    http::response & received)
{
    bool const was_open = store_client.m_connection.m_handle != nullptr;
    std::error_code error = exchange(store_client, sent, received);
    if (error && was_open)
    {
        // The platform may have closed the idle connection. A read can be repeated
        // safely.
        error = exchange(store_client, sent, received);
    }
    if (error || received.m_status >= 500)
    {
        return store_errc::unavailable;
    }
    return {};
}

/// Status of a write, as reported by the platform.
enum class write_status
{
    committed,
    never_committed,
    unavailable
};

/// Queries whether a write was committed. If it was not, the platform refuses its
/// identifier from then on, so a delayed copy of the request cannot be committed later.
write_status resolve_write(client & store_client, std::string_view write_id,
                           std::vector<decision::table_row> & versions)
{
    http::response received;
    http::request const sent{
        "POST", fmt::format("/writes/{}:resolve", write_id), {}, {}, {}};
    std::error_code error = exchange(store_client, sent, received);
    if (error)
    {
        error = exchange(store_client, sent, received);
    }
    if (error || received.m_status >= 500)
    {
        return write_status::unavailable;
    }
    if (received.m_status == 404)
    {
        return write_status::never_committed;
    }
    codec::table_rows rows;
    if (!codec::parse_table_rows(received.m_body, rows))
    {
        return write_status::unavailable;
    }
    versions = std::move(rows.m_rows);
    return write_status::committed;
}

/// Sends a write once. \returns std::nullopt when it is not known whether it was
/// committed.
std::optional<decision::store_outcome>
try_write(client & store_client, http::request const & sent,
          std::vector<decision::table_row> & versions)
{
    http::response received;
    if (exchange(store_client, sent, received))
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

std::error_code read_rows(client & store_client, std::string_view prefix,
                          std::uint64_t after, codec::table_rows & rows)
{
    http::response received;
    std::error_code const error = internal::get(
        store_client,
        {"GET", "/table", fmt::format("prefix={}&after={}", prefix, after), {}, {}},
        received);
    if (error)
    {
        return error;
    }
    return received.m_status == 200 && codec::parse_table_rows(received.m_body, rows)
               ? std::error_code()
               : make_error_code(store_errc::malformed_response);
}

decision::store_outcome write_rows(client & store_client,
                                   decision::write_store const & write,
                                   std::vector<decision::table_row> & versions)
{
    std::string write_id = write.m_write_id;
    // A write that was certainly not committed is repeated once; the platform may have
    // closed the idle connection, for example. The repetition needs a new identifier,
    // because the platform refuses the first identifier after resolve_write().
    for (int attempt = 0; attempt < 2; ++attempt)
    {
        http::request const sent{"POST",
                                 "/table:batch",
                                 {},
                                 {},
                                 codec::format_table_batch(write_id, write.m_rows)};
        std::optional<decision::store_outcome> const outcome =
            internal::try_write(store_client, sent, versions);
        if (outcome)
        {
            return *outcome;
        }
        switch (internal::resolve_write(store_client, write_id, versions))
        {
        case internal::write_status::committed:
            return decision::store_outcome::done;
        case internal::write_status::unavailable:
            return decision::store_outcome::unavailable;
        case internal::write_status::never_committed:
            break;
        }
        write_id += "-repeated";
    }
    return decision::store_outcome::unavailable;
}

std::error_code list_instances(client & store_client,
                               std::vector<decision::listed_instance> & instances)
{
    http::request sent{"GET", "/instances", {}, {}, {}};
    if (!store_client.m_instances_etag.empty())
    {
        sent.m_headers.push_back({"If-None-Match", store_client.m_instances_etag});
    }
    http::response received;
    if (std::error_code const error = internal::get(store_client, sent, received))
    {
        return error;
    }
    if (received.m_status == 304 && !store_client.m_instances_etag.empty())
    {
        return {};
    }
    if (received.m_status != 200 || !codec::parse_instances(received.m_body, instances))
    {
        return store_errc::malformed_response;
    }
    store_client.m_instances_etag = http::find_header(received.m_headers, "ETag");
    return {};
}

} // namespace cassiahub::store
