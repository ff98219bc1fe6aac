#ifndef CASSIAHUB_CODEC_HPP
#define CASSIAHUB_CODEC_HPP

/// \file Umbrella header of the codec module: bodies and header fields of the HTTP APIs.
/// It does not include codec/peer_codec.hpp, which requires Cap'n Proto.

#include <cassiahub/codec/job_json.hpp>
#include <cassiahub/codec/platform_json.hpp>
#include <cassiahub/codec/task_headers.hpp>

#endif
