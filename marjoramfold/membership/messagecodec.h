#pragma once

#include "marjoramfold/core/ids.h"
#include "marjoramfold/membership/peermessages.h"

#include <cereal/archives/portable_binary.hpp>

#include <algorithm>
#include <chrono>
#include <cstring>
#include <limits>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <streambuf>
#include <string>
#include <type_traits>
#include <vector>

namespace Marjoramfold
{
/// Value of a 32-bit duration field that means none.
constexpr std::uint32_t NoDuration = std::numeric_limits<std::uint32_t>::max();

/// Writes fields as cereal portable binary. Lengths are written in two or four bytes instead of cereal's eight, since
/// heartbeats are sent many times a second.
class MessageWriter
{
public:
    MessageWriter()
        : archive_(stream_)
    {
    }

    /// Moves out the written bytes; the writer must not be used afterwards.
    [[nodiscard]] auto take() -> std::string
    {
        return std::move(stream_).str();
    }

    template<typename Number>
    auto number(Number &value) -> void
    {
        static_assert(std::is_unsigned_v<Number> && !std::is_same_v<Number, bool>);
        archive_(value);
    }

    auto boolean(bool &value) -> void
    {
        archive_(static_cast<std::uint8_t>(value ? 1 : 0));
    }

    template<typename Enum>
    auto enumeration(Enum &value, Enum /*last*/) -> void
    {
        archive_(static_cast<std::uint8_t>(value));
    }

    /// Writes a count of the duration's unit in 32 bits, clamped to the valid range.
    template<typename Duration>
    auto duration(Duration &value) -> void
    {
        archive_(static_cast<std::uint32_t>(std::clamp<std::int64_t>(value.count(), 0, NoDuration - 1)));
    }

    template<typename Duration>
    auto optionalDuration(std::optional<Duration> &value) -> void
    {
        if (value) {
            duration(*value);
        } else {
            archive_(NoDuration);
        }
    }

    auto text(std::string &value, std::size_t limit) -> void
    {
        requireAtMost(value.size(), limit);
        archive_(static_cast<std::uint8_t>(value.size()));
        bytes(value);
    }

    auto longText(std::string &value) -> void
    {
        requireAtMost(value.size(), MaxFrameBytes);
        archive_(static_cast<std::uint32_t>(value.size()));
        bytes(value);
    }

    template<typename Tag>
    auto identifier(StringId<Tag> &id) -> void
    {
        auto value = id.value();
        text(value, MaxPeerIdBytes);
    }

    template<typename Item, typename Each>
    auto list(std::vector<Item> &items, std::size_t limit, const Each &each) -> void
    {
        requireAtMost(items.size(), limit);
        archive_(static_cast<std::uint16_t>(items.size()));
        for (auto &item : items) {
            each(item);
        }
    }

    template<typename Value, typename Each>
    auto optional(std::optional<Value> &value, const Each &each) -> void
    {
        auto present = value.has_value();
        boolean(present);
        if (present) {
            each(*value);
        }
    }

private:
    static auto requireAtMost(std::size_t size, std::size_t limit) -> void
    {
        if (size > limit) {
            throw std::length_error("a field of a peer message has size " + std::to_string(size) + ", above its limit of " + std::to_string(limit));
        }
    }

    auto bytes(std::string &value) -> void
    {
        archive_(cereal::binary_data(value.data(), value.size()));
    }

    std::ostringstream stream_;
    cereal::PortableBinaryOutputArchive archive_;
};

/// Reads the format of MessageWriter. Throws cereal::Exception on malformed input. Every length is checked against its limit and
/// the remaining bytes before memory is allocated for it.
class MessageReader
{
public:
    /// The bytes must outlive the reader.
    explicit MessageReader(const std::string &bytes)
        : buffer_(bytes)
        , stream_(&buffer_)
        , archive_(checked(bytes, stream_))
    {
    }

    [[nodiscard]] auto atEnd() -> bool
    {
        return left() == 0;
    }

    template<typename Number>
    auto number(Number &value) -> void
    {
        static_assert(std::is_unsigned_v<Number> && !std::is_same_v<Number, bool>);
        archive_(value);
    }

    auto boolean(bool &value) -> void
    {
        value = limited<std::uint8_t>(1) == 1;
    }

    template<typename Enum>
    auto enumeration(Enum &value, Enum last) -> void
    {
        value = static_cast<Enum>(limited<std::uint8_t>(static_cast<std::uint8_t>(last)));
    }

    template<typename Duration>
    auto duration(Duration &value) -> void
    {
        value = Duration(limited<std::uint32_t>(NoDuration - 1));
    }

    template<typename Duration>
    auto optionalDuration(std::optional<Duration> &value) -> void
    {
        const auto count = limited<std::uint32_t>(NoDuration);
        value = count == NoDuration ? std::nullopt : std::optional<Duration>(Duration(count));
    }

    auto text(std::string &value, std::size_t limit) -> void
    {
        bytes(value, limited<std::uint8_t>(limit));
    }

    auto longText(std::string &value) -> void
    {
        bytes(value, limited<std::uint32_t>(MaxFrameBytes));
    }

    template<typename Tag>
    auto identifier(StringId<Tag> &id) -> void
    {
        std::string value;
        text(value, MaxPeerIdBytes);
        id = StringId<Tag>(std::move(value));
    }

    template<typename Item, typename Each>
    auto list(std::vector<Item> &items, std::size_t limit, const Each &each) -> void
    {
        const auto count = limited<std::uint16_t>(limit);
        // Every item has at least one byte, so a count above the remaining bytes is malformed.
        if (count > left()) {
            throw cereal::Exception("list count exceeds the remaining bytes of the message");
        }
        items.resize(count);
        for (auto &item : items) {
            each(item);
        }
    }

    template<typename Value, typename Each>
    auto optional(std::optional<Value> &value, const Each &each) -> void
    {
        auto present = false;
        boolean(present);
        value.reset();
        if (present) {
            each(value.emplace());
        }
    }

private:
    /// Read-only stream buffer over the caller's bytes.
    class ViewBuffer : public std::streambuf
    {
    public:
        explicit ViewBuffer(const std::string &bytes)
        {
            // The get area is never written to.
            auto *begin = const_cast<char *>(bytes.data());
            setg(begin, begin, begin + bytes.size());
        }
    };

    /// Rejects a first byte other than 0 and 1, since cereal interprets any byte other than 1 as big-endian.
    static auto checked(const std::string &bytes, std::istream &stream) -> std::istream &
    {
        if (bytes.empty() || static_cast<unsigned char>(bytes.front()) > 1) {
            throw cereal::Exception("message does not start with a valid byte order");
        }
        return stream;
    }

    [[nodiscard]] auto left() -> std::size_t
    {
        const auto count = buffer_.in_avail();
        return count > 0 ? static_cast<std::size_t>(count) : 0;
    }

    template<typename Number>
    auto limited(std::size_t limit) -> Number
    {
        Number value = 0;
        archive_(value);
        if (value > limit) {
            throw cereal::Exception("value exceeds its limit");
        }
        return value;
    }

    auto bytes(std::string &value, std::size_t size) -> void
    {
        if (size > left()) {
            throw cereal::Exception("text length exceeds the remaining bytes of the message");
        }
        value.resize(size);
        archive_(cereal::binary_data(value.data(), size));
    }

    ViewBuffer buffer_;
    std::istream stream_;
    cereal::PortableBinaryInputArchive archive_;
};
} // namespace Marjoramfold
