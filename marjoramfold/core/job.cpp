#include "marjoramfold/core/job.h"

#include <array>
#include <utility>

namespace Marjoramfold
{
namespace
{
template<typename Enum>
using NamedValue = std::pair<Enum, std::string_view>;

constexpr std::array AdjacencyNames{
    NamedValue<Adjacency>{Adjacency::None, "none"},
    NamedValue<Adjacency>{Adjacency::Worker, "worker"},
    NamedValue<Adjacency>{Adjacency::Rack, "rack"},
};

constexpr std::array PriorityClassNames{
    NamedValue<PriorityClass>{PriorityClass::Batch, "batch"},
    NamedValue<PriorityClass>{PriorityClass::Normal, "normal"},
    NamedValue<PriorityClass>{PriorityClass::Urgent, "urgent"},
};

constexpr std::array JobStateNames{
    NamedValue<JobState>{JobState::Waiting, "waiting"},
    NamedValue<JobState>{JobState::Starting, "starting"},
    NamedValue<JobState>{JobState::Running, "running"},
    NamedValue<JobState>{JobState::Stopping, "stopping"},
    NamedValue<JobState>{JobState::Parked, "parked"},
    NamedValue<JobState>{JobState::Finished, "finished"},
    NamedValue<JobState>{JobState::Failed, "failed"},
    NamedValue<JobState>{JobState::Cancelled, "cancelled"},
};

template<typename Names, typename Enum>
auto nameOf(const Names &names, Enum value) -> std::string_view
{
    for (const auto &[candidate, name] : names) {
        if (candidate == value) {
            return name;
        }
    }
    return {};
}

template<typename Enum, std::size_t Size>
auto valueNamed(const std::array<NamedValue<Enum>, Size> &names, std::string_view wanted) -> std::optional<Enum>
{
    for (const auto &[value, name] : names) {
        if (name == wanted) {
            return value;
        }
    }
    return std::nullopt;
}
} // namespace

auto toString(Adjacency adjacency) -> std::string_view
{
    return nameOf(AdjacencyNames, adjacency);
}

auto toString(PriorityClass priority) -> std::string_view
{
    return nameOf(PriorityClassNames, priority);
}

auto toString(JobState state) -> std::string_view
{
    return nameOf(JobStateNames, state);
}

auto adjacencyFromString(std::string_view name) -> std::optional<Adjacency>
{
    return valueNamed(AdjacencyNames, name);
}

auto priorityClassFromString(std::string_view name) -> std::optional<PriorityClass>
{
    return valueNamed(PriorityClassNames, name);
}

auto jobStateFromString(std::string_view name) -> std::optional<JobState>
{
    return valueNamed(JobStateNames, name);
}

auto isFinal(JobState state) -> bool
{
    return state == JobState::Finished || state == JobState::Failed || state == JobState::Cancelled;
}
} // namespace Marjoramfold
