#include "standins/cloud/keyedstore.h"

#include "marjoramfold/http/httpmessage.h"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <algorithm>
#include <utility>

namespace Marjoramfold
{
namespace
{
/// Duration of an append on the platform.
constexpr std::chrono::milliseconds AppendLatency{4};
constexpr std::size_t NewestPageRecords = 500;
constexpr std::chrono::milliseconds LateAppendDelay{1500};
/// A repeat of one of the last appends of a producer receives its first answer again.
constexpr std::size_t RepeatableAppends = 5;

auto numberOf(const RawRequest &request, const char *name) -> std::uint64_t
{
    const auto text = queryParameter(request.target_, name);
    return text && !text->empty() ? std::stoull(*text) : 0;
}

auto bigEndian(std::uint64_t value, int bytes) -> std::string
{
    std::string text;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
        text.push_back(static_cast<char>((value >> static_cast<unsigned>(shift)) & 0xffU));
    }
    return text;
}

auto base64(const std::string &bytes) -> std::string
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const auto length =
        EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()), reinterpret_cast<const unsigned char *>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

/// Decodes percent-encoding in a query parameter.
auto unescape(const std::string &text) -> std::string
{
    std::string plain;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            plain.push_back(static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16)));
            i += 2;
        } else {
            plain.push_back(text[i]);
        }
    }
    return plain;
}

auto json(int status, const nlohmann::json &body) -> RawAnswer
{
    return {status, {{"Content-Type", "application/json"}}, body.dump()};
}
} // namespace

KeyedStore::KeyedStore(asio::io_context &context, std::uint64_t seed)
    : context_(context)
    , random_(seed)
{
}

auto KeyedStore::listen() -> std::uint16_t
{
    server_ = std::make_unique<RawHttpServer>(context_, "127.0.0.1", 0, [this](const RawRequest &request, std::size_t /*open*/, const RawResponder &respond) {
        handle(request, respond);
    });
    return server_->port();
}

auto KeyedStore::put(const std::string &topic, const std::string &key, const std::optional<std::string> &value) -> void
{
    add(topics_[topic], {key, value});
    answerWaiting(topic);
}

auto KeyedStore::dropHistory(const std::string &topic) -> void
{
    topics_[topic].first_ = topics_[topic].records_.size();
}

auto KeyedStore::add(Topic &topic, Record record) -> void
{
    if (record.value_) {
        topic.newest_[record.key_] = topic.records_.size();
    } else {
        topic.newest_.erase(record.key_);
    }
    topic.records_.push_back(std::move(record));
}

auto KeyedStore::handle(const RawRequest &request, const RawResponder &respond) -> void
{
    const auto respondAfter = [this](std::chrono::milliseconds pause, const RawResponder &responder, RawAnswer answer) {
        auto timer = std::make_shared<asio::steady_timer>(context_, pause);
        timer->async_wait([timer, responder, answer = std::move(answer)](const std::error_code &error) {
            if (!error) {
                responder(answer);
            }
        });
    };
    if (faults_.refuses_) {
        respond(json(503, {{"reason", "busy"}}));
        return;
    }
    const auto path = pathOf(request.target_);
    const auto chance = [this](double share) {
        return std::uniform_real_distribution<double>(0, 1)(random_) < share;
    };
    if (path == "/marjoramfold/log-append" && chance(faults_.lateAppends_)) {
        const auto late = [this, request, respond](const RawAnswer &) {
            auto answer = append(request);
            answer.dropped_ = true;
            respond(answer);
        };
        respondAfter(LateAppendDelay, late, {});
    } else if (path == "/marjoramfold/log-append") {
        auto answer = append(request);
        // For a lost answer the server closes the connection without sending anything.
        answer.dropped_ = chance(faults_.lostAnswers_);
        respondAfter(AppendLatency + faults_.delay_, respond, std::move(answer));
    } else if (path == "/marjoramfold/log-newest") {
        respondAfter(faults_.delay_, respond, newest(request));
    } else if (path == "/marjoramfold/log-read") {
        read(request, respond);
    } else {
        respond(json(404, {{"reason", "unknown"}}));
    }
}

