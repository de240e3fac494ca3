#pragma once

#include "marjoramfold/core/result.h"
#include "marjoramfold/membership/peermessages.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace Marjoramfold
{
/// Bytes of the length, in network byte order, that stands before each frame on a TCP connection.
constexpr std::size_t FrameLengthBytes = 4;

/// Bytes that are read at once. A frame's buffer grows by what arrived, so that an announced length alone costs no memory.
constexpr std::size_t FrameChunkBytes = 16'384;

/// Puts the length before a sealed frame.
[[nodiscard]] auto withFrameLength(const std::string &frame) -> std::string;

/// Collects the bytes of a connection and cuts them into frames.
class FrameAssembler
{
public:
    /// What the bytes so far hold.
    enum class State {
        Incomplete,
        Complete,
        /// A length of 0 or over the limit; the connection cannot go on.
        Invalid,
    };

    /// Adds received bytes.
    auto append(const char *bytes, std::size_t size) -> void;

    /// Bytes that wait for the rest of their frame.
    [[nodiscard]] auto buffered() const -> std::size_t;

    /// Moves the next whole frame out.
    [[nodiscard]] auto next(std::string &frame) -> State;

private:
    std::string pending_;
};
} // namespace Marjoramfold
