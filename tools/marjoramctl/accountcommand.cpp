#include "commands.h"
#include "marjoramfold/accounting/accountbuilder.h"

#include <algorithm>
#include <cstdio>
#include <fstream>

namespace Marjoramfold::Ctl
{
namespace
{
using nlohmann::json;

constexpr std::size_t ReadBytes = 65'536;
constexpr const char *StandardInput = "-";

/// Adds the lines of a stream; false when it cannot be read. Of a line beyond the limit of a log line only the start is kept.
auto addLines(AccountBuilder &builder, std::istream &stream) -> bool
{
    std::vector<char> buffer(ReadBytes);
    std::string line;
    do {
        stream.read(buffer.data(), static_cast<std::streamsize>(buffer.size()));
        for (std::streamsize i = 0; i < stream.gcount(); ++i) {
            const auto c = buffer[static_cast<std::size_t>(i)];
            if (c == '\n') {
                builder.addLine(line);
                line.clear();
            } else if (line.size() <= LogEvent::MaxLineBytes) {
                line.push_back(c);
            }
        }
    } while (stream);
    builder.addLine(line);
    return stream.eof() && !stream.bad();
}

auto addFile(AccountBuilder &builder, const std::string &path) -> bool
{
    if (path == StandardInput) {
        return addLines(builder, std::cin);
    }
    std::ifstream file(path, std::ios::binary);
    return file && addLines(builder, file);
}

auto secondsOf(std::chrono::milliseconds time) -> double
{
    return std::chrono::duration<double>(time).count();
}

auto toText(double number) -> std::string
{
    std::array<char, 64> text{};
    std::snprintf(text.data(), text.size(), "%.1f", number);
    return text.data();
}

auto orUnknown(const std::string &text) -> std::string
{
    return text.empty() ? "unknown" : text;
}

auto priorityOf(const AccountedJob &job) -> std::string
{
    return job.priority_ ? std::to_string(*job.priority_) : "unknown";
}

/// Name of the cause, with the queue for whose jobs runs were stopped.
auto causeOf(const AccountEntry &entry) -> std::string
{
    const auto name = std::string(nameOf(entry.cause_));
    return entry.forJob_.empty() ? name : name + " for " + orUnknown(entry.forQueue_);
}

auto addTotals(json object, const AccountTotals &totals) -> json
{
    object["waited_s"] = secondsOf(totals.waited_);
    object["lost_core_s"] = totals.lost_;
    object["saved_core_s"] = totals.saved_;
    object["count"] = totals.count_;
    return object;
}

auto addTotals(std::vector<std::string> row, const AccountTotals &totals) -> std::vector<std::string>
{
    row.push_back(toText(totals.lost_));
    row.push_back(toText(totals.saved_));
    row.push_back(toText(secondsOf(totals.waited_)));
    row.push_back(std::to_string(totals.count_));
    return row;
}

/// Sums of one kind, with their title and the name of the key.
struct SumTable {
    std::string title_;
    std::string key_;
    std::vector<AccountSum> sums_;
};

auto makeTables(const Account &account) -> std::vector<SumTable>
{
    const auto by = [&account](const auto &key) {
        return sumBy(account, account.entries_, key);
    };
    return {
        {"by cause", "cause", by([](const AccountEntry &entry, const AccountedJob &) {
             return causeOf(entry);
         })},
        {"by queue and cause", "queue and cause", by([](const AccountEntry &entry, const AccountedJob &job) {
             return orUnknown(job.queue_) + ": " + causeOf(entry);
         })},
        {"by queue", "queue", by([](const AccountEntry &, const AccountedJob &job) {
             return orUnknown(job.queue_);
         })},
        {"by team", "team", by([](const AccountEntry &, const AccountedJob &job) {
             return orUnknown(job.team_);
         })},
        {"by priority", "priority", by([](const AccountEntry &, const AccountedJob &job) {
             return priorityOf(job);
         })},
        {"by second", "second", by([&account](const AccountEntry &entry, const AccountedJob &) {
             return std::to_string(std::chrono::floor<std::chrono::seconds>(entry.at_ - account.begin_).count());
         })},
    };
}

/// Entries of a job, summed by cause and, for lost work, by the worker.
auto causesOf(const Account &account, const std::vector<AccountEntry> &entries) -> std::vector<AccountSum>
{
    return sumBy(account, entries, [](const AccountEntry &entry, const AccountedJob &) {
        const auto worker = entry.forJob_.empty() && !entry.worker_.empty() ? " on " + entry.worker_ : std::string();
        return causeOf(entry) + worker;
    });
}

auto groupByJob(const Account &account) -> std::map<std::string, std::vector<AccountEntry>>
{
    std::map<std::string, std::vector<AccountEntry>> groups;
    for (const auto &entry : account.entries_) {
        groups[entry.job_].push_back(entry);
    }
    return groups;
}

auto jsonName(std::string title) -> std::string
{
    std::replace(title.begin(), title.end(), ' ', '_');
    return title;
}

auto toJson(const Account &account) -> json
{
    json result{{"lines", account.lines_},
                {"unreadable_lines", account.unreadableLines_},
                {"dropped_lines", account.droppedLines_},
                {"sums_are_lower_bounds", !account.droppedLines_.empty()},
                {"jobs", account.jobs_.size()},
                {"jobs_without_objective", account.jobsWithoutObjective_},
                {"runs_without_end", account.runsWithoutEnd_},
                {"runs_without_size", account.runsWithoutSize_},
                {"rejected_submissions", account.rejectedSubmissions_},
                {"missed_jobs", json::array()}};
    for (const auto &table : makeTables(account)) {
        auto &rows = result[jsonName(table.title_)] = json::array();
        for (const auto &sum : table.sums_) {
            rows.push_back(addTotals({{jsonName(table.key_), sum.key_}, {"jobs", sum.jobs_}, {"largest_cause", nameOf(sum.largestCause_)}}, sum.totals_));
        }
    }
    auto groups = groupByJob(account);
    for (const auto *job : missedJobs(account)) {
        auto row = addTotals({{"id", job->id_},
                              {"queue", job->queue_},
                              {"team", job->team_},
                              {"priority", job->priority_ ? json(*job->priority_) : json()},
                              {"outcome", nameOf(job->outcome_)},
                              {"age_s", secondsOf(job->age_)},
                              {"objective_s", job->objective_ ? json(secondsOf(*job->objective_)) : json()},
                              {"causes", json::array()}},
                             job->totals_);
        for (const auto &sum : causesOf(account, groups[job->id_])) {
            row["causes"].push_back(addTotals(json{{"cause", sum.key_}}, sum.totals_));
        }
        result["missed_jobs"].push_back(std::move(row));
    }
    return result;
}

/// Writes a table with at most `top` rows, and how many there are beyond.
auto writeTop(std::ostream &out, const std::string &title, const std::vector<std::string> &header, std::vector<std::vector<std::string>> rows, std::size_t top)
    -> void
{
    const auto total = rows.size();
    rows.resize(top == 0 ? total : std::min(top, total));
    out << '\n' << title;
    if (rows.size() < total) {
        out << ", the first " << rows.size() << " of " << total;
    }
    out << '\n';
    writeTable(out, header, rows);
}

auto writeNotes(std::ostream &out, const Account &account) -> void
{
    std::map<AccountedOutcome, std::size_t> outcomes;
    for (const auto &[id, job] : account.jobs_) {
        ++outcomes[job.outcome_];
    }
    out << account.lines_ << " lines, " << account.unreadableLines_ << " of them cannot be read\n" << account.jobs_.size() << " jobs:";
    for (const auto &[outcome, count] : outcomes) {
        out << ' ' << nameOf(outcome) << '=' << count;
    }
    out << '\n';
    for (const auto &[outcome, count] : account.rejectedSubmissions_) {
        out << "submissions answered " << printable(outcome) << ": " << count << '\n';
    }
    if (account.jobsWithoutObjective_ > 0) {
        out << account.jobsWithoutObjective_ << " completed jobs have no objective in the log; late ones of priority 0 are not recognized among them\n";
    }
    if (account.runsWithoutEnd_ > 0) {
        out << account.runsWithoutEnd_ << " runs began and have no line of their end; work that they lost is not counted\n";
    }
    if (account.runsWithoutSize_ > 0) {
        out << account.runsWithoutSize_ << " runs that did not complete have no step_placed line; their lost work is not counted\n";
    }
    for (const auto &[event, count] : account.droppedLines_) {
        out << "dropped lines of " << printable(event) << ": " << count << "; the sums are lower bounds\n";
    }
}

auto writeAccount(std::ostream &out, const Account &account, std::size_t top) -> void
{
    writeNotes(out, account);
    for (const auto &table : makeTables(account)) {
        std::vector<std::vector<std::string>> rows;
        for (const auto &sum : table.sums_) {
            auto row = addTotals(std::vector<std::string>{printable(sum.key_)}, sum.totals_);
            row.push_back(std::to_string(sum.jobs_));
            row.emplace_back(nameOf(sum.largestCause_));
            rows.push_back(std::move(row));
        }
        writeTop(out, table.title_, {table.key_, "lost core-s", "saved core-s", "waited s", "count", "jobs", "largest cause"}, std::move(rows), top);
    }
    auto groups = groupByJob(account);
    std::vector<std::vector<std::string>> rows;
    for (const auto *job : missedJobs(account)) {
        // Only the rows that are written need their causes; there may be very many jobs.
        std::string causes;
        if (top == 0 || rows.size() < top) {
            for (const auto &sum : causesOf(account, groups[job->id_])) {
                causes += (causes.empty() ? "" : ", ") + printable(sum.key_) + " "
                    + (sum.totals_.waited_.count() > 0 ? toText(secondsOf(sum.totals_.waited_)) + " s"
                                                       : toText(sum.totals_.lost_ + sum.totals_.saved_) + " core-s");
            }
        }
        rows.push_back({printable(job->id_),
                        printable(orUnknown(job->queue_)),
                        printable(orUnknown(job->team_)),
                        priorityOf(*job),
                        std::string(nameOf(job->outcome_)),
                        toText(secondsOf(job->age_)),
                        job->objective_ ? toText(secondsOf(*job->objective_)) : "unknown",
                        toText(job->totals_.lost_),
                        toText(secondsOf(job->totals_.waited_)),
                        causes});
    }
    writeTop(out,
             "late, lost and unfinished jobs",
             {"job", "queue", "team", "priority", "outcome", "age s", "objective s", "lost core-s", "waited s", "causes"},
             std::move(rows),
             top);
}

auto runAccount(Invocation &invocation) -> ExitCode
{
    AccountBuilder builder;
    for (const auto &path : invocation.arguments_) {
        if (!addFile(builder, path)) {
            return reportWrongUse(invocation.terminal_, path + ": cannot read the file");
        }
    }
    const auto account = builder.finish();
    if (account.lines_ > 0 && account.unreadableLines_ == account.lines_) {
        return reportWrongUse(invocation.terminal_, "none of the " + std::to_string(account.lines_) + " lines is a log line of an instance");
    }
    return report(invocation.terminal_, toJson(account), [&] {
        writeAccount(invocation.terminal_.out_, account, invocation.options_.top_);
    });
}
} // namespace

auto accountCommands() -> std::vector<Command>
{
    return {
        {{"account"},
         {"LOG..."},
         "sum up from logs of instances what jobs waited for and lost",
         "Reads the log lines of instances; - stands for standard input. Each line may have a prefix: a time in seconds, the instance's\n"
         "name, or both. Lost work is in core-seconds, where an accelerator counts as 8 cores. Lines that cannot be read are counted.\n"
         "Exit code: 0 done, 2 a file cannot be read or has no log lines.\n",
         {"top"},
         false,
         runAccount},
    };
}
} // namespace Marjoramfold::Ctl
