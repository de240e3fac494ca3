#pragma once

#include "marjoramfold/core/result.h"
#include "marjoramfold/membership/peermessages.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace Marjoramfold
{
/// Bytes of the length prefix of each frame on a TCP connection, in network byte order.
constexpr std::size_t FrameLengthBytes = 4;

/// Most bytes of one read. A frame's buffer grows with the received bytes, so that an announced length alone allocates no memory.
constexpr std::size_t FrameChunkBytes = 16'384;

/// Prepends the length to a sealed frame.
[[nodiscard]] auto withFrameLength(const std::string &frame) -> std::string;

/// Splits the byte stream of a connection into frames.
class FrameAssembler
{
public:
    /// State of the buffered bytes.
    enum class State {
        Incomplete,
        Complete,
        /// A length of 0 or over the limit; the stream cannot be parsed any further.
        Invalid,
    };

    /// Appends received bytes.
    auto append(const char *bytes, std::size_t size) -> void;

    /// Number of buffered bytes.
    [[nodiscard]] auto buffered() const -> std::size_t;

    /// Removes the next complete frame from the buffer.
    [[nodiscard]] auto next(std::string &frame) -> State;

private:
    std::string pending_;
};
} // namespace Marjoramfold