auto KeyedStore::append(const RawRequest &request) -> RawAnswer
{
    const auto name = queryParameter(request.target_, "topic").value_or("");
    auto &topic = topics_[name];
    auto &producer = topic.producers_[unescape(queryParameter(request.target_, "producer").value_or(""))];
    const auto epoch = numberOf(request, "epoch");
    const auto sequence = numberOf(request, "sequence");
    if (epoch < producer.epoch_) {
        return json(409, {{"reason", "fenced"}, {"epoch", producer.epoch_}});
    }
    if (epoch > producer.epoch_) {
        producer = {epoch, sequence, {}};
    }
    if (request.body_.empty()) {
        return json(200, {{"offset", topic.records_.size()}, {"end", topic.records_.size()}});
    }
    if (const auto earlier = producer.offsets_.find(sequence); earlier != producer.offsets_.end()) {
        return json(200, {{"offset", earlier->second}, {"end", topic.records_.size()}});
    }
    if (sequence != producer.next_) {
        return json(409, {{"reason", "seq"}, {"expected", producer.next_}});
    }
    const auto offset = topic.records_.size();
    const auto &body = request.body_;
    for (std::size_t at = 0; at + 4 < body.size();) {
        std::size_t size = 0;
        for (int i = 0; i < 4; ++i) {
            size = size << 8U | static_cast<unsigned char>(body[at + static_cast<std::size_t>(i)]);
        }
        const auto keySize = static_cast<unsigned char>(body[at + 4]);
        Record record{body.substr(at + 5, keySize), std::nullopt};
        if (size > 1U + keySize) {
            record.value_ = body.substr(at + 5 + keySize, size - 1 - keySize);
        }
        add(topic, std::move(record));
        at += 4 + size;
    }
    producer.offsets_[sequence] = offset;
    if (producer.offsets_.size() > RepeatableAppends) {
        producer.offsets_.erase(producer.offsets_.begin());
    }
    ++producer.next_;
    answerWaiting(name);
    return json(200, {{"offset", offset}, {"end", topic.records_.size()}});
}

auto KeyedStore::page(const Topic &topic, std::uint64_t from) -> RawAnswer
{
    RawAnswer answer;
    answer.body_ = bigEndian(topic.records_.size(), 8) + bigEndian(topic.first_, 8);
    for (auto offset = from; offset < topic.records_.size(); ++offset) {
        const auto &record = topic.records_[offset];
        const auto value = record.value_.value_or("");
        answer.body_ += bigEndian(1 + record.key_.size() + value.size(), 4) + static_cast<char>(record.key_.size()) + record.key_ + value;
    }
    return answer;
}

auto KeyedStore::read(const RawRequest &request, const RawResponder &respond) -> void
{
    const auto name = queryParameter(request.target_, "topic").value_or("");
    auto &topic = topics_[name];
    const auto from = numberOf(request, "from");
    const auto wait = numberOf(request, "wait_ms");
    if (from < topic.first_) {
        respond(json(410, {{"first", topic.first_}}));
        return;
    }
    if (from < topic.records_.size() || wait == 0) {
        respond(page(topic, from));
        return;
    }
    auto timer = std::make_shared<asio::steady_timer>(context_, std::chrono::milliseconds(wait));
    waiting_.push_back({name, from, timer, respond});
    timer->async_wait([this, timer](const std::error_code &error) {
        const auto found = std::find_if(waiting_.begin(), waiting_.end(), [&timer](const WaitingRead &read) {
            return read.timer_ == timer;
        });
        if (!error && found != waiting_.end()) {
            const auto read = *found;
            waiting_.erase(found);
            read.respond_(page(topics_[read.topic_], read.from_));
        }
    });
}

auto KeyedStore::answerWaiting(const std::string &topic) -> void
{
    for (auto read = waiting_.begin(); read != waiting_.end();) {
        if (read->topic_ != topic) {
            ++read;
            continue;
        }
        const auto answerable = *read;
        read = waiting_.erase(read);
        answerable.timer_->cancel();
        answerable.respond_(page(topics_[topic], answerable.from_));
    }
}

auto KeyedStore::newest(const RawRequest &request) -> RawAnswer
{
    const auto &topic = topics_[queryParameter(request.target_, "topic").value_or("")];
    const auto after = unescape(queryParameter(request.target_, "depends_on").value_or(""));
    auto items = nlohmann::json::array();
    auto truncated = false;
    for (auto entry = topic.newest_.upper_bound(after); entry != topic.newest_.end(); ++entry) {
        if (items.size() == NewestPageRecords) {
            truncated = true;
            break;
        }
        items.push_back({{"key", entry->first}, {"value", base64(topic.records_[entry->second].value_.value_or(""))}, {"offset", entry->second}});
    }
    return json(200, {{"items", items}, {"truncated", truncated}, {"end", topic.records_.size()}});
}
} // namespace Marjoramfold
