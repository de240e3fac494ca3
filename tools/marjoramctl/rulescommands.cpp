#include "commands.h"
#include "marjoramfold/rules/rulechecker.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <ctime>
#include <set>
#include <thread>

namespace Marjoramfold::Ctl
{
namespace
{
using nlohmann::json;

/// First line of what `rules show` prints. `rules publish` takes the base version from it and does not publish the line.
constexpr std::string_view BaseVersionMark = "# base version: ";

/// Interval of the questions whether a version is in force.
constexpr std::chrono::milliseconds InForceInterval{200};

auto toJsonList(const std::vector<RuleProblem> &problems) -> json
{
    auto list = json::array();
    for (const auto &problem : problems) {
        list.push_back({{"line", problem.line_}, {"column", problem.column_}, {"message", problem.message_}});
    }
    return list;
}

/// A rules file as it lies on disk: its text without the mark, and the base version that the mark names.
struct RulesFile {
    std::string text_;
    std::optional<std::uint64_t> baseVersion_;
    /// Lines that were taken off the front.
    int removedLines_ = 0;
};

auto readRulesFile(const std::string &path) -> std::optional<RulesFile>
{
    auto content = readFile(path);
    if (!content) {
        return std::nullopt;
    }
    RulesFile file{std::move(*content), std::nullopt, 0};
    if (!file.text_.starts_with(BaseVersionMark)) {
        return file;
    }
    const auto end = std::min(file.text_.find('\n'), file.text_.size());
    auto version = std::uint64_t(0);
    const auto *digits = file.text_.data() + BaseVersionMark.size();
    if (const auto [next, error] = std::from_chars(digits, file.text_.data() + end, version); error == std::errc()) {
        file.baseVersion_ = version;
    }
    file.text_.erase(0, end + 1);
    file.removedLines_ = 1;
    return file;
}

/// Checks a file and writes what is wrong; true when it can be published. Positions are those of the file on disk.
auto checkFile(Terminal &terminal, const std::string &path, const RulesFile &file, bool writeJson) -> bool
{
    auto check = checkRules(file.text_);
    for (auto *problems : {&check.errors_, &check.warnings_}) {
        for (auto &problem : *problems) {
            problem.line_ += problem.line_ > 0 ? file.removedLines_ : 0;
        }
    }
    if (terminal.json_) {
        if (writeJson || !check.isClean()) {
            const json result{{"file", path}, {"clean", check.isClean()}, {"errors", toJsonList(check.errors_)}, {"warnings", toJsonList(check.warnings_)}};
            terminal.out_ << result.dump(2, ' ', false, json::error_handler_t::replace) << '\n';
        }
        return check.isClean();
    }
    for (const auto &problem : check.errors_) {
        terminal.err_ << printable(toString(path, problem)) << '\n';
    }
    for (const auto &problem : check.warnings_) {
        terminal.err_ << printable(toString(path, problem)) << " (warning)\n";
    }
    return check.isClean();
}

auto runCheck(Invocation &call) -> ExitCode
{
    const auto &path = call.arguments_.front();
    const auto file = readRulesFile(path);
    if (!file) {
        return reportWrongUse(call.terminal_, path + ": cannot be read");
    }
    if (!checkFile(call.terminal_, path, *file, true)) {
        return ExitCode::WrongUse;
    }
    if (!call.terminal_.json_) {
        call.terminal_.out_ << path << ": no errors\n";
    }
    return ExitCode::Done;
}

/// Follows a version until it is in force in every availability zone, and reports.
class InForceWatch
{
public:
    InForceWatch(Invocation &call, std::int64_t version)
        : call_(call)
        , version_(version)
        , startedAt_(std::chrono::steady_clock::now())
    {
    }

    /// Asks until all zones confirmed or the time is over; the last answer's zones.
    auto run() -> json
    {
        const auto end = startedAt_ + call_.options_.wait_;
        while (true) {
            ask();
            if (allInForce_ || std::chrono::steady_clock::now() >= end) {
                break;
            }
            std::this_thread::sleep_for(InForceInterval);
        }
        return zones_;
    }

    [[nodiscard]] auto allInForce() const -> bool
    {
        return allInForce_;
    }

private:
    auto ask() -> void
    {
        const auto answer = call_.entries_.send({"GET", "/v1/rules/in-force?version=" + std::to_string(version_), nullptr, Repeat::Safe});
        if (answer.index() != 0) {
            return;
        }
        zones_ = listOf(std::get<0>(answer), "zones");
        allInForce_ = !zones_.empty();
        for (const auto &zone : zones_) {
            const auto isInForce = flagOr(zone, "in_force", false);
            allInForce_ = allInForce_ && isInForce;
            const auto name = textOr(zone, "availability_zone", "?");
            if (isInForce && seen_.insert(name).second && !call_.terminal_.json_) {
                writeInForce(zone, name);
            }
        }
    }

    auto writeInForce(const json &zone, const std::string &name) -> void
    {
        const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - startedAt_);
        // The entry tells how long ago it saw the version in force; the time before this program asked counts as 0.
        const auto ago = numberOr(zone, "confirmed_ms", 0);
        call_.terminal_.out_ << "in force in " << name << " after " << std::max<std::int64_t>(0, waited.count() - ago) << " ms\n" << std::flush;
    }

