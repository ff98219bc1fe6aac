#include <cassiahub/http.hpp>
#include <cassiahub/standin/platform_server.hpp>
#include <cassiahub/standin/table.hpp>

#include <charconv>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>

namespace cassiahub::standin
{

namespace internal
{

/// Everything that the platform keeps.
struct platform_state
{
    platform_options const & m_options;
    std::mutex m_mutex;
    table m_table;
    std::map<std::string, std::string, std::less<>> m_objects;
    std::map<std::string, decision::listed_instance, std::less<>> m_instances;
};

std::uint64_t to_number(std::string_view text) noexcept
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

http::response serve_batch(platform_state & state, http::request const & received)
{
    codec::table_batch batch;
    if (!codec::parse_table_batch(received.m_body, batch))
    {
        return {400, "text/plain", {}, "malformed batch\n"};
    }
    std::this_thread::sleep_for(state.m_options.m_write_delay);
    std::lock_guard<std::mutex> const lock(state.m_mutex);
    codec::table_rows rows;
    switch (commit(state.m_table, batch, rows))
    {
    case batch_outcome::committed:
        return {200, "application/json", {}, codec::format_table_rows(rows)};
    case batch_outcome::conflict:
        return {412, "application/json", {}, codec::format_table_rows(rows)};
    case batch_outcome::refused:
        break;
    }
    return {409, "text/plain", {}, "write identifier was resolved before\n"};
}

http::response serve_table_read(platform_state & state, http::request const & received)
{
    std::string const prefix = http::query_value(received.m_query, "prefix");
    std::uint64_t const after = to_number(http::query_value(received.m_query, "after"));
    std::lock_guard<std::mutex> const lock(state.m_mutex);
    return {200,
            "application/json",
            {},
            codec::format_table_rows(read(state.m_table, prefix, after))};
}

/// Serves POST /writes/{id}:resolve.
http::response serve_resolve(platform_state & state, std::string_view path)
{
    constexpr std::string_view prefix = "/writes/";
    constexpr std::string_view suffix = ":resolve";
    std::string_view const id =
        path.substr(prefix.size(), path.size() - prefix.size() - suffix.size());
    std::lock_guard<std::mutex> const lock(state.m_mutex);
    codec::table_rows rows;
    if (!resolve(state.m_table, id, rows))
    {
        return {404, "text/plain", {}, "write not committed\n"};
    }
    return {200, "application/json", {}, codec::format_table_rows(rows)};
}

http::response serve_object(platform_state & state, http::request const & received)
{
    std::string const name = received.m_path.substr(std::string_view("/objects/").size());
    std::lock_guard<std::mutex> const lock(state.m_mutex);
    if (received.m_method == "PUT")
    {
        state.m_objects[name] = received.m_body;
        return {204, "text/plain", {}, ""};
    }
    auto const found = state.m_objects.find(name);
    if (found == state.m_objects.end())
    {
        return {404, "text/plain", {}, "not found\n"};
    }
    return {200, "application/octet-stream", {}, found->second};
}

http::response serve_instances(platform_state & state, http::request const & received)
{
    std::lock_guard<std::mutex> const lock(state.m_mutex);
    if (received.m_method == "PUT")
    {
        std::vector<decision::listed_instance> listed;
        if (!codec::parse_instances(received.m_body, listed))
        {
            return {400, "text/plain", {}, "malformed instance list\n"};
        }
        state.m_instances.clear();
        for (decision::listed_instance & instance : listed)
        {
            std::string name = instance.m_name;
            state.m_instances.insert_or_assign(std::move(name), std::move(instance));
        }
        return {204, "text/plain", {}, ""};
    }
    std::vector<decision::listed_instance> all;
    for (auto const & [name, instance] : state.m_instances)
    {
        all.push_back(instance);
    }
    return {200, "application/json", {}, codec::format_instances(all)};
}

http::response serve_platform(platform_state & state, http::request const & received)
{
    if (received.m_path == "/table:batch" && received.m_method == "POST")
    {
        return serve_batch(state, received);
    }
    if (received.m_path == "/table" && received.m_method == "GET")
    {
        return serve_table_read(state, received);
    }
    if (received.m_path.starts_with("/writes/") && received.m_path.ends_with(":resolve"))
    {
        return serve_resolve(state, received.m_path);
    }
    if (received.m_path.starts_with("/objects/"))
    {
        return serve_object(state, received);
    }
    if (received.m_path == "/instances")
    {
        return serve_instances(state, received);
    }
    return {404, "text/plain", {}, "not found\n"};
}

} // namespace internal

std::error_code run_platform(platform_options const & options,
                             std::stop_token const & stop)
{
    internal::platform_state state{options, {}, {}, {}, {}};
    http::server_options server_options;
    server_options.m_address = options.m_address;
    server_options.m_threads = 64;
    std::error_code error;
    http::server const server = http::start_server(
        server_options,
        [&state](http::request const & received)
        { return internal::serve_platform(state, received); },
        error);
    if (error)
    {
        return error;
    }
    std::mutex mutex;
    std::condition_variable_any stopped;
    std::unique_lock<std::mutex> lock(mutex);
    stopped.wait(lock, stop, [] { return false; });
    return {};
}

} // namespace cassiahub::standin
