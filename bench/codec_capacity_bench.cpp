/// \file Memory, messages and processor time of one entry instance at several sizes;
/// docs/CAPACITY.md extrapolates from them. Prints a line "SERIES X VALUE" for each
/// point.
///
/// One instance runs in virtual time with simulated other instances and a simulated
/// store. The figures exclude sockets, HTTP and the calls of the RPC library.

#include <cassiahub/codec.hpp>
#include <cassiahub/codec/peer_codec.hpp>
#include <cassiahub/config.hpp>
#include <cassiahub/decision.hpp>
#include <cassiahub/dispatch.hpp>
#include <cassiahub/membership.hpp>
#include <cassiahub/ownership.hpp>

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <fmt/format.h>
#include <malloc.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <condition_variable>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <thread>
#include <variant>
#include <vector>

namespace cassiahub
{

namespace
{

using namespace std::chrono_literals;

constexpr std::string_view own_domain = "domain-00";
constexpr std::string_view own_name = "domain-00-entry-00";
constexpr duration tick_period = 20ms; ///< of the daemon's decision duty
constexpr duration store_latency = 3ms;
constexpr duration min_run_time = 50ms;
constexpr duration max_run_time = 150ms;
/// The instance owns its shards after one read of the leases and one claim; the rest is
/// margin.
constexpr duration warm_up = 4s;
constexpr duration measured_time = 10s;
constexpr std::size_t samples = 3;
/// At the end, the jobs of one second may still be unanswered. Jobs arrive at random, so
/// this many more than the mean are allowed.
constexpr std::size_t open_job_margin = 20;
constexpr std::size_t payload_bytes = 200;
constexpr std::size_t result_bytes = 64;
constexpr std::size_t design_upstreams_per_instance = 17;
/// Enough for every measured load to run without queueing.
constexpr std::uint32_t slots_per_upstream = 128;

/// \returns the processor time of the calling thread, in microseconds. One reading takes
/// about 0.3 us, which the measured times include.
double read_processor_time()
{
    std::timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) * 1e6 + static_cast<double>(now.tv_nsec) / 1e3;
}

/// \returns the bytes that the allocator has handed out, its own overhead included.
double read_heap_bytes()
{
    struct mallinfo2 const info = mallinfo2();
    return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

void print_point(std::string_view series, double x, double value)
{
    fmt::print("{} {} {}\n", series, x, value);
    std::fflush(stdout);
}

/// Sizes of the simulated environment of the instance.
struct environment
{
    std::size_t m_members = 30; ///< entry instances of the own domain, this one included
    std::size_t m_other_domains = 14; ///< number of failure domains besides the own one
    std::size_t m_shards = 60;        ///< of the own domain
    std::size_t m_jobs_per_second = 0;
    std::size_t m_tasks_per_job = 10;
};

std::shared_ptr<config::fleet_configuration>
make_configuration(std::size_t upstreams, std::size_t tenants, std::size_t shards)
{
    auto fleet = std::make_shared<config::fleet_configuration>();
    fleet->m_version = 1;
    config::failure_domain domain;
    domain.m_name = own_domain;
    domain.m_shards = static_cast<std::uint32_t>(shards);
    fleet->m_domains.push_back(domain);
    config::work_kind kind;
    kind.m_name = "kind";
    kind.m_queue_limit = 10'000'000;
    fleet->m_kinds.push_back(kind);
    for (std::size_t index = 0; index < tenants; ++index)
    {
        config::tenant tenant;
        tenant.m_name = fmt::format("tenant-{:04}", index);
        tenant.m_max_tasks = 10'000'000;
        fleet->m_tenants.push_back(tenant);
    }
    for (std::size_t index = 0; index < upstreams; ++index)
    {
        config::upstream upstream;
        upstream.m_name = fmt::format("upstream-{:05}", index);
        upstream.m_address = fmt::format("10.0.{}.{}:9000", index / 250, index % 250);
        upstream.m_domain = own_domain;
        upstream.m_slots = slots_per_upstream;
        upstream.m_capacity = {10'000'000, 10'000'000, 0};
        fleet->m_upstreams.push_back(upstream);
    }
    return fleet;
}

job_spec make_job(job_key key, std::size_t tasks)
{
    job_spec spec;
    spec.m_key = std::move(key);
    spec.m_kind = "kind";
    spec.m_time_limit = 10s;
    spec.m_tasks.resize(tasks);
    for (task_spec & task : spec.m_tasks)
    {
        task.m_payload.assign(payload_bytes, 'p');
        task.m_demand = {100, 64, 0};
    }
    return spec;
}

/// Another entry instance, which only sends heartbeats.
struct simulated_member
{
    instance_id m_id;
    decision::heartbeat m_heartbeat;
    time_point m_next_heartbeat; ///< time of the next heartbeat
    time_point m_adoption_time;  ///< of the changed configuration
};

/// Measurements since the end of the warm-up. The codec times cover encoding and
/// decoding.
struct measurements
{
    double m_decision_us = 0;
    double m_peer_codec_us = 0;
    double m_store_codec_us = 0;
    std::map<std::size_t, std::size_t> m_peer_messages; ///< by index in peer_message
    std::map<std::size_t, std::size_t> m_peer_bytes;    ///< by index in peer_message
    std::size_t m_received_bytes = 0;                   ///< of peer messages
    std::size_t m_store_writes = 0;
    std::size_t m_store_rows = 0;
    std::size_t m_store_write_bytes = 0;
    std::size_t m_store_reads = 0;
    std::size_t m_store_read_bytes = 0;
    std::size_t m_submitted = 0;
    std::size_t m_answers = 0;
    std::size_t m_failures = 0; ///< answers with an error
};

/// The measured instance and its environment.
struct simulation
{
    environment m_sizes;
    decision::entry_state m_state;
    random_source m_random{1}; ///< of the decisions and of the environment
    time_point m_now{1000s};
    std::vector<simulated_member> m_members;
    /// Answers of the store and results of attempts, by the time of their arrival.
    std::multimap<time_point, decision::event> m_due_events;
    std::map<std::string, decision::table_row> m_lease_rows; ///< by row name
    std::uint64_t m_commit = 1; ///< last row version of the store
    std::uint64_t m_next_job = 0;
    measurements m_measurements;
};

template <std::size_t Index>
using message_at = std::variant_alternative_t<Index, decision::peer_message>;

constexpr std::size_t heartbeat_index = 5;
constexpr std::size_t load_report_index = 6;
constexpr std::size_t configuration_notice_index = 9;
static_assert(std::is_same_v<message_at<heartbeat_index>, decision::heartbeat>);
static_assert(std::is_same_v<message_at<load_report_index>, decision::load_report>);
static_assert(std::is_same_v<message_at<configuration_notice_index>,
                             decision::configuration_notice>);

/// \returns the bytes of \p message with its segment table and root pointer.
kj::Array<capnp::word> encode(decision::peer_message const & message)
{
    capnp::MallocMessageBuilder builder;
    codec::encode_peer_message(message, builder.initRoot<peer_protocol::Message>());
    return capnp::messageToFlatArray(builder);
}

void perform(simulation &, dispatch::attempt_cancel &) {}
void perform(simulation &, decision::check_document &) {}
void perform(simulation &, decision::observe_job &) {}
void perform(simulation &, decision::log_event &) {}

void perform(simulation & run, dispatch::attempt_start & start)
{
    std::uniform_int_distribution<std::int64_t> run_time(min_run_time.count(),
                                                         max_run_time.count());
    run.m_due_events.emplace(
        run.m_now + duration(run_time(run.m_random)),
        decision::attempt_finished{{start.m_attempt, dispatch::attempt_outcome::succeeded,
                                    std::string(result_bytes, 'r'), false}});
}

void perform(simulation & run, decision::answer_caller & answer)
{
    ++run.m_measurements.m_answers;
    run.m_measurements.m_failures += answer.m_answer.m_error ? 1 : 0;
}

void perform(simulation & run, decision::send_peer & sent)
{
    double const begin = read_processor_time();
    std::size_t const bytes = encode(sent.m_message).asBytes().size();
    run.m_measurements.m_peer_codec_us += read_processor_time() - begin;
    run.m_measurements.m_peer_messages[sent.m_message.index()] += 1;
    run.m_measurements.m_peer_bytes[sent.m_message.index()] += bytes;
}

void perform(simulation & run, decision::write_store & write)
{
    double const begin = read_processor_time();
    std::string const body = codec::format_table_batch(write.m_write_id, write.m_rows);
    run.m_measurements.m_store_codec_us += read_processor_time() - begin;
    run.m_measurements.m_store_writes += 1;
    run.m_measurements.m_store_rows += write.m_rows.size();
    run.m_measurements.m_store_write_bytes += body.size();
    ++run.m_commit;
    decision::store_reply answer{write.m_request, decision::store_outcome::done, {}};
    for (decision::row_write const & row : write.m_rows)
    {
        answer.m_rows.push_back({row.m_name, run.m_commit, {}});
        if (row.m_value && row.m_name.starts_with(ownership::lease_prefix(own_domain)))
        {
            run.m_lease_rows[row.m_name] = {row.m_name, run.m_commit, *row.m_value};
        }
    }
    run.m_due_events.emplace(run.m_now + store_latency, std::move(answer));
}

void perform(simulation & run, decision::read_store & read)
{
    codec::table_rows rows;
    for (auto & [name, row] : run.m_lease_rows)
    {
        if (name.starts_with(read.m_prefix))
        {
            // The other holders have renewed their leases since the last read.
            ownership::lease_value lease;
            if (ownership::parse_lease(row.m_value, lease) &&
                lease.m_owner.m_value != own_name)
            {
                row.m_version = ++run.m_commit;
            }
            rows.m_rows.push_back(row);
        }
    }
    std::string const body = codec::format_table_rows(rows);
    double const begin = read_processor_time();
    codec::table_rows parsed;
    codec::parse_table_rows(body, parsed);
    run.m_measurements.m_store_codec_us += read_processor_time() - begin;
    run.m_measurements.m_store_reads += 1;
    run.m_measurements.m_store_read_bytes += body.size();
    run.m_due_events.emplace(run.m_now + store_latency,
                             decision::store_reply{read.m_request,
                                                   decision::store_outcome::done,
                                                   std::move(parsed.m_rows)});
}

/// Not reached: upstream leases are off, and the instance records its jobs.
void perform(simulation &, lease::upstream_call const &) {}

void step_instance(simulation & run, decision::event event)
{
    std::vector<decision::action> actions;
    double const begin = read_processor_time();
    decision::step(run.m_state, std::move(event), run.m_now, run.m_random, actions);
    run.m_measurements.m_decision_us += read_processor_time() - begin;
    for (decision::action & next : actions)
    {
        std::visit([&run](auto & action) { perform(run, action); }, next);
    }
}

simulated_member make_member(std::string_view domain, std::size_t index)
{
    simulated_member member;
    member.m_id.m_value = fmt::format("{}-entry-{:02}", domain, index);
    member.m_heartbeat.m_incarnation = index + 2;
    member.m_heartbeat.m_domain = domain;
    member.m_heartbeat.m_peer_address = fmt::format("10.1.0.{}:7000", index);
    member.m_heartbeat.m_configuration_version = 1;
    member.m_heartbeat.m_store_contact = true;
    return member;
}

/// Writes a lease for every shard that membership assigns to another member.
void assign_leases(simulation & run)
{
    std::vector<std::string> names{std::string(own_name)};
    for (simulated_member const & member : run.m_members)
    {
        if (member.m_heartbeat.m_domain == own_domain)
        {
            names.push_back(member.m_id.m_value);
        }
    }
    auto const shards = static_cast<std::uint32_t>(run.m_sizes.m_shards);
    std::vector<std::size_t> const owners = membership::assign_shards(names, shards);
    for (std::uint32_t shard = 0; shard < shards; ++shard)
    {
        if (owners[shard] == 0)
        {
            continue;
        }
        simulated_member & owner = run.m_members[owners[shard] - 1];
        owner.m_heartbeat.m_holdings.push_back({shard, 1});
        std::string const name = ownership::lease_row_name(own_domain, shard);
        run.m_lease_rows[name] = {
            name, ++run.m_commit,
            ownership::format_lease(
                {owner.m_id, owner.m_heartbeat.m_incarnation, 1, ownership::lease_time})};
    }
}

/// \returns the heartbeat period within a domain of \p members instances.
duration local_heartbeat_period(std::size_t members)
{
    duration const spread = duration(1s) * static_cast<std::int64_t>(members - 1) /
                            membership::domain_heartbeats_per_second;
    return std::clamp<duration>(spread, membership::domain_heartbeat_period,
                                membership::longest_domain_heartbeat_period);
}

simulation make_simulation(environment const & sizes, std::size_t upstreams)
{
    simulation run;
    run.m_sizes = sizes;
    run.m_state = decision::make_entry_state(
        {{std::string(own_name)}, std::string(own_domain), "10.1.0.1:7000", 1});
    for (std::size_t index = 1; index < sizes.m_members; ++index)
    {
        run.m_members.push_back(make_member(own_domain, index));
    }
    assign_leases(run);
    // Two members of each other domain send a heartbeat to this instance every second,
    // whatever the size of the domain.
    for (std::size_t domain = 1; domain <= sizes.m_other_domains; ++domain)
    {
        for (std::size_t index = 0; index < 2; ++index)
        {
            run.m_members.push_back(
                make_member(fmt::format("domain-{:02}", domain), index));
        }
    }
    for (simulated_member & member : run.m_members)
    {
        member.m_next_heartbeat =
            run.m_now + std::chrono::milliseconds(run.m_random() % 250);
    }
    step_instance(run, decision::configuration_changed{
                           make_configuration(upstreams, 1, sizes.m_shards), "document"});
    return run;
}

void receive_heartbeat(simulation & run, simulated_member & member)
{
    bool const local = member.m_heartbeat.m_domain == own_domain;
    member.m_next_heartbeat =
        run.m_now + (local ? local_heartbeat_period(run.m_sizes.m_members)
                           : membership::remote_heartbeat_period);
    member.m_heartbeat.m_sent_at = run.m_now;
    kj::Array<capnp::word> const words = encode(member.m_heartbeat);
    double const begin = read_processor_time();
    capnp::FlatArrayMessageReader reader(words);
    decision::peer_message message;
    codec::decode_peer_message(reader.getRoot<peer_protocol::Message>(), message);
    run.m_measurements.m_peer_codec_us += read_processor_time() - begin;
    run.m_measurements.m_received_bytes += words.asBytes().size();
    step_instance(run, decision::peer_message_received{member.m_id, std::move(message)});
}

/// Submits a job with a key of a shard that this instance serves.
void submit_job(simulation & run)
{
    auto const & shards = run.m_state.m_ownership.m_shards;
    job_key key{"tenant-0000", std::string(own_domain), {}};
    do
    {
        key.m_key = fmt::format("job-{:012}", run.m_next_job++);
    } while (shards[ownership::shard_of(key, shards.size())].m_phase !=
             ownership::shard_phase::serving);
    step_instance(
        run, decision::caller_request{run.m_next_job, decision::key_operation::submit,
                                      make_job(key, run.m_sizes.m_tasks_per_job)});
}

/// Processes the events, heartbeats and ticks that are due at the current millisecond.
void run_millisecond(simulation & run)
{
    while (!run.m_due_events.empty() && run.m_due_events.begin()->first <= run.m_now)
    {
        decision::event event = std::move(run.m_due_events.begin()->second);
        run.m_due_events.erase(run.m_due_events.begin());
        step_instance(run, std::move(event));
    }
    for (simulated_member & member : run.m_members)
    {
        if (member.m_next_heartbeat <= run.m_now)
        {
            receive_heartbeat(run, member);
        }
    }
    std::int64_t const millisecond = to_milliseconds(run.m_now.time_since_epoch());
    if (millisecond % to_milliseconds(tick_period) == 0)
    {
        step_instance(run, decision::tick{});
    }
}

/// Jobs arrive by a Poisson process: evenly spaced jobs would leave the number of free
/// slots constant, and no load report would be sent.
void run_for(simulation & run, duration length, std::size_t jobs_per_second)
{
    time_point const end = run.m_now + length;
    std::exponential_distribution<double> gap(std::max(1e-9, double(jobs_per_second)));
    auto const draw = [&run, &gap]
    {
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(gap(run.m_random)));
    };
    time_point next_job = jobs_per_second == 0 ? end : run.m_now + draw();
    for (; run.m_now < end; run.m_now += 1ms)
    {
        run_millisecond(run);
        for (; next_job <= run.m_now; next_job += draw())
        {
            submit_job(run);
            ++run.m_measurements.m_submitted;
        }
    }
}

/// Runs the warm-up without jobs and then measures.
measurements measure_single_run(environment const & sizes)
{
    // Rendezvous hashing assigns this instance about its share of the upstreams.
    simulation run =
        make_simulation(sizes, design_upstreams_per_instance * sizes.m_members);
    run_for(run, warm_up, 0);
    run.m_measurements = {};
    run_for(run, measured_time, sizes.m_jobs_per_second);
    // Jobs submitted within the last second may still be unanswered.
    if (run.m_measurements.m_answers + sizes.m_jobs_per_second + open_job_margin <
        run.m_measurements.m_submitted)
    {
        fmt::print(stderr, "only {} of {} jobs were answered\n",
                   run.m_measurements.m_answers, run.m_measurements.m_submitted);
        std::exit(1);
    }
    if (run.m_measurements.m_failures > 0 ||
        !decision::check_invariants(run.m_state).empty())
    {
        fmt::print(stderr, "{} answers with an error; if 0, an invariant is violated\n",
                   run.m_measurements.m_failures);
        std::exit(1);
    }
    return run.m_measurements;
}

/// \returns the minimum processor times of several runs, because other load on the
/// machine only adds to them. The counts of the runs are equal.
measurements measure(environment const & sizes)
{
    measurements minimum = measure_single_run(sizes);
    for (std::size_t sample = 1; sample < samples; ++sample)
    {
        measurements const other = measure_single_run(sizes);
        minimum.m_decision_us = std::min(minimum.m_decision_us, other.m_decision_us);
        minimum.m_peer_codec_us =
            std::min(minimum.m_peer_codec_us, other.m_peer_codec_us);
        minimum.m_store_codec_us =
            std::min(minimum.m_store_codec_us, other.m_store_codec_us);
    }
    return minimum;
}

double per_second(double total)
{
    return total / std::chrono::duration<double>(measured_time).count();
}

/// Prints the processor time, messages and bytes of one instance for each second.
void print_control_costs(std::string_view prefix, double x, measurements const & result)
{
    auto const print = [prefix, x](std::string_view name, double total)
    {
        print_point(fmt::format("{}.{}", prefix, name), x, per_second(total));
    };
    auto const bytes = [&result](std::size_t index)
    {
        auto const found = result.m_peer_bytes.find(index);
        return found == result.m_peer_bytes.end() ? 0.0 : double(found->second);
    };
    std::size_t messages = 0;
    for (auto const & [index, count] : result.m_peer_messages)
    {
        messages += count;
    }
    print("decision_us", result.m_decision_us);
    print("peer_codec_us", result.m_peer_codec_us);
    print("store_codec_us", result.m_store_codec_us);
    print("messages_out", double(messages));
    print("heartbeat_bytes_out", bytes(heartbeat_index));
    print("load_report_bytes_out", bytes(load_report_index));
    print("bytes_in", double(result.m_received_bytes));
    print("store_writes", double(result.m_store_writes));
    print("store_rows", double(result.m_store_rows));
    print("store_write_bytes", double(result.m_store_write_bytes));
    print("store_reads", double(result.m_store_reads));
    print("store_read_bytes", double(result.m_store_read_bytes));
}

void measure_control_costs()
{
    constexpr std::array<std::size_t, 5> members = {2, 4, 8, 16, 30};
    constexpr std::size_t jobs_per_second_when_loaded = 50;
    // Alone and idle, the instance only handles ticks and renews its leases.
    print_control_costs("alone", 1, measure({1, 0, 2, 0, 10}));
    for (std::size_t const count : members)
    {
        environment sizes{count, 0, 2 * count, 0, 10};
        print_control_costs("members_idle", double(count), measure(sizes));
        sizes.m_jobs_per_second = jobs_per_second_when_loaded;
        print_control_costs("members_loaded", double(count), measure(sizes));
    }
    for (std::size_t const domains : {0, 2, 5, 10, 14})
    {
        print_control_costs("other_domains", double(domains),
                            measure({8, domains, 16, 0, 10}));
    }
    for (std::size_t const shards : {30, 60, 120, 240})
    {
        print_control_costs("shards", double(shards), measure({30, 14, shards, 0, 10}));
    }
}

void measure_job_costs()
{
    for (std::size_t const jobs : {0, 2, 5, 10, 20, 50, 100, 150})
    {
        print_control_costs("jobs", double(jobs), measure({30, 14, 60, jobs, 10}));
    }
    for (std::size_t const tasks : {1, 10, 50, 100, 230})
    {
        print_control_costs("tasks_per_job", double(tasks),
                            measure({30, 14, 60, 20, tasks}));
    }
}

/// Sizes of the messages with which instances forward a job and return its answer.
void measure_work_messages()
{
    for (std::size_t const tasks : {1, 10, 50, 100, 230})
    {
        job_spec const spec = make_job({"tenant-0000", "domain-00", "job-1"}, tasks);
        job_answer answer;
        answer.m_results.assign(tasks, std::string(result_bytes, 'r'));
        double const bytes =
            double(encode(decision::forward_request{1, {}, spec}).asBytes().size()) +
            double(encode(decision::request_answered{1, answer}).asBytes().size());
        print_point("forwarded_job.bytes", double(tasks), bytes);
    }
}

/// Configuration notices that one instance sends after a change to the members that still
/// have the old version. Every member polls once a second at its own phase.
void measure_configuration_notices()
{
    constexpr std::size_t changes = 60;
    for (std::size_t const members : {2, 4, 8, 16, 30})
    {
        simulation run = make_simulation({members, 14, 2 * members, 0, 10},
                                         design_upstreams_per_instance);
        run_for(run, warm_up, 0);
        run.m_measurements = {};
        for (std::uint64_t version = 2; version < 2 + changes; ++version)
        {
            time_point const changed_at = run.m_now;
            for (simulated_member & member : run.m_members)
            {
                member.m_adoption_time =
                    changed_at + std::chrono::milliseconds(run.m_random() % 1000);
            }
            duration const own_poll_delay =
                std::chrono::milliseconds(run.m_random() % 1000);
            bool adopted = false;
            while (run.m_now < changed_at + 2s)
            {
                for (simulated_member & member : run.m_members)
                {
                    if (run.m_now >= member.m_adoption_time)
                    {
                        member.m_heartbeat.m_configuration_version = version;
                    }
                }
                if (!adopted && run.m_now >= changed_at + own_poll_delay)
                {
                    adopted = true;
                    auto fleet = make_configuration(design_upstreams_per_instance, 1,
                                                    run.m_sizes.m_shards);
                    fleet->m_version = version;
                    step_instance(run,
                                  decision::configuration_changed{fleet, "document"});
                }
                run_millisecond(run);
                run.m_now += 1ms;
            }
        }
        print_point(
            "notices_per_change.count", double(members),
            double(run.m_measurements.m_peer_messages[configuration_notice_index]) /
                changes);
    }
}

dispatch::dispatch_state make_dispatch(std::size_t owned, std::size_t known,
                                       std::size_t tenants)
{
    dispatch::dispatch_state state;
    auto fleet = make_configuration(known, tenants, 60);
    std::vector<std::string> names;
    for (std::size_t index = 0; index < owned; ++index)
    {
        names.push_back(fleet->m_upstreams[index].m_name);
    }
    dispatch::apply_configuration(state, std::move(fleet), {});
    dispatch::set_owned_upstreams(state, names);
    return state;
}

void measure_dispatch_memory()
{
    auto const bytes = [](std::size_t owned, std::size_t known, std::size_t tenants)
    {
        double const before = read_heap_bytes();
        dispatch::dispatch_state const state = make_dispatch(owned, known, tenants);
        return read_heap_bytes() - before;
    };
    for (std::size_t const count : {17, 50, 200, 500})
    {
        print_point("dispatch_memory.owned_upstreams", double(count),
                    bytes(count, 500, 1));
    }
    for (std::size_t const count : {50, 500, 2'000, 7'400})
    {
        print_point("dispatch_memory.known_upstreams", double(count),
                    bytes(17, count, 1));
    }
    for (std::size_t const count : {1, 50, 200, 670})
    {
        print_point("dispatch_memory.tenants", double(count), bytes(17, 17, count));
    }
}

void measure_queue_memory()
{
    constexpr std::size_t tasks_per_job = 10;
    dispatch::dispatch_state state = make_dispatch(1, 1, 1);
    dispatch::effects effects;
    random_source random{1};
    time_point const now{1000s};
    double const before = read_heap_bytes();
    std::size_t queued = 0;
    for (std::size_t const count : {1'000, 5'000, 20'000, 50'000})
    {
        for (; queued < count; queued += tasks_per_job)
        {
            job_spec spec = make_job({"tenant-0000", "domain-00", std::to_string(queued)},
                                     tasks_per_job);
            dispatch::enqueue_job(state, {std::move(spec), {}, now + 10s, now + 10s},
                                  now);
        }
        print_point("dispatch_memory.queued_tasks", double(queued),
                    read_heap_bytes() - before);
    }
}

/// Memory of finished jobs, with their answers, that are kept for resubmissions.
void measure_record_memory()
{
    for (std::size_t const tasks : {1, 10})
    {
        environment const sizes{2, 0, 4, 1'000, tasks};
        simulation run = make_simulation(sizes, design_upstreams_per_instance);
        run_for(run, warm_up, 0);
        run.m_measurements = {};
        double const before = read_heap_bytes();
        for (std::size_t part = 0; part < 5; ++part)
        {
            run_for(run, 2s, sizes.m_jobs_per_second);
            run_for(run, 1s, 0);
            print_point(fmt::format("record_memory.jobs_of_{}_tasks", tasks),
                        double(run.m_measurements.m_answers), read_heap_bytes() - before);
        }
    }
}

std::string make_fleet_document(std::size_t upstreams, std::size_t tenants)
{
    std::string text = "[team.platform]\nkey_hash = "
                       "sha256:5f1c0e7a92d34b68a1c7e0f3d5b29846:"
                       "12fde00eaf346540ab6aa574f2b6c09ce9c9973ab33c4aa1fb748a195182fcb6"
                       "\n\n[dispatch]\nmax_attempts = 3\n\n";
    for (std::size_t index = 0; index < 15; ++index)
    {
        text +=
            fmt::format("[domain.domain-{:02}]\nowner = platform\nregion = region-{}\n"
                        "shards = 60\n\n",
                        index, index % 4);
    }
    for (std::size_t index = 0; index < tenants; ++index)
    {
        text += fmt::format(
            "[team.team-{0:04}]\nkey_hash = sha256:5f1c0e7a92d34b68a1c7e0f3d5b29846:"
            "12fde00eaf346540ab6aa574f2b6c09ce9c9973ab33c4aa1fb748a195182fcb6\n\n"
            "[tenant.tenant-{0:04}]\nowner = team-{0:04}\nweight = 2\n\n",
            index);
    }
    for (std::size_t index = 0; index < 60; ++index)
    {
        text += fmt::format("[kind.kind-{:02}]\nowner = platform\nurgency = {}\n"
                            "share = 10\nrepeatable = yes\n\n",
                            index, index % 10);
    }
    for (std::size_t index = 0; index < upstreams; ++index)
    {
        text += fmt::format("[upstream.upstream-{:05}]\nowner = platform\n"
                            "address = 10.{}.{}.{}:9000\ndomain = domain-{:02}\n"
                            "rack = domain-{:02}-rack-{}\nslots = 8\nconnections = 64\n"
                            "millicores = 16000\nmemory_mib = 32768\n\n",
                            index, index / 62'500, index / 250 % 250, index % 250,
                            index % 15, index % 15, index / 120);
    }
    return text;
}

void measure_fleet_document()
{
    for (std::size_t const percent : {5, 10, 25, 50, 100})
    {
        std::size_t const upstreams = 7'400 * percent / 100;
        std::size_t const tenants = 670 * percent / 100;
        std::string const text = make_fleet_document(upstreams, tenants);
        auto const sections = double(upstreams + 2 * tenants + 60 + 15 + 2);
        double const heap_before = read_heap_bytes();
        double const begin = read_processor_time();
        std::vector<config::config_error> faults;
        auto parsed = config::parse_fleet_document(text, faults);
        double const parse_us = read_processor_time() - begin;
        if (!parsed)
        {
            fmt::print(stderr, "fault in the generated document at line {}\n",
                       faults.front().m_line);
            std::exit(1);
        }
        print_point("document.bytes", sections, double(text.size()));
        print_point("document.parse_us", sections, parse_us);
        print_point("document.memory", sections, read_heap_bytes() - heap_before);
        simulation run = make_simulation({30, 14, 60, 0, 10}, 17);
        run_for(run, warm_up, 0);
        // The first change installs a fleet of this size; the second shows the cost of a
        // change at this size.
        for (std::uint64_t version = 2; version < 4; ++version)
        {
            auto fleet = std::make_shared<config::fleet_configuration>(*parsed);
            fleet->m_version = version;
            run.m_measurements = {};
            step_instance(run, decision::configuration_changed{std::move(fleet), text});
        }
        print_point("document.apply_us", sections, run.m_measurements.m_decision_us);
    }
}

/// Bodies that the platform returns to polls for rows and for the list of instances.
void measure_poll_bodies()
{
    codec::table_rows rows;
    print_point("poll.unchanged_bytes", 1, double(codec::format_table_rows(rows).size()));
    rows.m_sequence = 1'000'000;
    rows.m_rows.push_back({"config/version", 1'000'000, "1000000"});
    rows.m_rows.push_back(
        {"config/section/upstream.upstream-00001", 1'000'000,
         "[upstream.upstream-00001]\nowner = platform\naddress = 10.0.0.1:9000\n"
         "domain = domain-01\nrack = domain-01-rack-0\nslots = 8\nconnections = 64\n"
         "millicores = 16000\nmemory_mib = 32768\n"});
    print_point("poll.change_bytes", 1, double(codec::format_table_rows(rows).size()));
    for (std::size_t const count : {50, 500, 2'000, 7'850})
    {
        decision::instances_listed listed;
        for (std::size_t index = 0; index < count; ++index)
        {
            // One instance in 18 is an entry instance, as at the design size.
            bool const is_entry = index % (design_upstreams_per_instance + 1) == 0;
            listed.m_instances.push_back(
                {fmt::format("instance-{:05}", index),
                 fmt::format("domain-{:02}", index % 15),
                 fmt::format("10.0.{}.{}:9000", index / 250, index % 250), is_entry,
                 false});
        }
        std::string const body = codec::format_instances(listed.m_instances);
        simulation run = make_simulation({30, 14, 60, 0, 10}, 17);
        run_for(run, warm_up, 0);
        run.m_measurements = {};
        double const heap_before = read_heap_bytes();
        double const begin = read_processor_time();
        decision::instances_listed parsed;
        codec::parse_instances(body, parsed.m_instances);
        double const parse_us = read_processor_time() - begin;
        step_instance(run, std::move(parsed));
        print_point("instance_list.memory", double(count),
                    read_heap_bytes() - heap_before);
        print_point("instance_list.bytes", double(count), double(body.size()));
        print_point("instance_list.us", double(count),
                    parse_us + run.m_measurements.m_decision_us);
    }
}

double read_resident_bytes()
{
    std::ifstream file("/proc/self/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * double(sysconf(_SC_PAGESIZE));
}

/// Resident memory of blocked threads. The stack pages that an HTTP call of the daemon
/// touches are not included.
void measure_thread_memory()
{
    std::mutex mutex;
    std::condition_variable released;
    bool stop = false;
    std::vector<std::thread> threads;
    double const before = read_resident_bytes();
    for (std::size_t const count : {16, 32, 64, 128, 256})
    {
        while (threads.size() < count)
        {
            threads.emplace_back(
                [&mutex, &released, &stop]
                {
                    std::unique_lock<std::mutex> lock(mutex);
                    released.wait(lock, [&stop] { return stop; });
                });
        }
        std::this_thread::sleep_for(100ms);
        print_point("thread_memory.waiting", double(count),
                    read_resident_bytes() - before);
    }
    {
        std::lock_guard<std::mutex> const lock(mutex);
        stop = true;
    }
    released.notify_all();
    for (std::thread & thread : threads)
    {
        thread.join();
    }
}

} // namespace

} // namespace cassiahub

int main()
{
    // Memory is measured first, while the heap is small and has little free space.
    cassiahub::measure_thread_memory();
    cassiahub::measure_dispatch_memory();
    cassiahub::measure_queue_memory();
    cassiahub::measure_record_memory();
    cassiahub::measure_control_costs();
    cassiahub::measure_job_costs();
    cassiahub::measure_work_messages();
    cassiahub::measure_configuration_notices();
    cassiahub::measure_fleet_document();
    cassiahub::measure_poll_bodies();
    return 0;
}
