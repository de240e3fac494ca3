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
/// Faults to inject into the store.
struct KeyedStoreFaults {
    /// Answers every call with status 503 without executing it.
    bool refuses_ = false;
    /// Share of appends, from 0 to 1, that are executed but get no answer.
    double lostAnswers_ = 0;
    /// Share of appends, from 0 to 1, that get no answer and are executed seconds later if their epoch and sequence still hold.
    double lateAppends_ = 0;
    /// Delay added to answers of appends and of reads of the newest records.
    std::chrono::milliseconds delay_{0};
};

/// Stand-in for the platform's store: keyed topics with one partition, appends with producer epochs, waiting reads and reads of the
/// newest records. Runs on the thread of its io_context.
class KeyedStore
{
public:
    KeyedStore(asio::io_context &context, std::uint64_t seed);

    /// Listens on loopback; returns the port.
    auto listen() -> std::uint16_t;

    /// Writes a record as an external writer, for example an operator. Without a value the key is deleted.
    auto put(const std::string &topic, const std::string &key, const std::optional<std::string> &value) -> void;

    /// Deletes the history of a topic; the newest record of each key is retained.
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
