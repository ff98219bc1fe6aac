#ifndef CASSIAHUB_TESTS_FREE_PORT_HPP
#define CASSIAHUB_TESTS_FREE_PORT_HPP

#include <arpa/inet.h>
#include <cppunit/TestAssert.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>

/// \returns a loopback port that is free on return; another process may take it later.
inline std::uint16_t find_free_port()
{
    int const socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof address;
    CPPUNIT_ASSERT_EQUAL(0,
                         ::bind(socket, reinterpret_cast<sockaddr *>(&address), length));
    CPPUNIT_ASSERT_EQUAL(
        0, ::getsockname(socket, reinterpret_cast<sockaddr *>(&address), &length));
    ::close(socket);
    return ntohs(address.sin_port);
}

#endif
