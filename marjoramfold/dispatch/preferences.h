#pragma once

#include <compare>
#include <cstdint>
#include <initializer_list>
#include <string>

namespace Marjoramfold
{
/// A preference that may keep work from workers which could take it.
enum class Preference : std::uint8_t {
    /// The rack of the data, or one rack for a gang.
    Locality,
    /// Idle workers are kept for urgent gangs.
    IdleReserve,
    /// Workers are reserved for a gang of higher rank.
    Reservation,
    /// Workers that failed or stalled the runs of several jobs are not used.
    Quarantine,
    /// Quarantined workers whose last failure is some seconds old or less are not even a last resort.
    RecentFailure,
    /// Workers on which a task of the step failed recently are not used for it.
    Avoidance,
};

/// All preferences, those first that protect a task from failing again.
constexpr std::initializer_list<Preference> AllPreferences{
    Preference::Avoidance,
    Preference::RecentFailure,
    Preference::Quarantine,
    Preference::Reservation,
    Preference::IdleReserve,
    Preference::Locality,
};

/// A set of preferences.
class PreferenceSet
{
public:
    constexpr PreferenceSet() = default;
    constexpr PreferenceSet(std::initializer_list<Preference> preferences)
    {
        for (const auto preference : preferences) {
            add(preference);
        }
    }

    constexpr auto add(Preference preference) -> void
    {
        bits_ |= bitOf(preference);
    }

    constexpr auto add(PreferenceSet preferences) -> void
    {
        bits_ |= preferences.bits_;
    }

    constexpr auto remove(Preference preference) -> void
    {
        bits_ &= ~bitOf(preference);
    }

    [[nodiscard]] constexpr auto contains(Preference preference) const -> bool
    {
        return (bits_ & bitOf(preference)) != 0;
    }

    [[nodiscard]] constexpr auto isEmpty() const -> bool
    {
        return bits_ == 0;
    }

    auto operator<=>(const PreferenceSet &) const = default;

private:
    [[nodiscard]] static constexpr auto bitOf(Preference preference) -> unsigned
    {
        return 1U << static_cast<unsigned>(preference);
    }

    unsigned bits_ = 0;
};

/// Names joined by '+', in the order of `AllPreferences`; empty for an empty set.
[[nodiscard]] auto toString(PreferenceSet preferences) -> std::string;
} // namespace Marjoramfold
