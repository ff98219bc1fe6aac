#include "standin/link_duties.hpp"
#include "standin/listener.hpp"
#include "standin/settings_json.hpp"

#include <cassiahub/runtime/stop_wait.hpp>
#include <cassiahub/runtime/supervisor.hpp>

#include <sys/eventfd.h>

namespace cassiahub::standin
{

namespace internal
{

namespace
{

using nlohmann::json;

constexpr std::size_t command_ring_size = 64;
constexpr duration reply_timeout = std::chrono::seconds(2);

constexpr member_rule<link_mode> rules[] = {
    {"state", "healed, closed or held",
     [](json const & value, link_mode & record)
     {
         for (link_state const state :
              {link_state::healed, link_state::closed, link_state::held})
         {
             if (value == to_string(state))
             {
                 record.m_state = state;
                 return true;
             }
         }
         return false;
     }},
    {"delay_ms", "whole milliseconds, 0 to 600000",
     [](json const & value, link_mode & record)
     {
         return read_milliseconds(value, record.m_delay);
     }},
};

http::response format_statuses(std::vector<link_status> const & statuses)
{
    json list = json::array();
    for (link_status const & status : statuses)
    {
        list.push_back({{"from", status.m_spec.m_from},
                        {"to", status.m_spec.m_to},
                        {"listen", status.m_spec.m_listen},
                        {"target", status.m_spec.m_target},
                        {"state", to_string(status.m_mode.m_state)},
                        {"delay_ms", to_milliseconds(status.m_mode.m_delay)},
                        {"accepted", status.m_accepted},
                        {"open", status.m_open},
                        {"forwarded_bytes", status.m_forwarded_bytes}});
    }
    return make_json(json({{"links", std::move(list)}}).dump());
}

optional_response serve_link_control(link_context & context,
                                     http::request const & received)
{
    if (received.m_path != "/links")
    {
        return make_text(404, "not found\n");
    }
    link_command command;
    command.m_sets_mode = received.m_method == "PUT";
    std::string const from = http::query_value(received.m_query, "from");
    std::string const to = http::query_value(received.m_query, "to");
    command.m_from = from.empty() ? "*" : from;
    command.m_to = to.empty() ? "*" : to;
    if (command.m_sets_mode)
    {
        std::string message = parse_link_mode(received.m_body, command.m_mode);
        if (!message.empty())
        {
            return make_text(400, std::move(message));
        }
    }
    auto const results = std::make_shared<status_ring>(1);
    command.m_reply = results;
    if (!context.m_commands.try_push(std::move(command)))
    {
        return make_text(503, "too many commands\n");
    }
    std::optional<std::vector<link_status>> const statuses = results->pop(reply_timeout);
    if (!statuses)
    {
        return make_text(504, "the relay did not answer\n");
    }
    return statuses->empty() ? make_text(404, "no such link\n")
                             : format_statuses(*statuses);
}

} // namespace

link_context::link_context(link_options const & options)
    : m_options(options), m_wake(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)),
      m_commands(command_ring_size, m_wake.get())
{
}

std::error_code run_link_control(link_context & context, std::stop_token const & stop)
{
    constexpr std::uint32_t threads = 4;
    std::error_code error;
    listener const server = start_listener(
        context.m_options.m_control_address, threads,
        [&context](http::request const & received)
        { return serve_link_control(context, received); },
        error);
    if (error)
    {
        return error;
    }
    runtime::wait_for_stop(stop);
    return {};
}

} // namespace internal

bool parse_link_spec(std::string_view text, link_spec & spec)
{
    std::string * const parts[] = {&spec.m_from, &spec.m_to, &spec.m_listen,
                                   &spec.m_target};
    std::size_t count = 0;
    for (std::string * const part : parts)
    {
        std::size_t const comma = text.find(',');
        *part = text.substr(0, comma);
        text.remove_prefix(comma == std::string_view::npos ? text.size() : comma + 1);
        count += part->empty() ? 0 : 1;
    }
    return count == std::size(parts) && text.empty();
}

std::string parse_link_mode(std::string_view body, link_mode & mode)
{
    link_mode parsed;
    std::string message =
        internal::read_settings<link_mode>(body, internal::rules, parsed);
    if (message.empty())
    {
        mode = parsed;
    }
    return message;
}

std::string_view to_string(link_state state) noexcept
{
    switch (state)
    {
    case link_state::healed:
        return "healed";
    case link_state::closed:
        return "closed";
    case link_state::held:
        break;
    }
    return "held";
}

bool matches(std::string_view pattern, std::string_view name) noexcept
{
    return pattern.ends_with('*')
               ? name.starts_with(pattern.substr(0, pattern.size() - 1))
               : name == pattern;
}

std::error_code run_links(link_options const & options, std::stop_token const & stop)
{
    internal::link_context context(options);
    runtime::supervisor_spec tree;
    tree.m_name = "links";
    tree.m_max_restarts = 0;
    tree.m_children = {{"relay",
                        [&context](std::stop_token const & token)
                        {
                            return internal::run_relay(context, token);
                        }},
                       {"control", [&context](std::stop_token const & token)
                        {
                            return internal::run_link_control(context, token);
                        }}};
    return runtime::supervise(tree, stop);
}

} // namespace cassiahub::standin
