#include "standin/link_duties.hpp"

#include <cassiahub/runtime/boot_clock.hpp>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <list>

namespace cassiahub::standin::internal
{

namespace
{

/// A connection from a caller and the matching connection to the target.
struct relayed_connection
{
    descriptor m_caller;
    descriptor m_target;
    stream m_to_target;
    stream m_to_caller;
    bool m_connected = false; ///< the connect to the target has completed
    bool m_finished = false;  ///< both directions ended, or a socket failed
};

struct link
{
    link_spec m_spec;
    link_mode m_mode;
    descriptor m_listener;
    std::list<relayed_connection> m_connections;
    std::uint64_t m_accepted = 0;
    std::uint64_t m_forwarded_bytes = 0;
};

/// Sockets of one poll(2) call. next_events() returns their events in the order of the
/// add_socket() calls.
struct poll_round
{
    time_point m_now;
    std::vector<pollfd> m_sockets;
    time_point m_wake_at = time_point::max(); ///< when queued bytes may be sent
    std::size_t m_next = 0;                   ///< read position after the poll
};

void add_socket(poll_round & round, int socket, bool read, bool write)
{
    int const events = (read ? POLLIN : 0) | (write ? POLLOUT : 0);
    // poll(2) reports POLLHUP even for a socket without requested events, and ignores a
    // negative descriptor.
    round.m_sockets.push_back({events == 0 ? -1 : socket, static_cast<short>(events), 0});
}

short next_events(poll_round & round)
{
    return round.m_sockets[round.m_next++].revents;
}

void update_wake_time(poll_round & round, stream const & data)
{
    if (!data.m_queue.empty())
    {
        round.m_wake_at = std::min(round.m_wake_at, data.m_queue.front().m_send_at);
    }
}

void add_connection_sockets(poll_round & round, relayed_connection const & item)
{
    time_point const now = round.m_now;
    add_socket(round, item.m_caller.get(), wants_read(item.m_to_target),
               wants_write(item.m_to_caller, now));
    add_socket(round, item.m_target.get(),
               item.m_connected && wants_read(item.m_to_caller),
               !item.m_connected || wants_write(item.m_to_target, now));
    update_wake_time(round, item.m_to_caller);
    if (item.m_connected)
    {
        update_wake_time(round, item.m_to_target);
    }
}

void add_link_sockets(poll_round & round, link const & item)
{
    bool const is_held = item.m_mode.m_state == link_state::held;
    add_socket(round, item.m_listener.get(), !is_held, false);
    if (!is_held)
    {
        for (relayed_connection const & connection : item.m_connections)
        {
            add_connection_sockets(round, connection);
        }
    }
}

void accept_connection(link & owner)
{
    descriptor caller = accept_one(owner.m_listener);
    if (caller.get() < 0)
    {
        return;
    }
    ++owner.m_accepted;
    std::error_code error;
    descriptor target;
    if (owner.m_mode.m_state == link_state::healed)
    {
        target = begin_connect(owner.m_spec.m_target, error);
    }
    if (error || target.get() < 0)
    {
        reset_on_close(caller);
        return;
    }
    owner.m_connections.push_back({std::move(caller), std::move(target), {}, {}});
}

bool transfer(stream & data, descriptor const & source, descriptor const & destination,
              bool readable, time_point now, duration delay)
{
    if (readable && wants_read(data) && !read_from(data, source, now + delay))
    {
        return false;
    }
    // Writes without checking for POLLOUT: poll(2) was not asked to report it for bytes
    // that were read after the call or whose delay ended during it.
    return !wants_write(data, now) || write_to(data, destination, now);
}

void serve_connection(poll_round & round, link & owner, relayed_connection & item)
{
    short const caller = next_events(round);
    short const target = next_events(round);
    constexpr short readable = POLLIN | POLLHUP;
    if (((caller | target) & POLLERR) != 0)
    {
        item.m_finished = true;
        return;
    }
    item.m_connected = item.m_connected || (target & POLLOUT) != 0;
    duration const delay = owner.m_mode.m_delay;
    std::size_t const before =
        item.m_to_target.m_queued_bytes + item.m_to_caller.m_queued_bytes;
    bool succeeded = true;
    if (item.m_connected)
    {
        succeeded = transfer(item.m_to_target, item.m_caller, item.m_target,
                             (caller & readable) != 0, round.m_now, delay) &&
                    transfer(item.m_to_caller, item.m_target, item.m_caller,
                             (target & readable) != 0, round.m_now, delay);
    }
    else if ((caller & readable) != 0)
    {
        succeeded = read_from(item.m_to_target, item.m_caller, round.m_now + delay);
    }
    std::size_t const after =
        item.m_to_target.m_queued_bytes + item.m_to_caller.m_queued_bytes;
    owner.m_forwarded_bytes += before > after ? before - after : 0;
    item.m_finished = !succeeded || (item.m_to_target.m_shutdown_sent &&
                                     item.m_to_caller.m_shutdown_sent);
}

void serve_link(poll_round & round, link & owner)
{
    bool const has_pending_connection = (next_events(round) & POLLIN) != 0;
    if (owner.m_mode.m_state != link_state::held)
    {
        for (relayed_connection & connection : owner.m_connections)
        {
            serve_connection(round, owner, connection);
        }
        owner.m_connections.remove_if([](relayed_connection const & connection)
                                      { return connection.m_finished; });
    }
    if (has_pending_connection)
    {
        accept_connection(owner);
    }
}

void set_mode(link & target, link_mode const & mode)
{
    target.m_mode = mode;
    if (mode.m_state == link_state::closed)
    {
        for (relayed_connection const & connection : target.m_connections)
        {
            reset_on_close(connection.m_caller);
            reset_on_close(connection.m_target);
        }
        target.m_connections.clear();
    }
}

void execute(std::vector<link> & links, link_command const & command)
{
    std::vector<link_status> statuses;
    for (link & item : links)
    {
        if (matches(command.m_from, item.m_spec.m_from) &&
            matches(command.m_to, item.m_spec.m_to))
        {
            if (command.m_sets_mode)
            {
                set_mode(item, command.m_mode);
            }
            statuses.push_back({item.m_spec, item.m_mode, item.m_accepted,
                                item.m_connections.size(), item.m_forwarded_bytes});
        }
    }
    command.m_reply->try_push(std::move(statuses));
}

int poll_timeout(poll_round const & round)
{
    // Bounds the delay between a stop request and its detection.
    constexpr std::int64_t max_wait_ms = 100;
    if (round.m_wake_at == time_point::max())
    {
        return max_wait_ms;
    }
    std::int64_t const wait =
        std::chrono::ceil<std::chrono::milliseconds>(round.m_wake_at - round.m_now)
            .count();
    return static_cast<int>(std::clamp<std::int64_t>(wait, 0, max_wait_ms));
}

void run_round(link_context & context, std::vector<link> & links)
{
    poll_round round;
    round.m_now = runtime::read_boot_clock();
    add_socket(round, context.m_wake.get(), true, false);
    for (link const & item : links)
    {
        add_link_sockets(round, item);
    }
    ::poll(round.m_sockets.data(), round.m_sockets.size(), poll_timeout(round));
    round.m_now = runtime::read_boot_clock();
    bool const has_commands = next_events(round) != 0;
    for (link & item : links)
    {
        serve_link(round, item);
    }
    if (has_commands)
    {
        std::uint64_t count = 0;
        [[maybe_unused]] ssize_t const drained =
            ::read(context.m_wake.get(), &count, sizeof count);
        std::vector<link_command> commands;
        context.m_commands.pop_all(commands, duration::zero());
        for (link_command const & command : commands)
        {
            execute(links, command);
        }
    }
}

} // namespace

std::error_code run_relay(link_context & context, std::stop_token const & stop)
{
    std::vector<link> links;
    for (link_spec const & spec : context.m_options.m_links)
    {
        std::error_code error;
        link & added = links.emplace_back();
        added.m_spec = spec;
        added.m_listener = open_listener(spec.m_listen, error);
        if (error)
        {
            return error;
        }
    }
    while (!stop.stop_requested())
    {
        run_round(context, links);
    }
    return {};
}

} // namespace cassiahub::standin::internal
