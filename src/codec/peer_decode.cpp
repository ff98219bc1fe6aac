#include <cassiahub/codec/job_json.hpp>
#include <cassiahub/codec/peer_codec.hpp>
#include <cassiahub/core/error.hpp>

#include <kj/exception.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cassiahub::codec
{

namespace internal
{

namespace protocol = peer_protocol;

// Decoders of fields and nested structures. Each returns the first error found.

std::string to_string(capnp::Text::Reader source)
{
    return {source.begin(), source.size()};
}

std::string to_string(capnp::Data::Reader source)
{
    return {reinterpret_cast<char const *>(source.begin()), source.size()};
}

/// Decodes a name or key, which must satisfy is_valid_key().
/// \param may_be_empty true for fields that the sender need not set.
std::error_code decode_name(capnp::Text::Reader source, bool may_be_empty,
                            std::string & target)
{
    if (source.size() > max_key_length)
    {
        return peer_codec_errc::bad_name;
    }
    target = to_string(source);
    bool const allowed = (may_be_empty && target.empty()) || is_valid_key(target);
    return allowed ? std::error_code() : make_error_code(peer_codec_errc::bad_name);
}

/// Decodes a shard name. It is sent as a header field of a task request, so control
/// characters are rejected.
std::error_code decode_shard_name(capnp::Text::Reader source, std::string & target)
{
    target.assign(source.begin(), std::min(source.size(), max_key_length));
    bool const allowed = source.size() <= max_key_length &&
                         std::all_of(target.begin(), target.end(),
                                     [](char c) { return c > ' ' && c <= '~'; });
    return allowed ? std::error_code() : make_error_code(peer_codec_errc::bad_name);
}

std::error_code decode_duration(std::int64_t source, duration & target)
{
    target = duration(source);
    bool const allowed = target >= duration::zero() && target <= max_peer_duration;
    return allowed ? std::error_code() : make_error_code(peer_codec_errc::out_of_range);
}

std::error_code decode_time(std::int64_t source, time_point & target)
{
    target = time_point(duration(source));
    // The upper half of the range is rejected, so that sums with durations never
    // overflow.
    bool const allowed =
        source >= 0 && source <= std::numeric_limits<std::int64_t>::max() / 2;
    return allowed ? std::error_code() : make_error_code(peer_codec_errc::out_of_range);
}

/// \param last largest enumerator that a peer may send.
template <typename Enumerator>
std::error_code decode_enumerator(std::uint8_t source, Enumerator last,
                                  Enumerator & target)
{
    if (source > static_cast<std::uint8_t>(last))
    {
        return peer_codec_errc::bad_enumerator;
    }
    target = static_cast<Enumerator>(source);
    return {};
}

std::error_code check_count(std::size_t count, std::size_t limit)
{
    return count <= limit ? std::error_code()
                          : make_error_code(peer_codec_errc::too_many_items);
}

/// \returns the first element of \p errors that is an error, or no error.
std::error_code first_error(std::initializer_list<std::error_code> errors)
{
    auto const found =
        std::find_if(errors.begin(), errors.end(),
                     [](std::error_code error) { return static_cast<bool>(error); });
    return found == errors.end() ? std::error_code() : *found;
}

std::error_code decode(protocol::JobKey::Reader source, job_key & target)
{
    return first_error({decode_name(source.getTenant(), false, target.m_tenant),
                        decode_name(source.getHomeDomain(), true, target.m_home_domain),
                        decode_name(source.getKey(), false, target.m_key)});
}

attempt_id to_attempt_id(protocol::AttemptId::Reader source)
{
    return {source.getIncarnation(), source.getSerial()};
}

resources to_resources(protocol::Resources::Reader source)
{
    return {source.getMillicores(), source.getMemoryMib(), source.getAccelerators()};
}

/// Decodes the name of a service, a kind or a drained failure domain, which the
/// configuration and the operator may choose freely.
std::error_code decode_free_name(capnp::Text::Reader source, std::string & target)
{
    target.assign(source.begin(), std::min(source.size(), max_key_length));
    return source.size() <= max_key_length ? std::error_code()
                                           : make_error_code(peer_codec_errc::bad_name);
}

std::error_code decode(protocol::PeerLoad::Reader source, dispatch::peer_load & target)
{
    target.m_free_slots = source.getFreeSlots();
    target.m_queued_tasks = source.getQueuedTasks();
    target.m_largest_free = to_resources(source.getLargestFree());
    return decode_free_name(source.getService(), target.m_service);
}

std::error_code decode(protocol::JobSpec::Reader source, job_spec & target)
{
    auto const tasks = source.getTasks();
    std::error_code error =
        first_error({decode(source.getKey(), target.m_key),
                     decode_name(source.getKind(), true, target.m_kind),
                     decode_duration(source.getTimeLimitNs(), target.m_time_limit),
                     check_count(tasks.size(), max_tasks_per_job)});
    for (unsigned index = 0; !error && index < tasks.size(); ++index)
    {
        task_spec & task = target.m_tasks.emplace_back();
        task.m_payload = to_string(tasks[index].getPayload());
        task.m_demand = to_resources(tasks[index].getDemand());
        error = decode_duration(tasks[index].getDeclaredRunTimeNs(),
                                task.m_declared_run_time);
    }
    return error;
}

/// Decodes the number of a job_errc; 0 is no error. Unknown numbers, for example from a
/// newer peer, are rejected: job_category() has the same message for every number that is
/// no job_errc, for example -1.
std::error_code decode_job_error(std::int32_t source, std::error_code & target)
{
    target = source == 0 ? std::error_code() : std::error_code(source, job_category());
    bool const known =
        source == 0 || (source > 0 && target.message() != job_category().message(-1));
    return known ? std::error_code() : make_error_code(peer_codec_errc::bad_enumerator);
}

std::error_code decode(protocol::JobAnswer::Reader source, job_answer & target)
{
    auto const results = source.getResults();
    std::error_code const error =
        first_error({decode_job_error(source.getErrorCode(), target.m_error),
                     decode_enumerator(source.getRan(), run_state::unknown, target.m_ran),
                     decode_duration(source.getRetryAfterNs(), target.m_retry_after),
                     check_count(results.size(), max_tasks_per_job)});
    for (unsigned index = 0; !error && index < results.size(); ++index)
    {
        target.m_results.push_back(to_string(results[index]));
    }
    return error;
}

// Decoders of the messages.

std::error_code decode(protocol::ForwardRequest::Reader source,
                       decision::forward_request & target)
{
    target.m_request = source.getRequest();
    std::error_code const error = first_error(
        {decode_enumerator(source.getOperation(), decision::key_operation::cancel,
                           target.m_operation),
         decode(source.getSpec(), target.m_spec)});
    bool const is_submission = target.m_operation == decision::key_operation::submit;
    if (!error && is_submission && target.m_spec.m_tasks.empty())
    {
        return peer_codec_errc::malformed_structure;
    }
    return error;
}

std::error_code decode(protocol::RequestAnswered::Reader source,
                       decision::request_answered & target)
{
    target.m_request = source.getRequest();
    return decode(source.getAnswer(), target.m_answer);
}

std::error_code decode(protocol::ForwardTask::Reader source,
                       decision::forward_task & target)
{
    dispatch::attempt_start & start = target.m_start;
    start.m_attempt = to_attempt_id(source.getAttempt());
    start.m_task = source.getTask();
    start.m_generation = source.getGeneration();
    start.m_payload = to_string(source.getPayload());
    start.m_demand = to_resources(source.getDemand());
    start.m_token.m_epoch = source.getToken().getEpoch();
    if (start.m_task >= max_tasks_per_job)
    {
        return peer_codec_errc::out_of_range;
    }
    return first_error(
        {decode(source.getJob(), start.m_job),
         decode_name(source.getKind(), false, start.m_kind),
         decode_free_name(source.getService(), start.m_service),
         decode_shard_name(source.getToken().getShard(), start.m_token.m_shard),
         decode_time(source.getDeadlineNs(), start.m_deadline),
         decode_time(source.getSendBeforeNs(), start.m_send_before)});
}

std::error_code decode(protocol::TaskReported::Reader source,
                       decision::task_reported & target)
{
    target.m_result.m_attempt = to_attempt_id(source.getAttempt());
    target.m_result.m_payload = to_string(source.getPayload());
    target.m_result.m_lost_at_start = source.getLostAtStart();
    return decode_enumerator(source.getOutcome(), dispatch::attempt_outcome::unknown,
                             target.m_result.m_outcome);
}

/// Decodes the evidence about one pair. Sums that no instance can have are rejected.
/// \param kinds number of kinds in the summary.
std::error_code decode(protocol::PairEvidence::Reader source, std::size_t kinds,
                       interference::summary_pair & target)
{
    // Far above interference's limit of the weight and the clamped run times.
    constexpr float max_sum = 1e5F;

    target.m_kind = source.getKind();
    target.m_neighbour = source.getNeighbour();
    target.m_sums = {source.getWeight(), source.getExposure(), source.getEffect(),
                     source.getSquare(), source.getContrasts()};
    interference::pair_sums const & sums = target.m_sums;
    // Comparisons with NaN are false.
    bool const allowed =
        target.m_kind < kinds && target.m_neighbour < kinds && sums.m_weight >= 0 &&
        sums.m_weight <= max_sum && std::abs(sums.m_exposure) <= max_sum &&
        std::abs(sums.m_effect) <= max_sum && sums.m_square >= 0 &&
        sums.m_square <= max_sum && sums.m_contrasts >= 0 && sums.m_contrasts <= max_sum;
    return allowed ? decode_duration(source.getAgeNs(), target.m_age)
                   : make_error_code(peer_codec_errc::out_of_range);
}

std::error_code decode(protocol::InterferenceSummary::Reader source,
                       interference::summary & target)
{
    auto const kinds = source.getKinds();
    auto const pairs = source.getPairs();
    target.m_sequence = source.getSequence();
    std::error_code error =
        first_error({check_count(kinds.size(), interference::max_kinds),
                     check_count(pairs.size(), interference::max_summary_pairs)});
    for (unsigned index = 0; !error && index < kinds.size(); ++index)
    {
        error = decode_free_name(kinds[index], target.m_kinds.emplace_back());
    }
    for (unsigned index = 0; !error && index < pairs.size(); ++index)
    {
        error = decode(pairs[index], kinds.size(), target.m_pairs.emplace_back());
    }
    return error;
}

std::error_code decode(protocol::Heartbeat::Reader source, decision::heartbeat & target)
{
    // Longest "ip:port", with room for IPv6.
    constexpr std::size_t max_address_length = 64;

    auto const holdings = source.getHoldings();
    auto const other_loads = source.getOtherLoads();
    target.m_incarnation = source.getIncarnation();
    target.m_configuration_version = source.getConfigurationVersion();
    target.m_leaving = source.getLeaving();
    target.m_store_contact = source.getStoreContact();
    target.m_fleet_clock_ms = source.getFleetClockMs();
    target.m_selected = source.getSelected();
    target.m_requests_configuration = source.getRequestsConfiguration();
    if (target.m_fleet_clock_ms < 0 || target.m_fleet_clock_ms > max_peer_clock_ms)
    {
        return peer_codec_errc::out_of_range;
    }
    if (source.getTakesDrains())
    {
        target.m_drains_version = source.getDrainsVersion();
    }
    if (source.getPeerAddress().size() > max_address_length)
    {
        return peer_codec_errc::bad_name;
    }
    target.m_peer_address = to_string(source.getPeerAddress());
    auto const held = source.getHeldUpstreams();
    auto const draining = source.getDrainingUpstreams();
    std::error_code error =
        first_error({decode_name(source.getDomain(), false, target.m_domain),
                     decode_time(source.getSentAtNs(), target.m_sent_at),
                     check_count(holdings.size(), max_listed_items),
                     check_count(held.size(), max_listed_items),
                     check_count(draining.size(), max_listed_items),
                     check_count(other_loads.size(), max_listed_items)});
    if (!error && source.hasLoad())
    {
        error = decode(source.getLoad(), target.m_loads.emplace_back());
    }
    for (unsigned index = 0; !error && index < other_loads.size(); ++index)
    {
        error = decode(other_loads[index], target.m_loads.emplace_back());
    }
    for (unsigned index = 0; !error && index < holdings.size(); ++index)
    {
        target.m_holdings.push_back(
            {holdings[index].getShard(), holdings[index].getEpoch()});
    }
    for (unsigned index = 0; !error && index < held.size(); ++index)
    {
        error = decode_name(held[index], false, target.m_held_upstreams.emplace_back());
    }
    for (unsigned index = 0; !error && index < draining.size(); ++index)
    {
        dispatch::upstream_identity & upstream =
            target.m_draining_upstreams.emplace_back();
        upstream.m_incarnation = draining[index].getIncarnation();
        error = decode_name(draining[index].getName(), false, upstream.m_name);
    }
    if (!error && source.hasInterference())
    {
        target.m_interference.m_incarnation = target.m_incarnation;
        error = decode(source.getInterference(), target.m_interference);
    }
    return error;
}

std::error_code decode(protocol::KeyNotice::Reader source, decision::key_notice & target)
{
    auto const keys = source.getKeys();
    target.m_request = source.getRequest();
    target.m_shard = source.getShard();
    std::error_code error = check_count(keys.size(), max_listed_items);
    for (unsigned index = 0; !error && index < keys.size(); ++index)
    {
        error = decode(keys[index], target.m_keys.emplace_back());
    }
    return error;
}

std::error_code decode(protocol::ConfigurationNotice::Reader source,
                       decision::configuration_notice & target)
{
    target.m_version = source.getVersion();
    target.m_document = to_string(source.getDocument());
    return {};
}

std::error_code decode(protocol::DrainedDomainsNotice::Reader source,
                       decision::drained_domains_notice & target)
{
    auto const domains = source.getDomains();
    target.m_version = source.getVersion();
    std::error_code error = check_count(domains.size(), max_listed_items);
    for (unsigned index = 0; !error && index < domains.size(); ++index)
    {
        error = decode_free_name(domains[index], target.m_domains.emplace_back());
    }
    return error;
}

std::error_code decode(protocol::TaskIdentity::Reader source,
                       dispatch::task_identity & target)
{
    target.m_task = source.getTask();
    if (target.m_task >= max_tasks_per_job)
    {
        return peer_codec_errc::out_of_range;
    }
    return first_error({decode_name(source.getTenant(), false, target.m_tenant),
                        decode_name(source.getJob(), false, target.m_job)});
}

std::error_code decode(protocol::LossNotice::Reader source,
                       decision::loss_notice & target)
{
    dispatch::upstream_loss & loss = target.m_loss;
    auto const tasks = source.getTasks();
    loss.m_upstream.m_incarnation = source.getIncarnation();
    std::error_code error =
        first_error({decode_name(source.getUpstream(), false, loss.m_upstream.m_name),
                     decode_enumerator(source.getFate(),
                                       dispatch::upstream_fate::survived, loss.m_fate),
                     decode_duration(source.getAgeNs(), loss.m_age),
                     check_count(tasks.size(), max_listed_items)});
    for (unsigned index = 0; !error && index < tasks.size(); ++index)
    {
        error = decode(tasks[index], loss.m_tasks.emplace_back());
    }
    return error;
}

/// Decodes one alternative of the union and stores it in \p message when it is valid.
template <typename Alternative, typename Reader>
std::error_code decode_alternative(Reader source, decision::peer_message & message)
{
    Alternative decoded;
    std::error_code const error = decode(source, decoded);
    if (!error)
    {
        message = std::move(decoded);
    }
    return error;
}

std::error_code decode_union(protocol::Message::Reader source,
                             decision::peer_message & message)
{
    switch (source.which())
    {
    case protocol::Message::FORWARD_REQUEST:
        return decode_alternative<decision::forward_request>(source.getForwardRequest(),
                                                             message);
    case protocol::Message::REQUEST_ANSWERED:
        return decode_alternative<decision::request_answered>(source.getRequestAnswered(),
                                                              message);
    case protocol::Message::FORWARD_TASK:
        return decode_alternative<decision::forward_task>(source.getForwardTask(),
                                                          message);
    case protocol::Message::TASK_REPORTED:
        return decode_alternative<decision::task_reported>(source.getTaskReported(),
                                                           message);
    case protocol::Message::CANCEL_TASK:
        message = decision::cancel_task{to_attempt_id(source.getCancelTask())};
        return {};
    case protocol::Message::HEARTBEAT:
        return decode_alternative<decision::heartbeat>(source.getHeartbeat(), message);
    case protocol::Message::LOAD_REPORT:
        return decode(source.getLoadReport(),
                      message.emplace<decision::load_report>().m_load);
    case protocol::Message::KEY_NOTICE:
        return decode_alternative<decision::key_notice>(source.getKeyNotice(), message);
    case protocol::Message::KEY_NOTICE_RECEIVED:
        message = decision::key_notice_received{source.getKeyNoticeReceived()};
        return {};
    case protocol::Message::CONFIGURATION_REQUEST:
        message = decision::configuration_request{source.getConfigurationRequest()};
        return {};
    case protocol::Message::CONFIGURATION_NOTICE:
        return decode_alternative<decision::configuration_notice>(
            source.getConfigurationNotice(), message);
    case protocol::Message::CAPACITY_REQUEST:
        return decode_free_name(source.getCapacityRequest(),
                                message.emplace<decision::capacity_request>().m_service);
    case protocol::Message::LOSS_NOTICE:
        return decode_alternative<decision::loss_notice>(source.getLossNotice(), message);
    case protocol::Message::DRAINED_DOMAINS_NOTICE:
        return decode_alternative<decision::drained_domains_notice>(
            source.getDrainedDomainsNotice(), message);
    }
    return peer_codec_errc::unknown_message;
}

} // namespace internal

std::error_code decode_peer_message(peer_protocol::Message::Reader source,
                                    decision::peer_message & message)
{
    // Cap'n Proto validates a pointer when it is dereferenced, and throws an exception.
    try
    {
        return internal::decode_union(source, message);
    }
    catch (kj::Exception const &)
    {
        return peer_codec_errc::malformed_structure;
    }
}

} // namespace cassiahub::codec
