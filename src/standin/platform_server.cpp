#include "standin/platform_state.hpp"

#include <cassiahub/runtime/boot_clock.hpp>
#include <cassiahub/runtime/stop_wait.hpp>

namespace cassiahub::standin
{

namespace internal
{

namespace
{

optional_response serve_platform(platform_state & state, http::request const & received)
{
    std::string_view const path = received.m_path;
    if (path == "/table:batch" && received.m_method == "POST")
    {
        return serve_batch(state, received);
    }
    if (path == "/table" && received.m_method == "GET")
    {
        return serve_rows(state, received);
    }
    if (path.starts_with("/table/"))
    {
        return serve_row(state, received);
    }
    if (path.starts_with("/writes/") && path.ends_with(":resolve"))
    {
        return serve_resolve(state, received);
    }
    if (path.starts_with("/objects/"))
    {
        return serve_object(state, received);
    }
    if (path == "/instances")
    {
        return serve_instances(state, received);
    }
    if (path.starts_with("/instances/"))
    {
        return serve_one_instance(state, received);
    }
    if (path == "/links")
    {
        return serve_links(state, received);
    }
    if (path == "/faults")
    {
        return serve_platform_faults(state, received);
    }
    if (path == "/stats")
    {
        return serve_platform_stats(state);
    }
    return make_text(404, "not found\n");
}

} // namespace

} // namespace internal

std::error_code run_platform(platform_options const & options,
                             std::stop_token const & stop)
{
    internal::platform_state state(options);
    state.m_instances.push_back({runtime::read_boot_clock(), {}});
    std::error_code error;
    internal::listener const server = internal::start_listener(
        options.m_address, options.m_threads,
        [&state](http::request const & received)
        { return internal::serve_platform(state, received); },
        error);
    if (error)
    {
        return error;
    }
    runtime::wait_for_stop(stop);
    return {};
}

} // namespace cassiahub::standin
