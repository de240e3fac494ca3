#pragma once

#include "marjoramfold/core/ids.h"

#include <string>

namespace Marjoramfold
{
/// A request to put a rules file in force. The record's offset becomes the version when it is accepted.
struct PublishRecord {
    /// Publish id, made by the writer; a repeat of it is ignored.
    RecordId id_;
    /// Version that the author edited; 0 when there was none.
    Offset baseVersion_ = 0;
    std::string author_;
    /// The whole rules file.
    std::string text_;
};

/// A copy of the set in force, appended again before retention drops the older copies.
struct RuleSetRestatedRecord {
    RecordId id_;
    /// Version of the set, as its publish record made it; 0 states that no set is in force.
    Offset version_ = 0;
    /// The writer had decided every publish below this offset. A reader whose log begins above it cannot use the copy to decide later publishes.
    Offset decidedUpTo_ = 0;
    std::string author_;
    std::string text_;
};
} // namespace Marjoramfold
