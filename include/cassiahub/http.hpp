#ifndef CASSIAHUB_HTTP_HPP
#define CASSIAHUB_HTTP_HPP

/// \file Umbrella header of the http module: CivetWeb's server and client.

#include <cassiahub/http/client.hpp>
#include <cassiahub/http/error.hpp>
#include <cassiahub/http/message.hpp>
#include <cassiahub/http/server.hpp>

#endif
