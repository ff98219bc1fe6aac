#ifndef CASSIAHUB_TESTS_DECISION_SERVICE_FIXTURE_HPP
#define CASSIAHUB_TESTS_DECISION_SERVICE_FIXTURE_HPP

#include "decision_actions.hpp"

#include <cassiahub/decision.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cassiahub::decision
{

using namespace std::chrono_literals;

/// One instance whose configuration names two services; it simulates the upstreams and a
/// peer. Four upstreams are of the service "pool" ("up-0" to "up-3") and four of the
/// service "archive" ("up-4" to "up-7"). The kind "check" belongs to "pool" at first.
class service_fixture : public CppUnit::TestFixture
{
protected:
    static constexpr int slots = 8;

    entry_state m_state;
    random_source m_random{1};
    time_point m_now{5000s};
    std::vector<action> m_actions;
    caller_id m_next_caller = 1;
    std::vector<std::pair<std::string, std::string>> m_starts; ///< (upstream, task)
    std::set<int>
        m_southern; ///< upstreams in the domain "south"; the others are in "north"
    /// Start times that upstreams report and register; 0 for the others.
    std::map<std::string, std::uint64_t> m_reported_incarnations;
    std::map<std::string, std::uint64_t> m_registered_incarnations;
    std::set<std::string>
        m_moved; ///< upstreams registered in "archive" instead of "pool"

    void handle(event occurred)
    {
        step(m_state, std::move(occurred), m_now, m_random, m_actions);
        CPPUNIT_ASSERT(check_invariants(m_state).empty());
    }

    /// Advances the clock in steps of 20 ms; upstreams accept all calls.
    void advance_time(duration time)
    {
        for (duration passed{0}; passed < time; passed += 20ms)
        {
            m_now += 20ms;
            handle(tick{});
            answer_calls();
        }
    }

    void answer_calls()
    {
        for (lease::upstream_call const & call : take_calls<lease::start_call>(m_actions))
        {
            m_starts.emplace_back(
                call.m_upstream,
                std::get<lease::start_call>(call.m_body).m_run.m_task.m_job);
            accept(call);
        }
        for (lease::upstream_call const & call : take_calls<lease::renew_call>(m_actions))
        {
            accept(call);
        }
    }

    void accept(lease::upstream_call const & call)
    {
        lease::upstream_reply reply;
        reply.m_number = call.m_number;
        reply.m_upstream = call.m_upstream;
        reply.m_outcome = lease::call_outcome::accepted;
        reply.m_clock = to_milliseconds(m_now - time_point(4000s));
        if (std::holds_alternative<lease::renew_call>(call.m_body))
        {
            reply.m_incarnation = m_reported_incarnations[call.m_upstream];
        }
        handle(upstream_replied{std::move(reply)});
    }

    void configure(std::uint64_t version, std::string const & service_of_check)
    {
        auto result = std::make_shared<config::fleet_configuration>(
            *make_leased_configuration(version, service_of_check));
        config::work_kind archive = result->m_kinds.front();
        archive.m_name = "archive";
        archive.m_service = "archive";
        result->m_kinds.insert(result->m_kinds.begin(), archive);
        result->m_routes.push_back({"host", "/a/", "archive", "pool"});
        handle(configuration_changed{std::move(result), "document"});
    }

    void discover(int first, int last)
    {
        upstreams_discovered discovered;
        for (int index = first; index < last; ++index)
        {
            discovered_upstream upstream;
            upstream.m_definition.m_name = "up-" + std::to_string(index);
            upstream.m_definition.m_address = "10.0.0.1:" + std::to_string(index + 1);
            upstream.m_definition.m_domain =
                m_southern.contains(index) ? "south" : "north";
            bool const moved = m_moved.contains(upstream.m_definition.m_name);
            upstream.m_definition.m_service = index < 4 && !moved ? "pool" : "archive";
            upstream.m_incarnation =
                m_registered_incarnations[upstream.m_definition.m_name];
            discovered.m_upstreams.push_back(std::move(upstream));
        }
        handle(std::move(discovered));
        advance_time(400ms);
    }

    caller_id submit(std::string const & path, std::size_t tasks)
    {
        routed_request request;
        request.m_caller = m_next_caller++;
        request.m_host = "host";
        request.m_path = path + std::to_string(request.m_caller);
        request.m_spec.m_time_limit = 1500ms;
        request.m_spec.m_tasks.assign(tasks, {"payload", {1000, 64, 0}, 50ms});
        caller_id const caller = request.m_caller;
        handle(std::move(request));
        answer_calls();
        return caller;
    }

    std::set<std::string> used_upstreams() const
    {
        std::set<std::string> used;
        for (auto const & [upstream, job] : m_starts)
        {
            used.insert(upstream);
        }
        return used;
    }

    std::size_t forwarded_tasks()
    {
        auto const sent = take_actions<send_peer>(m_actions);
        return static_cast<std::size_t>(std::count_if(
            sent.begin(), sent.end(),
            [](send_peer const & item)
            { return std::holds_alternative<forward_task>(item.m_message); }));
    }

    void receive_heartbeat(std::vector<dispatch::peer_load> loads)
    {
        heartbeat message;
        message.m_incarnation = 9;
        message.m_domain = "north";
        message.m_peer_address = "peer:1";
        message.m_sent_at = m_now;
        message.m_loads = std::move(loads);
        handle(peer_message_received{{"peer"}, std::move(message)});
    }

public:
    void setUp() override
    {
        m_state = make_entry_state({{"self"}, "north", "self:1", 77, true});
        handle(instances_listed{});
        handle(fleet_clock_read{1'000'000});
        configure(1, "pool");
        discover(0, 8);
    }
};

} // namespace cassiahub::decision

#endif
