// A fake of the users' key-value store for tests: their wire format on top of the project's store.
#pragma once

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "cornelhead/net/http.h"
#include "cornelhead/standin/key-value-store.h"
#include "platform/base64.h"
#include "support/free-address.h"

namespace cornelhead {

/// Serves one store on loopback.  Its members inject faults.
class UsersStore
{
public:
    explicit UsersStore(EventLoop &loop) : loop_(loop), server_(loop, {})
    {
        server_.setHandler([this](const HttpRequest &request, const Responder &responder) {
            ++callCounts[request.path.substr(0, request.path.find('/', 1))];
            serve(request, responder);
        });
        address = listenOnFreePort(
                [this](const Address &free) { return server_.listen(free).has_value(); });
        watchTimer_ = loop.every(Milliseconds(20), [this] { answerWatches(); });
    }

    /// Writes a key as an operator does.
    void write(const std::string &key, const std::string &value)
    {
        const auto current = store.get(key);
        store.put(key, value, ExpectedRevision{current ? current->modRevision : ModRevision()},
                  std::nullopt);
        answerWatches();
    }
    std::optional<std::string> read(const std::string &key)
    {
        const auto entry = store.get(key);
        return entry ? std::optional(entry->value) : std::nullopt;
    }
    void erase(const std::string &key)
    {
        if (const auto current = store.get(key))
            (void)store.remove(key, ExpectedRevision{current->modRevision});
        answerWatches();
    }

    /// The state of the store at one moment.
    struct Copy
    {
        std::shared_ptr<const KeyValueStore::Copy> store;
        std::map<std::string, LeaseId> leases;
    };
    Copy copy() const { return Copy{store.copy(), leases_}; }
    /// Comes back from an older copy; its lease ids are given out again.
    void restore(const Copy &copy)
    {
        store.restore(*copy.store);
        leases_ = copy.leases;
        answerWatches();
    }

    KeyValueStore store{{}, SteadyClock(), 1};
    Address address;
    /// Refuses every call with this HTTP status.
    std::optional<int> refuseWith;
    /// Applies writes, but closes the connection instead of responding.
    bool dropsWriteAnswers = false;
    /// Writes take effect at once, but their response is delayed by this time.
    Milliseconds writeAnswerDelay{};
    /// Answers every call with malformed JSON.
    bool sendsMalformedAnswers = false;
    /// Maximum number of items in a listing's response.
    std::size_t pageSize = 500;
    /// Listings that were allowed to be stale.
    std::size_t staleListings = 0;
    /// Number of calls by the first segment of their path.
    std::map<std::string, std::size_t> callCounts;

private:
    struct Watch
    {
        std::string prefix;
        ModRevision after;
        TimePoint deadline;
        Responder responder;
    };
    using Json = nlohmann::json;

    Json itemOf(const KeyValue &entry) const
    {
        return {{"key", entry.key},
                {"value", adapter::encodeBase64(entry.value)},
                {"mod-rev", entry.modRevision.value()},
                {"created", entry.modRevision.value()},
                {"lease-id", 0}};
    }

    void serve(const HttpRequest &request, const Responder &responder)
    {
        if (refuseWith) {
            send(responder, HttpResponse{*refuseWith, {}, {}});
            return;
        }
        if (sendsMalformedAnswers) {
            send(responder, jsonResponse(200, "{\"items\": 7"));
            return;
        }
        const bool isWrite = request.method != HttpMethod::Get;
        if (request.path == "/kv-watch") {
            watches_.push_back(Watch{
                    request.query.at("prefix"), ModRevision(std::stoull(request.query.at("after"))),
                    now(SteadyClock()) + Milliseconds(std::stoll(request.query.at("wait-ms"))),
                    responder});
            answerWatches();
            return;
        }
        const HttpResponse response = run(request);
        if (isWrite && dropsWriteAnswers)
            responder.closeConnection();
        else if (request.path == "/kv-txn" && writeAnswerDelay > Milliseconds(0))
            delayedResponses_.push_back(loop_.after(
                    writeAnswerDelay, [this, responder, response] { send(responder, response); }));
        else
            send(responder, response);
        answerWatches();
    }

    void send(const Responder &responder, HttpResponse response) const
    {
        response.headers["Store-Era"] = std::to_string(1 + store.era().value());
        responder.send(response);
    }

