#include "marjoramfold/membership/peerprotocol.h"

#include <cassert>

namespace Marjoramfold
{
auto withFrameLength(const std::string &frame) -> std::string
{
    assert(frame.size() <= MaxFrameBytes);
    std::string bytes;
    bytes.reserve(FrameLengthBytes + frame.size());
    for (const auto shift : {24U, 16U, 8U, 0U}) {
        bytes.push_back(static_cast<char>((frame.size() >> shift) & 0xffU));
    }
    bytes.append(frame);
    return bytes;
}

auto FrameAssembler::append(const char *bytes, std::size_t size) -> void
{
    pending_.append(bytes, size);
}

auto FrameAssembler::buffered() const -> std::size_t
{
    return pending_.size();
}

auto FrameAssembler::next(std::string &frame) -> State
{
    if (pending_.size() < FrameLengthBytes) {
        return State::Incomplete;
    }
    std::size_t length = 0;
    for (std::size_t i = 0; i < FrameLengthBytes; ++i) {
        length = (length << 8U) | static_cast<unsigned char>(pending_[i]);
    }
    if (length == 0 || length > MaxFrameBytes) {
        return State::Invalid;
    }
    if (pending_.size() < FrameLengthBytes + length) {
        return State::Incomplete;
    }
    frame = pending_.substr(FrameLengthBytes, length);
    pending_.erase(0, FrameLengthBytes + length);
    return State::Complete;
}
} // namespace Marjoramfold
