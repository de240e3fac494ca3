#include "marjoramfold/dispatch/preferences.h"

#include <string_view>

namespace Marjoramfold
{
namespace
{
auto nameOf(Preference preference) -> std::string_view
{
    switch (preference) {
    case Preference::Locality:
        return "locality";
    case Preference::IdleReserve:
        return "idle_reserve";
    case Preference::Reservation:
        return "reservation";
    case Preference::Quarantine:
        return "quarantine";
    case Preference::RecentFailure:
        return "recent_failure";
    case Preference::Avoidance:
        return "avoidance";
    }
    return "unknown";
}
} // namespace

auto toString(PreferenceSet preferences) -> std::string
{
    std::string names;
    for (const auto preference : AllPreferences) {
        if (preferences.contains(preference)) {
            names += names.empty() ? "" : "+";
            names += nameOf(preference);
        }
    }
    return names;
}
} // namespace Marjoramfold
