#ifndef CASSIAHUB_CODEC_TASK_HEADERS_HPP
#define CASSIAHUB_CODEC_TASK_HEADERS_HPP

#include <string>
#include <string_view>

namespace cassiahub::codec
{

// Header fields of requests from entry instances to upstreams and of the responses.
constexpr std::string_view tenant_header = "Cassiahub-Tenant";
constexpr std::string_view home_domain_header = "Cassiahub-Home-Domain";
constexpr std::string_view key_header = "Idempotency-Key";
constexpr std::string_view task_header = "Cassiahub-Task";
constexpr std::string_view attempt_header = "Cassiahub-Attempt";
constexpr std::string_view kind_header = "Cassiahub-Kind";
constexpr std::string_view fencing_shard_header = "Cassiahub-Fencing-Shard";
constexpr std::string_view fencing_epoch_header = "Cassiahub-Fencing-Epoch";
constexpr std::string_view deadline_header = "Cassiahub-Deadline-Ms";
/// In a response that refuses or fails a task: whether it ran, "no" or "yes".
constexpr std::string_view ran_header = "Cassiahub-Ran";
/// "true" in every response of an upstream that is shutting down.
constexpr std::string_view leaving_header = "Cassiahub-Leaving";

} // namespace cassiahub::codec

#endif
