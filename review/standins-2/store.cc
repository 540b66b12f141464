// A stand-in of the platform's key-value store, as PROTOCOL.md describes it.
//
// The operator of a case writes with `PUT /operator?key=KEY` and reads with `GET
// /operator?key=KEY`. `PUT /operator?silence=ADDRESS&ms=N` gives no response for so long to the
// machine that calls at this address of the store: a connection on which a response is lost returns
// nothing further. Nothing but the scripts uses these paths.
#include <condition_variable>
#include <deque>
#include <mutex>
#include <vector>

#include <nlohmann/json.hpp>

#include "http.h"

namespace standin {

using Json = nlohmann::json;

constexpr const char *base64Digits
        = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string encode(const std::string &bytes)
{
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group = (group << 8U)
                    | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            text += i + j > bytes.size() ? '=' : base64Digits[(group >> (18U - 6U * j)) & 63U];
    }
    return text;
}

std::string decode(const std::string &text)
{
    std::string bytes;
    std::uint32_t group = 0;
    unsigned bits = 0;
    for (const char c : text) {
        const char *digit = c == '=' ? nullptr : std::strchr(base64Digits, c);
        if (!digit || *digit == '\0')
            break;
        group = (group << 6U) | static_cast<std::uint32_t>(digit - base64Digits);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>((group >> bits) & 255U);
        }
    }
    return bytes;
}

class Store
{
public:
    struct Answer
    {
        int status = 200;
        Json body = nullptr;
    };

