#include <cassiahub/codec/job_json.hpp>
#include <cassiahub/codec/peer_codec.hpp>
#include <cassiahub/core/error.hpp>

#include <kj/exception.h>

#include <algorithm>
#include <limits>
#include <numeric>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cassiahub::codec
{

namespace internal
{

namespace protocol = peer_protocol;

class peer_codec_error_category final : public std::error_category
{
public:
    char const * name() const noexcept override
    {
        return "cassiahub.codec.peer";
    }

    std::string message(int value) const override
    {
        switch (static_cast<peer_codec_errc>(value))
        {
        case peer_codec_errc::malformed_structure:
            return "malformed_structure";
        case peer_codec_errc::unknown_message:
            return "unknown_message";
        case peer_codec_errc::bad_enumerator:
            return "bad_enumerator";
        case peer_codec_errc::bad_name:
            return "bad_name";
        case peer_codec_errc::out_of_range:
            return "out_of_range";
        case peer_codec_errc::too_many_items:
            return "too_many_items";
        }
        return "unknown_error";
    }
};

// Conversion of the parts to the wire form.

kj::StringPtr to_text(std::string const & value)
{
    return {value.c_str(), value.size()};
}

kj::ArrayPtr<kj::byte const> to_data(std::string_view value)
{
    return {reinterpret_cast<kj::byte const *>(value.data()), value.size()};
}

unsigned to_count(std::size_t size)
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
}

void encode(job_spec const & spec, protocol::JobSpec::Builder target)
{
    encode(spec.m_key, target.initKey());
    target.setKind(to_text(spec.m_kind));
    target.setTimeLimitNs(spec.m_time_limit.count());
    auto tasks = target.initTasks(to_count(spec.m_tasks.size()));
    for (unsigned index = 0; index < tasks.size(); ++index)
    {
        task_spec const & task = spec.m_tasks[index];
        tasks[index].setPayload(to_data(task.m_payload));
        encode(task.m_demand, tasks[index].initDemand());
        tasks[index].setDeclaredRunTimeNs(task.m_declared_run_time.count());
    }
}

std::int32_t wire_error(std::error_code error) noexcept
{
    if (error && error.category() != job_category())
    {
        return static_cast<std::int32_t>(job_errc::outcome_unknown);
    }
    return error.value();
}

void encode(job_answer const & answer, protocol::JobAnswer::Builder target)
{
    target.setErrorCode(wire_error(answer.m_error));
    target.setRan(static_cast<std::uint8_t>(answer.m_ran));
    target.setRetryAfterNs(answer.m_retry_after.count());
    auto results = target.initResults(to_count(answer.m_results.size()));
    for (unsigned index = 0; index < results.size(); ++index)
    {
        results.set(index, to_data(answer.m_results[index]));
    }
}

// Conversion of the messages to the wire form.

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
}

void encode(decision::task_reported const & message, protocol::Message::Builder target)
{
    auto part = target.initTaskReported();
    encode(message.m_result.m_attempt, part.initAttempt());
    part.setOutcome(static_cast<std::uint8_t>(message.m_result.m_outcome));
    part.setPayload(to_data(message.m_result.m_payload));
}

void encode(decision::cancel_task const & message, protocol::Message::Builder target)
{
    encode(message.m_attempt, target.initCancelTask());
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
    auto holdings = part.initHoldings(to_count(message.m_holdings.size()));
    for (unsigned index = 0; index < holdings.size(); ++index)
    {
        holdings[index].setShard(message.m_holdings[index].m_shard);
        holdings[index].setEpoch(message.m_holdings[index].m_epoch);
    }
    encode(message.m_load, part.initLoad());
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
    auto keys = part.initKeys(to_count(message.m_keys.size()));
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

void encode(decision::configuration_notice const & message,
            protocol::Message::Builder target)
{
    auto part = target.initConfigurationNotice();
    part.setVersion(message.m_version);
    part.setDocument(to_text(message.m_document));
}

// Checks of the parts. Each returns the first fault found.

std::string to_string(capnp::Text::Reader source)
{
    return {source.begin(), source.size()};
}

std::string to_string(capnp::Data::Reader source)
{
    return {reinterpret_cast<char const *>(source.begin()), source.size()};
}

/// Names and keys follow the caller's rule for keys. \p may_be_empty is for what the
/// sender may leave to the receiver.
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

/// A shard name ends up in a header of a task request, so control characters are refused.
std::error_code decode_label(capnp::Text::Reader source, std::string & target)
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
    bool const allowed = target >= duration::zero() && target <= max_forwarded_time_limit;
    return allowed ? std::error_code() : make_error_code(peer_codec_errc::out_of_range);
}

std::error_code decode_time(std::int64_t source, time_point & target)
{
    target = time_point(duration(source));
    // The upper half of the range is refused, so that sums with durations never overflow.
    bool const allowed =
        source >= 0 && source <= std::numeric_limits<std::int64_t>::max() / 2;
    return allowed ? std::error_code() : make_error_code(peer_codec_errc::out_of_range);
}

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

/// \returns the first error among \p errors.
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

