#include "marjoramfold/log/logcursor.h"

#include <algorithm>
#include <utility>

namespace Marjoramfold
{
LogCursor::LogCursor(const LogFollowerOptions &options)
    : options_(options)
    , backoff_(options.backoff_, options.seed_)
{
}

auto LogCursor::nextRead() const -> LogReadRequest
{
    return {options_.stream_, position_, options_.maxRecords_, options_.wait_};
}

auto LogCursor::nextReadAt() const -> SteadyTime
{
    return nextReadAt_;
}

auto LogCursor::handlePage(LogPage page, SteadyTime startedAt, SteadyTime now, bool &offsetExpired) -> std::vector<LogRecord>
{
    offsetExpired = position_ != 0 && page.first_ > position_;
    if (position_ == 0 || offsetExpired) {
        position_ = page.first_;
    }
    first_ = page.first_;
    std::vector<LogRecord> newRecords;
    for (auto &record : page.records_) {
        // Repeated and reordered records are skipped; the client rejects gaps.
        if (record.offset_ == position_) {
            ++position_;
            newRecords.push_back(std::move(record));
        }
    }
    if (position_ >= page.end_) {
        confirmedAt_ = std::max(confirmedAt_.value_or(startedAt), startedAt);
    }
    unreachableSince_.reset();
    backoff_.reset();
    nextReadAt_ = now;
    return newRecords;
}

auto LogCursor::handleError(const Error &error, SteadyTime startedAt, SteadyTime now) -> bool
{
    nextReadAt_ = now + backoff_.next();
    if (error.kind_ == ErrorKind::OffsetExpired) {
        // The log responded, so it is reachable.
        unreachableSince_.reset();
        position_ = 0;
        return true;
    }
    unreachableSince_ = unreachableSince_.value_or(startedAt);
    return false;
}

auto LogCursor::position() const -> Offset
{
    return position_;
}

auto LogCursor::first() const -> Offset
{
    return first_;
}

auto LogCursor::confirmedAt() const -> std::optional<SteadyTime>
{
    return confirmedAt_;
}

auto LogCursor::unreachableSince() const -> std::optional<SteadyTime>
{
    return unreachableSince_;
}
} // namespace Marjoramfold