    Answer serve(const Request &request)
    {
        const std::string path = request.target.substr(0, request.target.find('?'));
        const auto query = queryOf(request.target);
        if (path == "/kv-watch")
            return watch(query);
        std::unique_lock lock(mutex_);
        expire();
        if (path == "/operator")
            return serveOperator(request, query);
        if (path == "/kv-key")
            return get(query.at("key"));
        if (path == "/kv-range")
            return list(query);
        if (path == "/kv-txn")
            return transact(Json::parse(request.body));
        if (path == "/kv-lease")
            return grant(Json::parse(request.body));
        const std::uint64_t lease
                = std::strtoull(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
        const auto found = leases_.find(lease);
        if (found == leases_.end())
            return {404, nullptr};
        if (request.method == "DELETE") {
            end(lease);
            return {200, Json::object()};
        }
        found->second.endsAt = steadyMs() + found->second.ttl;
        return {200, {{"ttl_time", std::to_string(found->second.ttl) + "ms"}}};
    }

    bool isSilent(const std::string &address)
    {
        const std::lock_guard lock(mutex_);
        const auto found = silentUntil_.find(address);
        return found != silentUntil_.end() && steadyMs() < found->second;
    }

    void tick()
    {
        while (true) {
            sleepMs(50);
            const std::lock_guard lock(mutex_);
            expire();
        }
    }

private:
    struct Item
    {
        std::string value;
        std::uint64_t modified = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct Lease
    {
        std::int64_t ttl = 0;
        std::int64_t endsAt = 0;
    };
    struct Event
    {
        std::uint64_t revision = 0;
        std::string key;
        Json body;
        std::int64_t at = 0;
    };
    static constexpr std::int64_t historyMs = 20'000;
    static constexpr std::size_t pageItems = 500;

    static Json render(const std::string &key, const Item &item)
    {
        return {{"key", key},
                {"value", encode(item.value)},
                {"mod-rev", item.modified},
                {"created", item.created},
                {"lease-id", item.lease}};
    }

    void record(const std::string &key, Json body)
    {
        events_.push_back({revision_, key, std::move(body), steadyMs()});
        while (steadyMs() - events_.front().at > historyMs) {
            compacted_ = events_.front().revision;
            events_.pop_front();
        }
        changed_.notify_all();
    }

    void write(const std::string &key, const std::string &value, std::uint64_t lease)
    {
        Item &item = items_[key];
        item.value = value;
        item.modified = revision_;
        item.created = item.created == 0 ? revision_ : item.created;
        item.lease = lease;
        record(key, render(key, item));
    }

    void erase(const std::string &key)
    {
        if (items_.erase(key) > 0)
            record(key, {{"key", key}, {"mod-rev", revision_}, {"deleted", true}});
    }

    void end(std::uint64_t lease)
    {
        leases_.erase(lease);
        std::vector<std::string> keys;
        for (const auto &[key, item] : items_) {
            if (item.lease == lease)
                keys.push_back(key);
        }
        if (!keys.empty())
            ++revision_;
        for (const std::string &key : keys)
            erase(key);
    }

    void expire()
    {
        std::vector<std::uint64_t> ended;
        for (const auto &[id, lease] : leases_) {
            if (lease.endsAt <= steadyMs())
                ended.push_back(id);
        }
        for (const std::uint64_t id : ended)
            end(id);
    }

    Answer serveOperator(const Request &request, const std::map<std::string, std::string> &query)
    {
        if (const auto address = query.find("silence"); address != query.end()) {
            silentUntil_[address->second] = steadyMs() + std::atoll(query.at("ms").c_str());
            return {200, nullptr};
        }
        const std::string key = query.at("key");
        if (request.method == "PUT") {
            ++revision_;
            write(key, request.body, 0);
            return {200, {{"mod-rev", revision_}}};
        }
        const auto found = items_.find(key);
        if (found == items_.end())
            return {404, nullptr};
        return {200, found->second.value};
    }

    Answer get(const std::string &key)
    {
        const auto found = items_.find(key);
        if (found == items_.end())
            return {404, nullptr};
        Json body = render(key, found->second);
        body["at-rev"] = revision_;
        return {200, body};
    }

    Answer list(const std::map<std::string, std::string> &query)
    {
        const std::string prefix = query.at("prefix");
        const auto after = query.find("after");
        Json items = Json::array();
        bool hasMore = false;
        for (auto item = items_.lower_bound(prefix);
             item != items_.end() && item->first.compare(0, prefix.size(), prefix) == 0; ++item) {
            if (after != query.end() && item->first <= after->second)
                continue;
            if (items.size() == pageItems) {
                hasMore = true;
                break;
            }
            items.push_back(render(item->first, item->second));
        }
        return {200, {{"items", items}, {"has-more", hasMore}, {"at-rev", revision_}}};
    }

    Answer watch(const std::map<std::string, std::string> &query)
    {
        const std::string prefix = query.at("prefix");
        const std::uint64_t after = std::strtoull(query.at("after").c_str(), nullptr, 10);
        const std::int64_t until = steadyMs() + std::atoll(query.at("wait-ms").c_str());
        std::unique_lock lock(mutex_);
        while (true) {
            if (after < compacted_)
                return {410, nullptr};
            Json events = Json::array();
            for (const Event &event : events_) {
                if (event.revision > after && event.key.compare(0, prefix.size(), prefix) == 0)
                    events.push_back(event.body);
            }
            const std::int64_t left = until - steadyMs();
            if (!events.empty() || left <= 0)
                return {200, {{"events", events}, {"at-rev", revision_}}};
            changed_.wait_for(lock, std::chrono::milliseconds(left));
        }
    }

    Answer transact(const Json &body)
    {
        Json current = Json::array();
        bool holds = true;
        for (const Json &row : body.value("expect-rev", Json::array())) {
            const auto key = row.at("key").get<std::string>();
            const auto found = items_.find(key);
            const std::uint64_t modified = found == items_.end() ? 0 : found->second.modified;
            holds = holds && modified == row.at("mod-rev").get<std::uint64_t>();
            if (found != items_.end())
                current.push_back(render(key, found->second));
        }
        if (!holds)
            return {412, {{"items", current}}};
        for (const Json &put : body.value("puts", Json::array())) {
            const std::string key = put.at("key").get<std::string>();
            if (key.starts_with("op/") || key.starts_with("servers/"))
                return {403, nullptr};
            const auto lease = put.value("lease-id", std::uint64_t(0));
            if (lease != 0 && !leases_.contains(lease))
                return {404, nullptr};
        }
        ++revision_;
        for (const Json &put : body.value("puts", Json::array()))
            write(put.at("key").get<std::string>(), decode(put.at("value").get<std::string>()),
                  put.value("lease-id", std::uint64_t(0)));
        for (const Json &key : body.value("remove", Json::array()))
            erase(key.get<std::string>());
        return {200, {{"mod-rev", revision_}}};
    }

    Answer grant(const Json &body)
    {
        const auto text = body.at("ttl_time").get<std::string>();
        const double number = std::atof(text.c_str());
        const auto ttl = static_cast<std::int64_t>(text.ends_with("ms") ? number : number * 1000.0);
        const std::uint64_t id = ++lastLease_;
        leases_[id] = {ttl, steadyMs() + ttl};
        return {200, {{"lease-id", id}, {"ttl_time", std::to_string(ttl) + "ms"}}};
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Item> items_;
    std::map<std::uint64_t, Lease> leases_;
    std::deque<Event> events_;
    // Until when the machine that calls at an address gets no response.
    std::map<std::string, std::int64_t> silentUntil_;
    std::uint64_t revision_ = 1;
    std::uint64_t compacted_ = 0;
    std::uint64_t lastLease_ = 77'000;
};

Store store;

std::string answerTo(const Request &request)
{
    Store::Answer answer;
    try {
        answer = store.serve(request);
    } catch (const std::exception &error) {
        std::fprintf(stderr, "%s: %s\n", request.startLine.c_str(), error.what());
        answer = {400, nullptr};
    }
    const std::string body = answer.body.is_null() ? std::string()
            : answer.body.is_string()              ? answer.body.get<std::string>()
                                                   : answer.body.dump();
    return render("HTTP/1.1 " + std::to_string(answer.status) + " Status",
                  {{"Content-Type", "application/json"}, {"Store-Era", "1"}}, body);
}

void serve(int socket, const std::string &address)
{
    Reader reader(socket);
    bool isLost = false;
    while (const auto request = reader.readRequest()) {
        const std::string bytes = answerTo(*request);
        isLost = isLost || store.isSilent(address);
        if (!isLost && !sendAll(socket, bytes))
            return;
    }
}

} // namespace standin

int main(int argc, char **argv)
{
    using namespace standin;
    std::signal(SIGPIPE, SIG_IGN);
    const Flags flags(argc, argv);
    std::thread([] { store.tick(); }).detach();
    // One address for each machine, and one for the operator, separated by commas.
    std::string addresses = flags.text("listen");
    while (!addresses.empty()) {
        const std::size_t comma = std::min(addresses.find(','), addresses.size());
        const std::string address = addresses.substr(0, comma);
        addresses.erase(0, comma + 1);
        const int listener = listenOn(address);
        std::thread([listener, address] {
            acceptAll(listener, [address](int socket) { serve(socket, address); });
        }).detach();
    }
    while (true)
        pause();
}
