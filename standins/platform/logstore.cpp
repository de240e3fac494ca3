#include "standins/platform/logstore.h"

#include <algorithm>
#include <utility>

namespace Marjoramfold::Standin
{
LogStore::LogStore(RetentionOptions retention)
    : retention_(retention)
{
}

auto LogStore::append(const std::string &stream, std::vector<std::string> bodies, WallTime now) -> Offset
{
    auto &target = streams_[stream];
    const auto first = target.end_;
    for (auto &body : bodies) {
        target.records_.push_back({target.end_++, now, std::move(body)});
    }
    applyRetention(target, now);
    return first;
}

auto LogStore::read(const std::string &stream, Offset from, std::size_t maxRecords, WallTime now) -> Result<StoredPage>
{
    auto &source = streams_[stream];
    applyRetention(source, now);
    StoredPage page{source.end_ - source.records_.size(), source.end_, {}};
    if (from != 0 && from < page.first_) {
        return Error{ErrorKind::OffsetExpired, std::to_string(page.first_), std::nullopt};
    }
    const auto start = from == 0 ? page.first_ : std::min(from, page.end_);
    const auto count = std::min<std::size_t>(maxRecords, page.end_ - start);
    for (std::size_t i = 0; i < count; ++i) {
        page.records_.push_back(&source.records_[start - page.first_ + i]);
    }
    return page;
}

auto LogStore::dropAll(const std::string &stream) -> void
{
    streams_[stream].records_.clear();
}

auto LogStore::applyRetention(Stream &stream, WallTime now) -> void
{
    while (!stream.records_.empty() && (stream.records_.size() > retention_.maxRecords_ || now - stream.records_.front().time_ > retention_.maxAge_)) {
        stream.records_.pop_front();
    }
}
} // namespace Marjoramfold::Standin
