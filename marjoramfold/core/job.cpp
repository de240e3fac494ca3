#include "marjoramfold/core/job.h"

#include "marjoramfold/core/namedvalues.h"

#include <array>

namespace Marjoramfold
{
namespace
{
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
