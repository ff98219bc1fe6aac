#include "standin/platform_state.hpp"

#include <cassiahub/runtime/boot_clock.hpp>

#include <fmt/format.h>

namespace cassiahub::standin::internal
{

namespace
{

std::string entity_tag(std::uint64_t version)
{
    return fmt::format("\"{}\"", version);
}

/// \returns true when \p list (RFC 9110, 13.1.1) contains "*" or \p tag, by strong
/// comparison.
bool list_matches_tag(std::string_view list, std::string_view tag)
{
    while (!list.empty())
    {
        std::size_t const comma = list.find(',');
        std::string_view item = list.substr(0, comma);
        list.remove_prefix(comma == std::string_view::npos ? list.size() : comma + 1);
        item.remove_prefix(std::min(item.find_first_not_of(' '), item.size()));
        item = item.substr(0, item.find_last_not_of(' ') + 1);
        if (item == "*" || item == tag)
        {
            return true;
        }
    }
    return false;
}

/// Evaluates If-Match and If-None-Match against a row of \p version, 0 if there is none.
bool preconditions_hold(http::request const & received, std::uint64_t version)
{
    std::string_view const match = http::find_header(received.m_headers, "If-Match");
    std::string_view const none_match =
        http::find_header(received.m_headers, "If-None-Match");
    bool const exists = version != 0;
    return (match.empty() || (exists && list_matches_tag(match, entity_tag(version)))) &&
           (none_match.empty() || !exists ||
            !list_matches_tag(none_match, entity_tag(version)));
}

optional_response write_row(platform_state & state, http::request const & received,
                            std::string const & name, std::uint64_t version)
{
    bool const removes = received.m_method == "DELETE";
    if (!preconditions_hold(received, version))
    {
        http::response refusal = make_text(412, "precondition failed\n");
        if (version != 0)
        {
            refusal.m_headers.push_back({"ETag", entity_tag(version)});
        }
        return refusal;
    }
    if (removes && version == 0)
    {
        return make_text(404, "no such row\n");
    }
    std::optional<std::string> value;
    if (!removes)
    {
        value = received.m_body;
    }
    std::uint64_t const written = write_row(state.m_table, name, std::move(value));
    http::response response = make_text(!removes && version == 0 ? 201 : 204, {});
    if (!removes)
    {
        response.m_headers.push_back({"ETag", entity_tag(written)});
    }
    return apply_response_loss(state, std::move(response));
}

} // namespace

optional_response serve_batch(platform_state & state, http::request const & received)
{
    codec::table_batch batch;
    if (!codec::parse_table_batch(received.m_body, batch))
    {
        return make_text(400, "malformed batch\n");
    }
    if (optional_response refusal = admit(state, received, request_class::write))
    {
        return refusal;
    }
    std::lock_guard<std::mutex> const lock(state.m_mutex);
    codec::table_rows rows;
    switch (commit(state.m_table, batch, runtime::read_boot_clock(), rows))
    {
    case batch_outcome::committed:
        return apply_response_loss(state, make_json(codec::format_table_rows(rows)));
    case batch_outcome::conflict:
        return http::response{
            412, "application/json", {}, codec::format_table_rows(rows)};
    case batch_outcome::refused:
        break;
    }
    return make_text(409, "write identifier was resolved before\n");
}

optional_response serve_rows(platform_state & state, http::request const & received)
{
    if (optional_response refusal = admit(state, received, request_class::read))
    {
        return refusal;
    }
    std::string const prefix = http::query_value(received.m_query, "prefix");
    std::uint64_t const after = to_number(http::query_value(received.m_query, "after"));
    std::lock_guard<std::mutex> const lock(state.m_mutex);
    return make_json(codec::format_table_rows(read_rows(state.m_table, prefix, after)));
}

optional_response serve_row(platform_state & state, http::request const & received)
{
    bool const reads = received.m_method == "GET";
    if (!reads && received.m_method != "PUT" && received.m_method != "DELETE")
    {
        return make_text(405, "allowed: GET, PUT, DELETE\n");
    }
    if (optional_response refusal =
            admit(state, received, reads ? request_class::read : request_class::write))
    {
        return refusal;
    }
    std::string const name = received.m_path.substr(std::string_view("/table/").size());
    std::lock_guard<std::mutex> const lock(state.m_mutex);
    decision::table_row const row = current_row(state.m_table, name);
    if (!reads)
    {
        return write_row(state, received, name, row.m_version);
    }
    if (row.m_version == 0)
    {
        return make_text(404, "no such row\n");
    }
    http::header const tag{"ETag", entity_tag(row.m_version)};
    if (!preconditions_hold(received, row.m_version))
    {
        bool const unchanged =
            !http::find_header(received.m_headers, "If-None-Match").empty();
        return http::response{unchanged ? 304 : 412, "text/plain", {tag}, {}};
    }
    return http::response{200, "application/octet-stream", {tag}, row.m_value};
}

/// Serves POST /writes/{id}:resolve.
optional_response serve_resolve(platform_state & state, http::request const & received)
{
    if (optional_response refusal = admit(state, received, request_class::write))
    {
        return refusal;
    }
    constexpr std::string_view prefix = "/writes/";
    constexpr std::string_view suffix = ":resolve";
    std::string_view const path = received.m_path;
    std::string_view const id =
        path.substr(prefix.size(), path.size() - prefix.size() - suffix.size());
    std::lock_guard<std::mutex> const lock(state.m_mutex);
    codec::table_rows rows;
    if (!resolve(state.m_table, id, runtime::read_boot_clock(), rows))
    {
        return make_text(404, "write not committed\n");
    }
    return make_json(codec::format_table_rows(rows));
}

optional_response serve_object(platform_state & state, http::request const & received)
{
    bool const writes = received.m_method == "PUT";
    if (optional_response refusal =
            admit(state, received, writes ? request_class::write : request_class::read))
    {
        return refusal;
    }
    std::string const name = received.m_path.substr(std::string_view("/objects/").size());
    std::lock_guard<std::mutex> const lock(state.m_mutex);
    if (writes)
    {
        state.m_objects[name] = received.m_body;
        return apply_response_loss(state, make_text(204, {}));
    }
    auto const found = state.m_objects.find(name);
    if (found == state.m_objects.end())
    {
        return make_text(404, "not found\n");
    }
    return http::response{200, "application/octet-stream", {}, found->second};
}

} // namespace cassiahub::standin::internal
