/// \file Fuzzes the decoder of peer messages.

#include <cassiahub/codec/peer_codec.hpp>

#include <boost/assert.hpp>
#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include <cstddef>
#include <cstdint>
#include <cstring>
#include <vector>

using namespace cassiahub;

namespace
{

/// Checks that a decoded message encodes to one that decodes to the same type.
void check_round_trip(decision::peer_message const & message)
{
    capnp::MallocMessageBuilder builder;
    auto root = builder.initRoot<peer_protocol::Message>();
    codec::encode_peer_message(message, root);
    decision::peer_message again;
    [[maybe_unused]] std::error_code const error =
        codec::decode_peer_message(root.asReader(), again);
    BOOST_ASSERT(!error && again.index() == message.index());
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const * data, std::size_t size)
{
    std::vector<capnp::word> words(size / sizeof(capnp::word));
    std::memcpy(words.data(), data, words.size() * sizeof(capnp::word));
    try
    {
        capnp::FlatArrayMessageReader reader({words.data(), words.size()});
        decision::peer_message message;
        if (!codec::decode_peer_message(reader.getRoot<peer_protocol::Message>(),
                                        message))
        {
            check_round_trip(message);
        }
    }
    catch (kj::Exception const &)
    {
        // Cap'n Proto rejects malformed framing before the codec sees it.
    }
    return 0;
}
