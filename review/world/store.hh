#pragma once

#include "standins/executor/rawhttpserver.h"

#include <asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Review
{
/// Stand-in for the platform's store: keyed topics with one partition, with the limits that PROTOCOL.md and the settings name.
class Store
{
public:
    explicit Store(asio::io_context &context);

    /// Opens a further address, one for each instance; returns HOST:PORT.
    auto listen() -> std::string;

    /// While set, calls at an address get no answer and are not executed, as when the store turns a machine away.
    auto setSilent(const std::string &address, bool silent) -> void;

    /// Writes a record as the operator or as a worker does.
    auto put(const std::string &topic, const std::string &key, const std::optional<std::string> &value) -> void;

    /// Number of appends that were rejected because a record or the call was too large, and the largest record among them.
    [[nodiscard]] auto oversizedAppends() const -> std::size_t;
    [[nodiscard]] auto largestRecord() const -> std::size_t;

    static constexpr std::size_t RecordBytes = 262'144;
    static constexpr std::size_t CallBytes = 2'097'152;

private:
    struct Record {
        std::string key_;
        std::optional<std::string> value_;
    };

    struct Producer {
        std::uint64_t epoch_ = 0;
        /// Next sequence number; empty while any number may follow.
        std::optional<std::uint64_t> next_;
        /// Offsets of the last appends by sequence number.
        std::map<std::uint64_t, std::uint64_t> offsets_;
    };

    struct Topic {
        std::vector<Record> records_;
        std::map<std::string, std::uint64_t> newest_;
        std::map<std::string, Producer> producers_;
        std::chrono::steady_clock::time_point busyUntil_{};
    };

    struct WaitingRead {
        std::string topic_;
        std::uint64_t from_ = 0;
        std::uint64_t id_ = 0;
        Marjoramfold::RawResponder respond_;
    };

    auto handle(const Marjoramfold::RawRequest &request, const Marjoramfold::RawResponder &respond) -> void;
    auto append(const Marjoramfold::RawRequest &request) -> Marjoramfold::RawAnswer;
    auto read(const Marjoramfold::RawRequest &request, const Marjoramfold::RawResponder &respond) -> void;
    auto newest(const Marjoramfold::RawRequest &request) -> Marjoramfold::RawAnswer;
    auto add(const std::string &topic, Record record) -> void;
    auto answerWaiting(const std::string &topic) -> void;
    [[nodiscard]] auto page(const std::string &topic, std::uint64_t from) -> Marjoramfold::RawAnswer;

    asio::io_context &context_;
    std::map<std::string, Topic> topics_;
    std::list<WaitingRead> waiting_;
    std::uint64_t nextRead_ = 0;
    std::size_t oversized_ = 0;
    std::size_t largest_ = 0;
    std::vector<std::unique_ptr<Marjoramfold::RawHttpServer>> servers_;
    std::set<std::string> silent_;
    /// Calls that were turned away; their connections stay open without an answer.
    std::vector<Marjoramfold::RawResponder> unanswered_;
};
} // namespace Review