    HttpResponse run(const HttpRequest &request)
    {
        if (request.path == "/kv-key")
            return runGet(request);
        if (request.path == "/kv-range")
            return runList(request);
        if (request.path == "/kv-txn")
            return runTransaction(Json::parse(request.body));
        if (request.path == "/kv-lease")
            return jsonResponse(200, Json{{"lease-id", grant()}, {"ttl_time", "6000ms"}}.dump());
        const std::string id = request.path.substr(request.path.rfind('/') + 1);
        const auto lease = leases_.find(id);
        const bool isRevoke = request.method == HttpMethod::Delete;
        if (lease == leases_.end()
            || !(isRevoke ? store.revoke(lease->second) : store.keepAlive(lease->second)))
            return HttpResponse{404, {}, {}};
        return jsonResponse(200, R"({"ttl_time":"6000ms"})");
    }

    std::uint64_t grant()
    {
        const std::uint64_t id = 77'000 + leases_.size();
        leases_.emplace(std::to_string(id), store.grant(Milliseconds(6000)).value());
        return id;
    }

    HttpResponse runGet(const HttpRequest &request)
    {
        const auto entry = store.get(request.query.at("key"));
        if (!entry)
            return HttpResponse{404, {}, {}};
        return jsonResponse(200, itemOf(*entry).dump());
    }

    HttpResponse runList(const HttpRequest &request)
    {
        staleListings += request.query.contains("stale-read") ? 1 : 0;
        const Listing listing = store.list(request.query.at("prefix"));
        const auto after = request.query.find("after");
        Json items = Json::array();
        bool hasMore = false;
        for (const KeyValue &entry : listing.entries) {
            if (after != request.query.end() && entry.key <= after->second)
                continue;
            if (items.size() == pageSize) {
                hasMore = true;
                break;
            }
            items.push_back(itemOf(entry));
        }
        return jsonResponse(200,
                            Json{{"items", items},
                                 {"has-more", hasMore},
                                 {"at-rev", listing.storeRevision.value()}}
                                    .dump());
    }

    HttpResponse runTransaction(const Json &body)
    {
        const Json &put = body.at("puts").at(0);
        const auto key = put.at("key").get<std::string>();
        const auto current = store.get(key);
        ModRevision expected = current ? current->modRevision : ModRevision();
        if (!body.at("expect-rev").empty())
            expected = ModRevision(body.at("expect-rev").at(0).at("mod-rev").get<std::uint64_t>());
        std::optional<LeaseId> lease;
        if (put.contains("lease-id")) {
            const auto found
                    = leases_.find(std::to_string(put.at("lease-id").get<std::uint64_t>()));
            if (found == leases_.end())
                return HttpResponse{404, {}, {}};
            lease = found->second;
        }
        const auto value = adapter::decodeBase64(put.at("value").get<std::string>());
        const auto written = store.put(key, value.value(), ExpectedRevision{expected}, lease);
        if (!written)
            return HttpResponse{written.error().kind == ErrorKind::Conflict ? 412 : 404, {}, {}};
        return jsonResponse(200, Json{{"mod-rev", written->value()}}.dump());
    }

    void answerWatches()
    {
        watches_.remove_if([this](const Watch &watch) {
            const auto changes = store.changes(watch.prefix, watch.after);
            if (!changes) {
                send(watch.responder, HttpResponse{410, {}, {}});
                return true;
            }
            if (changes->changed.empty() && changes->removed.empty()
                && now(SteadyClock()) < watch.deadline)
                return false;
            Json events = Json::array();
            for (const KeyValue &entry : changes->changed)
                events.push_back(itemOf(entry));
            for (const std::string &key : changes->removed)
                events.push_back({{"key", key}, {"mod-rev", 0}, {"deleted", true}});
            send(watch.responder,
                 jsonResponse(200,
                              Json{{"events", events}, {"at-rev", changes->storeRevision.value()}}
                                      .dump()));
            return true;
        });
    }

    EventLoop &loop_;
    HttpServer server_;
    std::list<Watch> watches_;
    std::map<std::string, LeaseId> leases_;
    std::list<Timer> delayedResponses_;
    Timer watchTimer_;
};

} // namespace cornelhead
