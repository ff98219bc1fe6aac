#include "peer/frames.hpp"

#include <cassiahub/codec/peer_codec.hpp>

#include <capnp/serialize.h>

#include <algorithm>
#include <cstring>
#include <utility>

namespace cassiahub::peer::internal
{

namespace
{

/// Size of an empty buffer. Most reads bring one small frame.
constexpr std::size_t initial_words = 512;

/// Moves the incomplete frame to the start of the buffer and makes room for the rest.
void prepare_read(frame_buffer & buffer)
{
    std::size_t const kept = buffer.m_filled - buffer.m_consumed * sizeof(capnp::word);
    std::size_t const size = std::max(initial_words, buffer.m_expected_words);
    if (buffer.m_words.size() != size)
    {
        auto resized = kj::heapArray<capnp::word>(size);
        if (kept > 0)
        {
            std::memcpy(resized.begin(), buffer.m_words.begin() + buffer.m_consumed,
                        kept);
        }
        buffer.m_words = kj::mv(resized);
    }
    else if (kept > 0)
    {
        std::memmove(buffer.m_words.begin(), buffer.m_words.begin() + buffer.m_consumed,
                     kept);
    }
    buffer.m_filled = kept;
    buffer.m_consumed = 0;
}

template <typename Fill>
kj::Array<capnp::word> encode(std::size_t first_segment_words, Fill && fill)
{
    capnp::MallocMessageBuilder builder(static_cast<unsigned>(first_segment_words));
    fill(builder.initRoot<peer_protocol::Frame>());
    return capnp::messageToFlatArray(builder);
}

} // namespace

kj::Promise<bool> read_frames(kj::AsyncInputStream & stream, frame_buffer & buffer)
{
    prepare_read(buffer);
    kj::byte * const end =
        reinterpret_cast<kj::byte *>(buffer.m_words.begin()) + buffer.m_filled;
    std::size_t const room =
        buffer.m_words.size() * sizeof(capnp::word) - buffer.m_filled;
    return stream.tryRead(end, 1, room)
        .then(
            [&buffer](std::size_t count)
            {
                buffer.m_filled += count;
                return count > 0;
            });
}

kj::Maybe<kj::ArrayPtr<capnp::word const>> take_frame(frame_buffer & buffer,
                                                      std::size_t max_words)
{
    std::size_t const complete = buffer.m_filled / sizeof(capnp::word);
    auto const available = buffer.m_words.slice(buffer.m_consumed, complete);
    if (available.size() == 0)
    {
        buffer.m_expected_words = 0;
        return nullptr;
    }
    std::size_t const expected = capnp::expectedSizeInWordsFromPrefix(available);
    KJ_REQUIRE(expected <= max_words, "frame is too large");
    if (expected > available.size())
    {
        buffer.m_expected_words = expected;
        return nullptr;
    }
    buffer.m_expected_words = 0;
    buffer.m_consumed += expected;
    return kj::ArrayPtr<capnp::word const>(available.slice(0, expected));
}

kj::Array<capnp::word> encode_open(kj::ArrayPtr<kj::byte const> secret,
                                   kj::StringPtr instance, std::uint64_t incarnation,
                                   kj::StringPtr target)
{
    constexpr std::size_t first_segment_words = 64;
    return encode(first_segment_words,
                  [&](peer_protocol::Frame::Builder frame)
                  {
                      auto open = frame.initOpen();
                      open.setSecret(secret);
                      open.setInstance(instance);
                      open.setIncarnation(incarnation);
                      open.setTarget(target);
                  });
}

kj::Array<capnp::word> encode_opened()
{
    constexpr std::size_t first_segment_words = 8;
    return encode(first_segment_words,
                  [](peer_protocol::Frame::Builder frame) { frame.setOpened(); });
}

kj::Array<capnp::word> encode_received(std::uint64_t batches)
{
    constexpr std::size_t first_segment_words = 8;
    return encode(first_segment_words, [batches](peer_protocol::Frame::Builder frame)
                  { frame.setReceived(batches); });
}

kj::Array<capnp::word> encode_batch(std::span<decision::peer_message const> messages,
                                    bool acknowledge)
{
    std::size_t bytes = 0;
    for (decision::peer_message const & message : messages)
    {
        bytes += codec::approximate_size(message);
    }
    return encode(bytes / sizeof(capnp::word) + 16,
                  [&](peer_protocol::Frame::Builder frame)
                  {
                      auto batch = frame.initBatch();
                      batch.setAcknowledge(acknowledge);
                      auto list =
                          batch.initMessages(static_cast<unsigned>(messages.size()));
                      for (unsigned index = 0; index < list.size(); ++index)
                      {
                          codec::encode_peer_message(messages[index], list[index]);
                      }
                  });
}

kj::Promise<void> write_frame(kj::AsyncOutputStream & stream,
                              kj::Array<capnp::word> frame)
{
    auto const bytes = frame.asBytes();
    return stream.write(bytes.begin(), bytes.size()).attach(kj::mv(frame));
}

} // namespace cassiahub::peer::internal
