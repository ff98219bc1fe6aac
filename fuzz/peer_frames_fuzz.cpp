/// \file Fuzzes the frames of the peer exchange: their boundaries, their structure and
/// the messages in them.

#include "peer/frames.hpp"

#include <cassiahub/codec/peer_codec.hpp>

#include <boost/assert.hpp>
#include <capnp/serialize.h>

#include <cstddef>
#include <cstdint>
#include <cstring>

using namespace cassiahub;
using namespace cassiahub::peer::internal;

namespace
{

constexpr std::size_t max_words = 4096;

void decode_frame(kj::ArrayPtr<capnp::word const> words)
{
    capnp::FlatArrayMessageReader reader(words);
    auto const frame = reader.getRoot<peer_protocol::Frame>();
    if (!frame.isBatch())
    {
        return;
    }
    for (auto const encoded : frame.getBatch().getMessages())
    {
        decision::peer_message message;
        [[maybe_unused]] std::error_code const error =
            codec::decode_peer_message(encoded, message);
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const * data, std::size_t size)
{
    frame_buffer buffer;
    buffer.m_words = kj::heapArray<capnp::word>(size / sizeof(capnp::word) + 1);
    std::memcpy(buffer.m_words.begin(), data, size);
    buffer.m_filled = size;
    try
    {
        while (true)
        {
            auto const taken = take_frame(buffer, max_words);
            KJ_IF_MAYBE (words, taken)
            {
                decode_frame(*words);
            }
            else
            {
                BOOST_ASSERT(buffer.m_expected_words <= max_words);
                break;
            }
        }
    }
    catch (kj::Exception const &)
    {
        // A malformed frame ends the session that it came in.
    }
    return 0;
}