dispatch::peer_load to_peer_load(protocol::PeerLoad::Reader source)
{
    return {source.getFreeSlots(), source.getQueuedTasks(),
            to_resources(source.getLargestFree())};
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

/// A number that this version does not know, for example from a newer peer, is refused.
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

// Checks of the messages.

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
    start.m_payload = to_string(source.getPayload());
    start.m_demand = to_resources(source.getDemand());
    start.m_token.m_epoch = source.getToken().getEpoch();
    if (start.m_task >= max_tasks_per_job)
    {
        return peer_codec_errc::out_of_range;
    }
    return first_error({decode(source.getJob(), start.m_job),
                        decode_name(source.getKind(), false, start.m_kind),
                        decode_label(source.getToken().getShard(), start.m_token.m_shard),
                        decode_time(source.getDeadlineNs(), start.m_deadline),
                        decode_time(source.getSendBeforeNs(), start.m_send_before)});
}

std::error_code decode(protocol::TaskReported::Reader source,
                       decision::task_reported & target)
{
    target.m_result.m_attempt = to_attempt_id(source.getAttempt());
    target.m_result.m_payload = to_string(source.getPayload());
    return decode_enumerator(source.getOutcome(), dispatch::attempt_outcome::unknown,
                             target.m_result.m_outcome);
}

std::error_code decode(protocol::Heartbeat::Reader source, decision::heartbeat & target)
{
    // Longest "ip:port", with room for IPv6.
    constexpr std::size_t max_address_length = 64;

    auto const holdings = source.getHoldings();
    target.m_incarnation = source.getIncarnation();
    target.m_configuration_version = source.getConfigurationVersion();
    target.m_leaving = source.getLeaving();
    target.m_store_contact = source.getStoreContact();
    target.m_load = to_peer_load(source.getLoad());
    if (source.getPeerAddress().size() > max_address_length)
    {
        return peer_codec_errc::bad_name;
    }
    target.m_peer_address = to_string(source.getPeerAddress());
    std::error_code const error =
        first_error({decode_name(source.getDomain(), false, target.m_domain),
                     decode_time(source.getSentAtNs(), target.m_sent_at),
                     check_count(holdings.size(), max_listed_items)});
    for (unsigned index = 0; !error && index < holdings.size(); ++index)
    {
        target.m_holdings.push_back(
            {holdings[index].getShard(), holdings[index].getEpoch()});
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

/// Decodes one alternative and stores it in \p message when it is sound.
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
        message = decision::load_report{to_peer_load(source.getLoadReport())};
        return {};
    case protocol::Message::KEY_NOTICE:
        return decode_alternative<decision::key_notice>(source.getKeyNotice(), message);
    case protocol::Message::KEY_NOTICE_RECEIVED:
        message = decision::key_notice_received{source.getKeyNoticeReceived()};
        return {};
    case protocol::Message::CONFIGURATION_NOTICE:
        return decode_alternative<decision::configuration_notice>(
            source.getConfigurationNotice(), message);
    }
    return peer_codec_errc::unknown_message;
}

// Sizes for queue limits.

/// Encoded size of the fixed part of a message, about.
constexpr std::size_t fixed_size = 128;

std::size_t variable_size(job_key const & key) noexcept
{
    return key.m_tenant.size() + key.m_home_domain.size() + key.m_key.size() + 32;
}

std::size_t variable_size(decision::forward_request const & message) noexcept
{
    return std::accumulate(message.m_spec.m_tasks.begin(), message.m_spec.m_tasks.end(),
                           variable_size(message.m_spec.m_key),
                           [](std::size_t sum, task_spec const & task)
                           { return sum + task.m_payload.size() + 48; });
}

std::size_t variable_size(decision::request_answered const & message) noexcept
{
    return std::accumulate(message.m_answer.m_results.begin(),
                           message.m_answer.m_results.end(), std::size_t(0),
                           [](std::size_t sum, std::string const & result)
                           { return sum + result.size() + 16; });
}

std::size_t variable_size(decision::forward_task const & message) noexcept
{
    return variable_size(message.m_start.m_job) + message.m_start.m_payload.size();
}

std::size_t variable_size(decision::task_reported const & message) noexcept
{
    return message.m_result.m_payload.size();
}

std::size_t variable_size(decision::heartbeat const & message) noexcept
{
    return message.m_holdings.size() * 16;
}

std::size_t variable_size(decision::key_notice const & message) noexcept
{
    return std::accumulate(message.m_keys.begin(), message.m_keys.end(), std::size_t(0),
                           [](std::size_t sum, job_key const & key)
                           { return sum + variable_size(key); });
}

std::size_t variable_size(decision::configuration_notice const & message) noexcept
{
    return message.m_document.size();
}

template <typename Other>
std::size_t variable_size(Other const &) noexcept
{
    return 0;
}

} // namespace internal

std::error_category const & peer_codec_category() noexcept
{
    static internal::peer_codec_error_category const category;
    return category;
}

std::error_code make_error_code(peer_codec_errc value) noexcept
{
    return {static_cast<int>(value), peer_codec_category()};
}

void encode_peer_message(decision::peer_message const & message,
                         peer_protocol::Message::Builder target)
{
    std::visit([&target](auto const & alternative)
               { internal::encode(alternative, target); },
               message);
}

std::error_code decode_peer_message(peer_protocol::Message::Reader source,
                                    decision::peer_message & message)
{
    // Cap'n Proto checks pointers when they are followed and throws.
    try
    {
        return internal::decode_union(source, message);
    }
    catch (kj::Exception const &)
    {
        return peer_codec_errc::malformed_structure;
    }
}

std::size_t approximate_size(decision::peer_message const & message) noexcept
{
    return std::visit(
        [](auto const & alternative)
        { return internal::fixed_size + internal::variable_size(alternative); },
        message);
}

} // namespace cassiahub::codec
