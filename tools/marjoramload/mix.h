#pragma once

#include "marjoramfold/core/job.h"

#include <chrono>
#include <string>
#include <vector>

namespace Marjoramfold
{
/// Which keys the non-idempotent requests of a class use.
enum class LoadKeys {
    /// UNIXSECONDS.ANYTHING, made by the load program.
    Caller,
    /// From POST /v1/request-keys.
    Issued,
};

/// One class of requests in a mix.
struct LoadClass {
    std::string name_ = "default";
    std::string team_ = "planners";
    std::string priority_ = "normal";
    /// Part of all requests, relative to the other classes.
    double share_ = 1;
    double idempotentShare_ = 1;
    std::size_t bodyBytes_ = 200;
    std::chrono::milliseconds deadline_{1'000};
    LoadKeys keys_ = LoadKeys::Issued;
};

using LoadMix = std::vector<LoadClass>;

/// Reads a mix from a TOML file with one table [[class]] for each class: name, team, priority, share, idempotent_share, body_bytes,
/// deadline_ms, keys ("caller" or "issued"). Throws std::runtime_error with file, line and reason.
[[nodiscard]] auto readMix(const std::string &path) -> LoadMix;
} // namespace Marjoramfold
