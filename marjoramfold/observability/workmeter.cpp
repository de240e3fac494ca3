#include "marjoramfold/observability/workmeter.h"

#include "marjoramfold/core/namedvalues.h"

#include <numeric>
#include <utility>

namespace Marjoramfold
{
namespace
{
constexpr std::array WorkKindNames{
    NamedValue<WorkKind>{WorkKind::Transport, "transport"},
    NamedValue<WorkKind>{WorkKind::StoreAnswers, "store_answers"},
    NamedValue<WorkKind>{WorkKind::WorkerAnswers, "worker_answers"},
    NamedValue<WorkKind>{WorkKind::WorkerList, "worker_list"},
    NamedValue<WorkKind>{WorkKind::Feed, "feed"},
    NamedValue<WorkKind>{WorkKind::Passes, "passes"},
    NamedValue<WorkKind>{WorkKind::Commands, "commands"},
    NamedValue<WorkKind>{WorkKind::Ticks, "ticks"},
    NamedValue<WorkKind>{WorkKind::Callers, "callers"},
};
static_assert(WorkKindNames.size() == WorkKindCount);
} // namespace

auto toString(WorkKind kind) -> std::string_view
{
    return nameOf(WorkKindNames, kind);
}

auto WorkSummary::total() const -> std::chrono::microseconds
{
    return std::accumulate(times_.begin(), times_.end(), std::chrono::microseconds(0));
}

WorkMeter::Scope::Scope(WorkMeter *meter, WorkKind kind)
    : meter_(meter)
{
    if (meter_ == nullptr) {
        return;
    }
    startedAt_ = BootClock::now();
    meter_->countUntil(startedAt_);
    isOutermost_ = !std::exchange(meter_->active_, true);
    outerKind_ = std::exchange(meter_->kind_, kind);
}

WorkMeter::Scope::~Scope()
{
    if (meter_ == nullptr) {
        return;
    }
    const auto now = BootClock::now();
    meter_->countUntil(now);
    if (isOutermost_) {
        meter_->active_ = false;
        if (now - startedAt_ > meter_->summary_.longest_) {
            meter_->summary_.longest_ = now - startedAt_;
            meter_->summary_.longestKind_ = meter_->kind_;
        }
    }
    meter_->kind_ = outerKind_;
}

auto WorkMeter::countUntil(BootTime now) -> void
{
    if (active_) {
        summary_.times_.at(static_cast<std::size_t>(kind_)) += now - countedUntil_;
    }
    countedUntil_ = now;
}

auto WorkMeter::takeSummary() -> WorkSummary
{
    return std::exchange(summary_, {});
}
} // namespace Marjoramfold
