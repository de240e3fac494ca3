#pragma once

#include "review/world/world.hh"

#include <functional>
#include <map>
#include <string>

namespace Review
{
using Case = std::function<Verdict(const std::string &folder, const std::string &record, const std::string &program, bool trouble)>;

/// The cases by name; REPORT.md tells which of them have a folder.
[[nodiscard]] auto cases() -> const std::map<std::string, Case> &;
} // namespace Review
