#ifndef CASSIAHUB_HTTP_HPP
#define CASSIAHUB_HTTP_HPP

/// \file Blocking HTTP server and client, based on CivetWeb. The asynchronous ones have
/// headers of their own: http/async_server.hpp and http/async_client.hpp.

#include <cassiahub/http/address.hpp>
#include <cassiahub/http/client.hpp>
#include <cassiahub/http/connection_limits.hpp>
#include <cassiahub/http/error.hpp>
#include <cassiahub/http/message.hpp>
#include <cassiahub/http/server.hpp>

#endif
