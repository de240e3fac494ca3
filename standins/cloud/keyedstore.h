#pragma once

#include "standins/executor/rawhttpserver.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Marjoramfold
{
/// Faults of the store; shares are from 0 to 1.
struct KeyedStoreFaults {
    /// Answers 503 and does nothing.
    bool refuses_ = false;
    /// Share of appends that are done and get no answer.
    double lostAnswers_ = 0;
    /// Added to each answer.
    std::chrono::milliseconds delay_{0};
};

/// Stand-in for the platform's store: keyed topics of one partition, appends by producers, waiting reads, newest records.
/// Runs on the thread of its io_context.
class KeyedStore
{
public:
    KeyedStore(asio::io_context &context, std::uint64_t seed);

    /// Listens on loopback; returns the port.
    auto listen() -> std::uint16_t;

    /// Writes a record as another writer than the system, for example an operator. Without a value the key is dropped.
    auto put(const std::string &topic, const std::string &key, const std::optional<std::string> &value) -> void;

    /// Drops the history of a topic; the newest record of each key stays.
    auto dropHistory(const std::string &topic) -> void;

    KeyedStoreFaults faults_;

private:
    struct Record {
        std::string key_;
        std::optional<std::string> value_;
    };

    struct Producer {
        std::uint64_t epoch_ = 0;
        std::uint64_t next_ = 0;
        std::map<std::uint64_t, std::uint64_t> offsets_;
    };

    struct Topic {
        std::vector<Record> records_;
        std::uint64_t first_ = 0;
        std::map<std::string, std::uint64_t> newest_;
        std::map<std::string, Producer> producers_;
    };

    struct WaitingRead {
        std::string topic_;
        std::uint64_t from_ = 0;
        std::shared_ptr<asio::steady_timer> timer_;
        RawResponder respond_;
    };

    auto handle(const RawRequest &request, const RawResponder &respond) -> void;
    auto append(const RawRequest &request) -> RawAnswer;
    auto read(const RawRequest &request, const RawResponder &respond) -> void;
    auto newest(const RawRequest &request) -> RawAnswer;
    auto add(Topic &topic, Record record) -> void;
    auto answerWaiting(const std::string &topic) -> void;
    [[nodiscard]] static auto page(const Topic &topic, std::uint64_t from) -> RawAnswer;

    asio::io_context &context_;
    std::mt19937_64 random_;
    std::unique_ptr<RawHttpServer> server_;
    std::map<std::string, Topic> topics_;
    std::list<WaitingRead> waiting_;
};
} // namespace Marjoramfold
