#include <cassiahub/codec/job_json.hpp>
#include <cassiahub/codec/peer_codec.hpp>
#include <cassiahub/core/error.hpp>

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cassiahub::codec
{

namespace internal
{

namespace protocol = peer_protocol;

// Encoders of fields and nested structures.

kj::StringPtr to_text(std::string const & value)
{
    return {value.c_str(), value.size()};
}

kj::ArrayPtr<kj::byte const> to_data(std::string_view value)
{
    return {reinterpret_cast<kj::byte const *>(value.data()), value.size()};
}

/// Converts a list size to the type of the Cap'n Proto builders. Unchecked: a size of
/// 2^32 or more is truncated.
unsigned narrow_size(std::size_t size)
{
    return static_cast<unsigned>(size);
}

std::int64_t to_nanoseconds(time_point value) noexcept
{
    return value.time_since_epoch().count();
}

void encode(job_key const & key, protocol::JobKey::Builder target)
{
    target.setTenant(to_text(key.m_tenant));
    target.setHomeDomain(to_text(key.m_home_domain));
    target.setKey(to_text(key.m_key));
}

void encode(attempt_id const & id, protocol::AttemptId::Builder target)
{
    target.setIncarnation(id.m_incarnation);
    target.setSerial(id.m_serial);
}

void encode(resources const & demand, protocol::Resources::Builder target)
{
    target.setMillicores(demand.m_millicores);
    target.setMemoryMib(demand.m_memory_mib);
    target.setAccelerators(demand.m_accelerators);
}

void encode(dispatch::peer_load const & load, protocol::PeerLoad::Builder target)
{
    target.setFreeSlots(load.m_free_slots);
    target.setQueuedTasks(load.m_queued_tasks);
    encode(load.m_largest_free, target.initLargestFree());
    target.setService(to_text(load.m_service));
}

void encode(job_spec const & spec, protocol::JobSpec::Builder target)
{
    encode(spec.m_key, target.initKey());
    target.setKind(to_text(spec.m_kind));
    target.setTimeLimitNs(spec.m_time_limit.count());
    auto tasks = target.initTasks(narrow_size(spec.m_tasks.size()));
    for (unsigned index = 0; index < tasks.size(); ++index)
    {
        task_spec const & task = spec.m_tasks[index];
        tasks[index].setPayload(to_data(task.m_payload));
        encode(task.m_demand, tasks[index].initDemand());
        tasks[index].setDeclaredRunTimeNs(task.m_declared_run_time.count());
    }
}

/// \returns the number of \p error in job_errc, or 0 for no error. Errors of other
/// categories become outcome_unknown.
std::int32_t to_wire_error(std::error_code error) noexcept
{
    if (error && error.category() != job_category())
    {
        return static_cast<std::int32_t>(job_errc::outcome_unknown);
    }
    return error.value();
}

void encode(job_answer const & answer, protocol::JobAnswer::Builder target)
{
    target.setErrorCode(to_wire_error(answer.m_error));
    target.setRan(static_cast<std::uint8_t>(answer.m_ran));
    target.setRetryAfterNs(answer.m_retry_after.count());
    auto results = target.initResults(narrow_size(answer.m_results.size()));
    for (unsigned index = 0; index < results.size(); ++index)
    {
        results.set(index, to_data(answer.m_results[index]));
    }
}

// Encoders of the messages.

void encode(decision::forward_request const & message, protocol::Message::Builder target)
{
    auto part = target.initForwardRequest();
    part.setRequest(message.m_request);
    part.setOperation(static_cast<std::uint8_t>(message.m_operation));
    encode(message.m_spec, part.initSpec());
}

void encode(decision::request_answered const & message, protocol::Message::Builder target)
{
    auto part = target.initRequestAnswered();
    part.setRequest(message.m_request);
    encode(message.m_answer, part.initAnswer());
}

void encode(decision::forward_task const & message, protocol::Message::Builder target)
{
    dispatch::attempt_start const & start = message.m_start;
    auto part = target.initForwardTask();
    encode(start.m_attempt, part.initAttempt());
    encode(start.m_job, part.initJob());
    part.setTask(start.m_task);
    part.setKind(to_text(start.m_kind));
    part.setPayload(to_data(start.m_payload));
    encode(start.m_demand, part.initDemand());
    auto token = part.initToken();
    token.setShard(to_text(start.m_token.m_shard));
    token.setEpoch(start.m_token.m_epoch);
    part.setDeadlineNs(to_nanoseconds(start.m_deadline));
    part.setSendBeforeNs(to_nanoseconds(start.m_send_before));
    part.setGeneration(start.m_generation);
    part.setService(to_text(start.m_service));
}

void encode(decision::task_reported const & message, protocol::Message::Builder target)
{
    auto part = target.initTaskReported();
    encode(message.m_result.m_attempt, part.initAttempt());
    part.setOutcome(static_cast<std::uint8_t>(message.m_result.m_outcome));
    part.setPayload(to_data(message.m_result.m_payload));
    part.setLostAtStart(message.m_result.m_lost_at_start);
}

void encode(decision::cancel_task const & message, protocol::Message::Builder target)
{
    encode(message.m_attempt, target.initCancelTask());
}

void encode(interference::summary const & evidence,
            protocol::InterferenceSummary::Builder target)
{
    target.setSequence(evidence.m_sequence);
    auto kinds = target.initKinds(narrow_size(evidence.m_kinds.size()));
    for (unsigned index = 0; index < kinds.size(); ++index)
    {
        kinds.set(index, to_text(evidence.m_kinds[index]));
    }
    auto pairs = target.initPairs(narrow_size(evidence.m_pairs.size()));
    for (unsigned index = 0; index < pairs.size(); ++index)
    {
        interference::summary_pair const & pair = evidence.m_pairs[index];
        pairs[index].setKind(pair.m_kind);
        pairs[index].setNeighbour(pair.m_neighbour);
        pairs[index].setWeight(pair.m_sums.m_weight);
        pairs[index].setExposure(pair.m_sums.m_exposure);
        pairs[index].setEffect(pair.m_sums.m_effect);
        pairs[index].setSquare(pair.m_sums.m_square);
        pairs[index].setContrasts(pair.m_sums.m_contrasts);
        pairs[index].setAgeNs(pair.m_age.count());
    }
}

void encode(decision::heartbeat const & message, protocol::Message::Builder target)
{
    auto part = target.initHeartbeat();
    part.setIncarnation(message.m_incarnation);
    part.setDomain(to_text(message.m_domain));
    part.setPeerAddress(to_text(message.m_peer_address));
    part.setSentAtNs(to_nanoseconds(message.m_sent_at));
    part.setConfigurationVersion(message.m_configuration_version);
    part.setLeaving(message.m_leaving);
    part.setStoreContact(message.m_store_contact);
    part.setTakesDrains(message.m_drains_version.has_value());
    part.setDrainsVersion(message.m_drains_version.value_or(0));
    auto holdings = part.initHoldings(narrow_size(message.m_holdings.size()));
    for (unsigned index = 0; index < holdings.size(); ++index)
    {
        holdings[index].setShard(message.m_holdings[index].m_shard);
        holdings[index].setEpoch(message.m_holdings[index].m_epoch);
    }
    if (!message.m_loads.empty())
    {
        encode(message.m_loads.front(), part.initLoad());
        auto others = part.initOtherLoads(narrow_size(message.m_loads.size() - 1));
        for (unsigned index = 0; index < others.size(); ++index)
        {
            encode(message.m_loads[index + 1], others[index]);
        }
    }
    auto held = part.initHeldUpstreams(narrow_size(message.m_held_upstreams.size()));
    for (unsigned index = 0; index < held.size(); ++index)
    {
        held.set(index, to_text(message.m_held_upstreams[index]));
    }
    part.setFleetClockMs(message.m_fleet_clock_ms);
    part.setSelected(message.m_selected);
    part.setRequestsConfiguration(message.m_requests_configuration);
    auto draining =
        part.initDrainingUpstreams(narrow_size(message.m_draining_upstreams.size()));
    for (unsigned index = 0; index < draining.size(); ++index)
    {
        draining[index].setName(to_text(message.m_draining_upstreams[index].m_name));
        draining[index].setIncarnation(message.m_draining_upstreams[index].m_incarnation);
    }
    if (!message.m_interference.m_pairs.empty())
    {
        encode(message.m_interference, part.initInterference());
    }
}

void encode(decision::load_report const & message, protocol::Message::Builder target)
{
    encode(message.m_load, target.initLoadReport());
}

void encode(decision::key_notice const & message, protocol::Message::Builder target)
{
    auto part = target.initKeyNotice();
    part.setRequest(message.m_request);
    part.setShard(message.m_shard);
    auto keys = part.initKeys(narrow_size(message.m_keys.size()));
    for (unsigned index = 0; index < keys.size(); ++index)
    {
        encode(message.m_keys[index], keys[index]);
    }
}

void encode(decision::key_notice_received const & message,
            protocol::Message::Builder target)
{
    target.setKeyNoticeReceived(message.m_request);
}

void encode(decision::configuration_request const & message,
            protocol::Message::Builder target)
{
    target.setConfigurationRequest(message.m_version);
}

void encode(decision::configuration_notice const & message,
            protocol::Message::Builder target)
{
    auto part = target.initConfigurationNotice();
    part.setVersion(message.m_version);
    part.setDocument(to_text(message.m_document));
}

void encode(decision::capacity_request const & message, protocol::Message::Builder target)
{
    target.setCapacityRequest(to_text(message.m_service));
}

void encode(decision::drained_domains_notice const & message,
            protocol::Message::Builder target)
{
    auto part = target.initDrainedDomainsNotice();
    part.setVersion(message.m_version);
    auto domains = part.initDomains(narrow_size(message.m_domains.size()));
    for (unsigned index = 0; index < domains.size(); ++index)
    {
        domains.set(index, to_text(message.m_domains[index]));
    }
}

void encode(decision::loss_notice const & message, protocol::Message::Builder target)
{
    dispatch::upstream_loss const & loss = message.m_loss;
    auto part = target.initLossNotice();
    part.setUpstream(to_text(loss.m_upstream.m_name));
    part.setIncarnation(loss.m_upstream.m_incarnation);
    part.setFate(static_cast<std::uint8_t>(loss.m_fate));
    part.setAgeNs(loss.m_age.count());
    auto tasks = part.initTasks(narrow_size(loss.m_tasks.size()));
    for (unsigned index = 0; index < tasks.size(); ++index)
    {
        tasks[index].setTenant(to_text(loss.m_tasks[index].m_tenant));
        tasks[index].setJob(to_text(loss.m_tasks[index].m_job));
        tasks[index].setTask(loss.m_tasks[index].m_task);
    }
}

} // namespace internal

void encode_peer_message(decision::peer_message const & message,
                         peer_protocol::Message::Builder target)
{
    std::visit([&target](auto const & alternative)
               { internal::encode(alternative, target); },
               message);
}

} // namespace cassiahub::codec