    Invocation &call_;
    std::int64_t version_;
    std::chrono::steady_clock::time_point startedAt_;
    json zones_ = json::array();
    std::set<std::string> seen_;
    bool allInForce_ = false;
};

auto publish(Invocation &call, const RulesFile &file, std::uint64_t base) -> ExitCode
{
    const auto id = call.options_.id_.empty() ? makeId("publish-") : call.options_.id_;
    const json body{{"publish_id", id}, {"base_version", base}, {"author", call.options_.author_}, {"text", file.text_}};
    const auto answer = call.entries_.send({"POST", "/v1/rules", body, Repeat::Safe});
    if (const auto *error = std::get_if<EntryError>(&answer)) {
        if (error->ran_ != "no" && !call.terminal_.json_) {
            call.terminal_.err_ << "marjoramctl: to find out, repeat with --id=" << id << "; a publish id is accepted once only\n";
        }
        return reportError(call.terminal_, *error);
    }
    const auto version = numberOr(std::get<0>(answer), "version", 0);
    if (!call.terminal_.json_) {
        call.terminal_.out_ << "accepted as version " << version << '\n' << std::flush;
    }

    InForceWatch watch(call, version);
    const auto zones = watch.run();
    const json result{{"publish_id", id}, {"version", version}, {"in_force_everywhere", watch.allInForce()}, {"zones", zones}};
    return report(call.terminal_, result, [&] {
        if (zones.empty()) {
            call.terminal_.out_ << "no availability zone has confirmed yet\n";
        }
        for (const auto &zone : zones) {
            if (!flagOr(zone, "in_force", false)) {
                call.terminal_.out_ << "not confirmed by " << textOr(zone, "availability_zone", "?") << " (" << numberOr(zone, "unconfirmed", 0)
                                    << " instances)\n";
            }
        }
    });
}

auto runPublish(Invocation &call) -> ExitCode
{
    const auto &path = call.arguments_.front();
    const auto file = readRulesFile(path);
    if (!file) {
        return reportWrongUse(call.terminal_, path + ": cannot be read");
    }
    if (!checkFile(call.terminal_, path, *file, false)) {
        return ExitCode::WrongUse;
    }
    const auto base = call.options_.baseVersion_ ? call.options_.baseVersion_ : file->baseVersion_;
    if (!base) {
        return reportWrongUse(call.terminal_, "--base_version is missing, and the file does not start with the line that `rules show` prints");
    }
    if (call.options_.author_.empty()) {
        return reportWrongUse(call.terminal_, "--author is missing");
    }
    return publish(call, *file, *base);
}

auto runShow(Invocation &call) -> ExitCode
{
    const auto answer = call.entries_.send({"GET", "/v1/rules", nullptr, Repeat::Safe});
    if (const auto *error = std::get_if<EntryError>(&answer)) {
        return reportError(call.terminal_, *error);
    }
    const auto &rules = std::get<0>(answer);
    return report(call.terminal_, rules, [&] {
        // The text is what the operator edits, so it is written as it is.
        call.terminal_.out_ << BaseVersionMark << numberOr(rules, "version", 0) << '\n';
        const auto text = rules.is_object() && rules.contains("text") && rules["text"].is_string() ? rules["text"].get<std::string>() : std::string();
        call.terminal_.out_ << text << (text.empty() || text.back() == '\n' ? "" : "\n");
    });
}

/// Time of day in UTC.
auto timeText(std::int64_t unixMilliseconds) -> std::string
{
    const std::time_t seconds = unixMilliseconds / 1'000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> text{};
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return text.data();
}

/// One publish of the history: a line for it, and the lines that it changed or collided on.
auto writePublish(std::ostream &out, const json &publish) -> void
{
    out << "version " << textOr(publish, "version", "?") << "  " << textOr(publish, "decision", "?") << "  by " << textOr(publish, "author", "?") << "  from "
        << textOr(publish, "base_version", "?") << "  " << timeText(numberOr(publish, "time_ms", 0)) << '\n';
    const auto writeLine = [&out](const char *mark, const json &change, const char *side) {
        if (change.is_object() && change.contains(side) && change[side].is_object()) {
            out << "  " << mark << ' ' << textOr(change[side], "text", "") << '\n';
        }
    };
    for (const auto &change : listOf(publish, "changes")) {
        writeLine("-", change, "before");
        writeLine("+", change, "after");
    }
    for (const auto &collision : listOf(publish, "collisions")) {
        writeLine("in force: ", collision, "in_force");
        writeLine("published:", collision, "published");
    }
}

auto runHistory(Invocation &call) -> ExitCode
{
    const auto answer = call.entries_.send({"GET", "/v1/rules/history", nullptr, Repeat::Safe});
    if (const auto *error = std::get_if<EntryError>(&answer)) {
        return reportError(call.terminal_, *error);
    }
    return report(call.terminal_, std::get<0>(answer), [&] {
        for (const auto &publish : listOf(std::get<0>(answer), "publishes")) {
            writePublish(call.terminal_.out_, publish);
        }
    });
}
} // namespace

auto rulesCommands() -> std::vector<Command>
{
    return {
        {{"rules", "check"}, {"FILE"}, "check a rules file, without a server", "Errors are written as FILE:LINE:COLUMN: REASON.\n", {}, false, runCheck},
        {{"rules", "publish"},
         {"FILE"},
         "publish a rules file and wait until it is in force",
         "The base version is the version that was edited. It comes from --base_version, or from the first line of the\n"
         "file as `rules show` prints it. A publish whose base is no longer in force is refused with the lines that\n"
         "collide. Availability zones that have not confirmed within --wait_s are named; the publish stands all the same.\n",
         {"base_version", "author", "id", "wait_s"},
         true,
         runPublish},
        {{"rules", "show"}, {}, "print the rules in force", "The first line names the version, for `rules publish`.\n", {}, true, runShow},
        {{"rules", "history"}, {}, "list publishes and how they were decided", "", {}, true, runHistory},
    };
}
} // namespace Marjoramfold::Ctl
