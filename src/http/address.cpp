#include "http/beast_message.hpp"

#include <cassiahub/http/address.hpp>

namespace cassiahub::http
{

bool is_host_address(std::string_view text)
{
    auto const endpoint = internal::parse_endpoint(text);
    if (!endpoint || endpoint->port() == 0)
    {
        return false;
    }
    auto const ip = endpoint->address().to_v4();
    return !ip.is_unspecified() && !ip.is_multicast() &&
           ip != boost::asio::ip::address_v4::broadcast();
}

} // namespace cassiahub::http
