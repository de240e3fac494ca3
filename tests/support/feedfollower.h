#pragma once

#include "marjoramfold/node/jobfeed.h"
#include "marjoramfold/store/orderedappender.h"
#include "marjoramfold/store/streamfollower.h"
#include "tests/support/scriptedstore.h"

#include <memory>
#include <string>
#include <vector>

namespace Marjoramfold::Test
{
/// Creates a follower that applies the feed's records like that of an instance. The feed must outlive it.
inline auto makeFeedFollower(ScriptedStore &store, ManualSchedule &schedule, JobFeed &feed) -> std::shared_ptr<StreamFollower>
{
    FollowerOptions options;
    options.stream_ = feedStream();
    return std::make_shared<StreamFollower>(
        store.store(),
        schedule.hook(),
        options,
        [&feed](const std::vector<StoredRecord> &records, bool loaded) {
            feed.apply(records);
            if (loaded) {
                feed.endReload();
            }
        },
        [&feed] {
            feed.beginReload();
        });
}

/// Creates an appender to the feed like that of an instance.
inline auto makeFeedAppender(ScriptedStore &store, ManualSchedule &schedule, const std::string &producer) -> std::shared_ptr<OrderedAppender>
{
    AppenderOptions options;
    options.stream_ = feedStream();
    options.producer_ = producer;
    return std::make_shared<OrderedAppender>(store.store(), schedule.hook(), options);
}
} // namespace Marjoramfold::Test
