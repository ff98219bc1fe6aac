#ifndef CASSIAHUB_SRC_PEER_FRAMES_HPP
#define CASSIAHUB_SRC_PEER_FRAMES_HPP

#include <cassiahub/decision/peer_message.hpp>

#include <capnp/message.h>
#include <kj/async-io.h>
#include <kj/exception.h>
#include <peer_protocol.capnp.h>

#include <cstddef>
#include <cstdint>
#include <span>

namespace cassiahub::peer::internal
{

/// Bytes read from a connection. One read may bring several frames or a part of one.
struct frame_buffer
{
    kj::Array<capnp::word> m_words;
    std::size_t m_filled = 0;         ///< bytes read into m_words
    std::size_t m_consumed = 0;       ///< words of frames that were taken
    std::size_t m_expected_words = 0; ///< size of the frame that is incomplete
};

/// Reads at least one byte into \p buffer, which grows to hold the incomplete frame.
/// Invalidates the frames taken from \p buffer.
/// \returns false at the end of the stream.
/// \pre \p stream and \p buffer outlive the promise.
kj::Promise<bool> read_frames(kj::AsyncInputStream & stream, frame_buffer & buffer);

/// Takes the next complete frame from \p buffer.
/// \returns its words, which are valid until the next call of read_frames(), or nothing
/// when the frame is incomplete.
/// \throws kj::Exception when the frame is malformed or larger than \p max_words.
kj::Maybe<kj::ArrayPtr<capnp::word const>> take_frame(frame_buffer & buffer,
                                                      std::size_t max_words);

/// Encoders of frames. All return the encoded bytes.
kj::Array<capnp::word> encode_open(kj::ArrayPtr<kj::byte const> secret,
                                   kj::StringPtr instance, std::uint64_t incarnation,
                                   kj::StringPtr target);
kj::Array<capnp::word> encode_opened();
kj::Array<capnp::word> encode_received(std::uint64_t batches);
kj::Array<capnp::word> encode_batch(std::span<decision::peer_message const> messages,
                                    bool acknowledge);

/// Writes \p frame and keeps it until it is written.
/// \pre no other write to \p stream is in progress.
kj::Promise<void> write_frame(kj::AsyncOutputStream & stream,
                              kj::Array<capnp::word> frame);

} // namespace cassiahub::peer::internal

#endif
