#ifndef CASSIAHUB_CODEC_HPP
#define CASSIAHUB_CODEC_HPP

/// \file Umbrella header of the codec module: bodies and headers of the HTTP protocols.

#include <cassiahub/codec/job_json.hpp>
#include <cassiahub/codec/platform_json.hpp>
#include <cassiahub/codec/task_headers.hpp>

#endif
