#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace Marjoramfold
{
/// A string identifier. Each kind of object has its own type, so that identifiers of different kinds cannot be mixed up.
template<typename Tag>
class StringId
{
public:
    StringId() = default;

    /// Wraps an identifier as it appears in files and messages.
    explicit StringId(std::string value)
        : value_(std::move(value))
    {
    }

    /// The identifier as text.
    [[nodiscard]] auto value() const -> const std::string &
    {
        return value_;
    }

    /// True for an identifier that was never set.
    [[nodiscard]] auto isEmpty() const -> bool
    {
        return value_.empty();
    }

    auto operator<=>(const StringId &) const = default;

    /// Serializes the identifier with cereal.
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(value_);
    }

private:
    std::string value_;
};

using AvailabilityZoneId = StringId<struct AvailabilityZoneTag>;
using InstanceId = StringId<struct InstanceTag>;
using JobId = StringId<struct JobTag>;
using RackId = StringId<struct RackTag>;
using RecordId = StringId<struct RecordTag>;
using TargetId = StringId<struct TargetTag>;
using TeamId = StringId<struct TeamTag>;
using WorkerId = StringId<struct WorkerTag>;

/// Position of a record in a log stream.
using Offset = std::uint64_t;

/// Fencing token of a scheduler: the offset of the owner's claim record, then the rank of the acting deputy (0 for the owner).
struct Epoch {
    Offset claim_ = 0;
    std::uint32_t rank_ = 0;

    auto operator<=>(const Epoch &) const = default;

    /// Serializes the epoch with cereal.
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(claim_, rank_);
    }
};

/// One task of a gang: its job, the attempt it belongs to, and its index within the gang.
struct TaskId {
    JobId job_;
    std::uint32_t attempt_ = 0;
    std::uint32_t index_ = 0;

    auto operator<=>(const TaskId &) const = default;
};

/// Text form of a task identifier: JOB/ATTEMPT/INDEX.
[[nodiscard]] auto toString(const TaskId &task) -> std::string;

/// Parses the text form of a task identifier; false when malformed.
[[nodiscard]] auto parseTaskId(std::string_view text, TaskId &task) -> bool;
} // namespace Marjoramfold

template<typename Tag>
struct std::hash<Marjoramfold::StringId<Tag>> {
    auto operator()(const Marjoramfold::StringId<Tag> &id) const noexcept -> std::size_t
    {
        return std::hash<std::string>()(id.value());
    }
};

template<>
struct std::hash<Marjoramfold::TaskId> {
    auto operator()(const Marjoramfold::TaskId &task) const noexcept -> std::size_t
    {
        return std::hash<std::string>()(task.job_.value()) ^ (std::size_t(task.attempt_) << 32U) ^ (std::size_t(task.index_) << 8U);
    }
};
