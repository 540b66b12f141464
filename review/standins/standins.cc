// Implements the stand-ins.
#include "standins.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <memory>
#include <random>
#include <sstream>

#include <nlohmann/json.hpp>

namespace review {

using nlohmann::json;

namespace {

constexpr int heartbeatMs = 870;
constexpr int firstPort = 8300;

bool isSameName(const std::string &left, const std::string &right)
{
    return left.size() == right.size()
            && std::equal(left.begin(), left.end(), right.begin(),
                          [](char a, char b) { return std::tolower(a) == std::tolower(b); });
}

std::string unescape(const std::string &text)
{
    std::string plain;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            plain += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            plain += text[i];
        }
    }
    return plain;
}

const char base64Digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string toBase64(const std::string &bytes)
{
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k)
            group = group << 8
                    | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0);
        for (std::size_t k = 0; k < 4; ++k)
            text += i + k <= bytes.size() ? base64Digits[group >> (18 - 6 * k) & 63] : '=';
    }
    return text;
}

std::string fromBase64(const std::string &text)
{
    std::string bytes;
    std::uint32_t group = 0;
    int bits = 0;
    for (const char c : text) {
        const char *digit = std::strchr(base64Digits, c);
        if (c == '=' || !digit)
            break;
        group = group << 6 | static_cast<std::uint32_t>(digit - base64Digits);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(group >> bits & 255);
        }
    }
    return bytes;
}

std::mutex recordMutex;
std::ofstream recordFile;
const auto startTime = std::chrono::steady_clock::now();

/// Starts processes from one thread that lives as long as the program: a child is told to end when
/// the thread that started it ends.
class Spawner
{
public:
    pid_t spawn(const std::vector<char *> &arguments, const std::string &log)
    {
        const std::lock_guard one(callers_);
        std::unique_lock lock(mutex_);
        arguments_ = &arguments;
        log_ = log;
        changed_.notify_all();
        changed_.wait(lock, [this] { return !arguments_; });
        return pid_;
    }

private:
    void work()
    {
        std::unique_lock lock(mutex_);
        while (true) {
            changed_.wait(lock, [this] { return arguments_ != nullptr; });
            pid_ = start();
            arguments_ = nullptr;
            changed_.notify_all();
        }
    }

    pid_t start() const
    {
        const pid_t parent = getpid();
        const pid_t child = fork();
        if (child != 0)
            return child;
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent)
            _exit(1);
        const int out = open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(out, STDOUT_FILENO);
        dup2(out, STDERR_FILENO);
        execv((*arguments_)[0], arguments_->data());
        _exit(127);
    }

    std::mutex callers_;
    std::mutex mutex_;
    std::condition_variable changed_;
    const std::vector<char *> *arguments_ = nullptr;
    std::string log_;
    pid_t pid_ = -1;
    std::thread thread_{[this] { work(); }};
};

Spawner &spawner()
{
    static auto *const instance = new Spawner;
    return *instance;
}

bool isFree(const Endpoint &endpoint)
{
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(endpoint.port));
    inet_pton(AF_INET, endpoint.ip.c_str(), &address.sin_addr);
    const bool bound = bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0;
    close(fd);
    return bound;
}

} // namespace

std::int64_t elapsedMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now()
                                                                 - startTime)
            .count();
}

std::int64_t wallClockMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
}

void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

void Record::open(const std::string &path)
{
    signal(SIGPIPE, SIG_IGN);
    recordFile.open(path);
}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(recordMutex);
    recordFile << elapsedMs() << " ms  " << text << std::endl;
}

std::string Message::header(const std::string &name) const
{
    for (const auto &[key, value] : headers) {
        if (isSameName(key, name))
            return value;
    }
    return {};
}

std::vector<std::string> Message::allHeaders(const std::string &name) const
{
    std::vector<std::string> values;
    for (const auto &[key, value] : headers) {
        if (isSameName(key, name))
            values.push_back(value);
    }
    return values;
}

std::string Message::method() const
{
    return startLine.substr(0, startLine.find(' '));
}

std::string Message::target() const
{
    const std::size_t begin = startLine.find(' ') + 1;
    return startLine.substr(begin, startLine.rfind(' ') - begin);
}

std::string Message::path() const
{
    const std::string text = target();
    return text.substr(0, text.find('?'));
}

std::string Message::query(const std::string &name) const
{
    const std::string text = target();
    const std::size_t mark = text.find('?');
    if (mark == std::string::npos)
        return {};
    std::istringstream parts(text.substr(mark + 1));
    std::string part;
    while (std::getline(parts, part, '&')) {
        if (part.substr(0, part.find('=')) == name)
            return unescape(part.substr(part.find('=') + 1));
    }
    return {};
}

Stream::~Stream()
{
    if (socket_ >= 0)
        close(socket_);
}

void Stream::reset()
{
    const linger abort{1, 0};
    setsockopt(socket_, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
    close(std::exchange(socket_, -1));
}

bool Stream::fill()
{
    char bytes[65536];
    const ssize_t count = recv(socket_, bytes, sizeof bytes, 0);
    if (count <= 0)
        return false;
    buffer_.append(bytes, static_cast<std::size_t>(count));
    return true;
}

std::optional<Message> Stream::read()
{
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
        if (!fill())
            return std::nullopt;
    }
    Message message;
    std::istringstream head(buffer_.substr(0, end));
    buffer_.erase(0, end + 4);
    std::string line;
    while (std::getline(head, line)) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        if (message.startLine.empty()) {
            message.startLine = line;
            continue;
        }
        const std::size_t colon = line.find(':');
        std::string value = colon == std::string::npos ? "" : line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        message.headers.emplace_back(line.substr(0, colon), value);
    }
    const std::string length = message.header("Content-Length");
    const std::size_t size = length.empty() ? 0 : std::stoull(length);
    while (buffer_.size() < size) {
        if (!fill())
            return std::nullopt;
    }
    message.body = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return message;
}

bool Stream::write(const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

Listener::Listener(const Endpoint &endpoint, std::function<void(Stream &)> serve)
    : serve_(std::move(serve))
{
    socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(endpoint.port));
    inet_pton(AF_INET, endpoint.ip.c_str(), &address.sin_addr);
    if (bind(socket_, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
        || listen(socket_, 512) != 0) {
        std::fprintf(stderr, "cannot listen on %s\n", endpoint.text().c_str());
        std::exit(exitCouldNotRun);
    }
    thread_ = std::thread([this] { accept(); });
}

Listener::~Listener()
{
    stop();
}

void Listener::accept()
{
    while (!isStopped_) {
        pollfd entry{socket_, POLLIN, 0};
        if (poll(&entry, 1, 20) <= 0)
            continue;
        const int fd = accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0)
            continue;
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        {
            const std::lock_guard lock(mutex_);
            open_.push_back(fd);
            ++connections_;
        }
        std::thread([this, fd] {
            {
                Stream stream(fd);
                serve_(stream);
                const std::lock_guard lock(mutex_);
                open_.erase(std::find(open_.begin(), open_.end(), fd));
            }
            const std::lock_guard lock(mutex_);
            --connections_;
            idle_.notify_all();
        }).detach();
    }
}

void Listener::stop()
{
    if (isStopped_.exchange(true))
        return;
    thread_.join();
    close(socket_);
    std::unique_lock lock(mutex_);
    for (const int fd : open_)
        shutdown(fd, SHUT_RDWR);
    idle_.wait_for(lock, std::chrono::seconds(20), [this] { return connections_ == 0; });
}

std::string responseText(int status, const Headers &headers, const std::string &body)
{
    std::string text
            = "HTTP/1.1 " + std::to_string(status) + (status < 300 ? " OK" : " Error") + "\r\n";
    for (const auto &[name, value] : headers)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string requestText(const std::string &method, const std::string &target,
                        const Headers &headers, const std::string &body)
{
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : headers)
        text += name + ": " + value + "\r\n";
    if (!body.empty() || method != "GET")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

int connectTo(const Endpoint &to, int timeoutMs)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(to.port));
    inet_pton(AF_INET, to.ip.c_str(), &address.sin_addr);
    timeval limit{timeoutMs / 1000, timeoutMs % 1000 * 1000};
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

Answer call(const Endpoint &to, const std::string &method, const std::string &target,
            const Headers &headers, const std::string &body, int timeoutMs)
{
    Answer answer;
    const int fd = connectTo(to, timeoutMs);
    if (fd < 0) {
        answer.failure = "not connected";
        return answer;
    }
    Stream stream(fd);
    Headers all = headers;
    if (std::none_of(all.begin(), all.end(),
                     [](const auto &h) { return isSameName(h.first, "Host"); }))
        all.emplace_back("Host", to.text());
    stream.write(requestText(method, target, all, body));
    const std::optional<Message> response = stream.read();
    if (!response) {
        answer.failure = "no complete answer";
        return answer;
    }
    answer.message = *response;
    answer.status = std::atoi(response->startLine.substr(9, 3).c_str());
    return answer;
}

std::string newRequestId()
{
    static std::mutex mutex;
    static std::mt19937_64 random(std::random_device{}());
    const std::lock_guard lock(mutex);
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
    return text;
}

Store::Store(const Endpoint &endpoint)
{
    listener_ = std::make_unique<Listener>(endpoint, [this](Stream &stream) { serve(stream); });
}

void Store::serve(Stream &stream)
{
    while (const std::optional<Message> request = stream.read()) {
        const bool delivers = !deliversAnswer || deliversAnswer(*request);
        const std::string response = respond(*request);
        // A connection on which a response is lost returns nothing further.
        if (!delivers) {
            while (stream.read()) { }
            return;
        }
        if (!stream.write(response))
            return;
    }
}

std::string Store::respond(const Message &request)
{
    const std::string path = request.path();
    if (path == "/kv-watch")
        return watch(request);
    sleepMs(4);
    const std::lock_guard lock(mutex_);
    endLeases();
    if (path == "/kv-range")
        return list(request);
    if (path == "/kv-key") {
        const auto item = items_.find(request.query("key"));
        if (item == items_.end())
            return responseText(404, {}, "{}");
        return responseText(200, {},
                            json{{"key", item->first},
                                 {"value", toBase64(item->second.value)},
                                 {"mod-rev", item->second.modRev},
                                 {"created", item->second.created},
                                 {"lease-id", item->second.lease},
                                 {"at-rev", revision_}}
                                    .dump());
    }
    if (path == "/kv-txn")
        return transact(request.body);
    if (path == "/kv-lease") {
        const std::string ttl = json::parse(request.body).at("ttl_time").get<std::string>();
        const std::int64_t ttlMs = std::atoll(ttl.c_str());
        leases_[++lastLease_] = Lease{ttlMs, elapsedMs() + ttlMs};
        return responseText(200, {}, json{{"lease-id", lastLease_}, {"ttl_time", ttl}}.dump());
    }
    const std::string id = path.substr(path.rfind('/') + 1);
    const auto lease = leases_.find(std::strtoull(id.c_str(), nullptr, 10));
    if (lease == leases_.end())
        return responseText(404, {}, "{}");
    if (path.rfind("/kv-keep/", 0) == 0) {
        lease->second.endsAt = elapsedMs() + lease->second.ttlMs;
        return responseText(200, {},
                            json{{"ttl_time", std::to_string(lease->second.ttlMs) + "ms"}}.dump());
    }
    lease->second.endsAt = 0;
    endLeases();
    return responseText(200, {}, "{}");
}

std::string Store::list(const Message &request)
{
    const std::string prefix = request.query("prefix");
    const std::string after = request.query("after");
    json items = json::array();
    for (const auto &[key, item] : items_) {
        if (key.rfind(prefix, 0) == 0 && key > after)
            items.push_back({{"key", key},
                             {"value", toBase64(item.value)},
                             {"mod-rev", item.modRev},
                             {"created", item.created},
                             {"lease-id", item.lease}});
    }
    return responseText(200, {},
                        json{{"items", items}, {"has-more", false}, {"at-rev", revision_}}.dump());
}

std::string Store::watch(const Message &request)
{
    const std::string prefix = request.query("prefix");
    const std::uint64_t after = std::strtoull(request.query("after").c_str(), nullptr, 10);
    const std::int64_t until = elapsedMs() + std::atoll(request.query("wait-ms").c_str());
    std::unique_lock lock(mutex_);
    json events = json::array();
    while (events.empty() && elapsedMs() < until) {
        endLeases();
        for (const Event &event : history_) {
            if (event.item.modRev <= after || event.item.key.rfind(prefix, 0) != 0)
                continue;
            if (event.isDeleted)
                events.push_back({{"key", event.item.key},
                                  {"mod-rev", event.item.modRev},
                                  {"deleted", true}});
            else
                events.push_back({{"key", event.item.key},
                                  {"value", toBase64(event.item.value)},
                                  {"mod-rev", event.item.modRev},
                                  {"created", event.item.created},
                                  {"lease-id", event.item.lease}});
        }
        if (events.empty())
            changed_.wait_for(lock, std::chrono::milliseconds(50));
    }
    return responseText(200, {}, json{{"events", events}, {"at-rev", revision_}}.dump());
}

std::string Store::transact(const std::string &body)
{
    const json call = json::parse(body);
    json current = json::array();
    bool holds = true;
    for (const json &row : call.at("expect-rev")) {
        const auto item = items_.find(row.at("key").get<std::string>());
        const std::uint64_t modRev = item == items_.end() ? 0 : item->second.modRev;
        holds = holds && modRev == row.at("mod-rev").get<std::uint64_t>();
        if (item != items_.end())
            current.push_back({{"key", item->first},
                               {"value", toBase64(item->second.value)},
                               {"mod-rev", modRev}});
    }
    if (!holds)
        return responseText(412, {}, json{{"items", current}}.dump());
    for (const json &row : call.at("puts")) {
        const std::uint64_t lease = row.value("lease-id", std::uint64_t{0});
        if (lease != 0 && !leases_.contains(lease))
            return responseText(404, {}, "{}");
        const std::string key = row.at("key").get<std::string>();
        if (key.rfind("op/", 0) == 0 || key.rfind("servers/", 0) == 0)
            return responseText(403, {}, "{}");
    }
    for (const json &row : call.at("puts"))
        write(row.at("key").get<std::string>(), fromBase64(row.at("value").get<std::string>()),
              row.value("lease-id", std::uint64_t{0}));
    for (const json &key : call.at("remove"))
        erase(key.get<std::string>());
    return responseText(200, {}, json{{"mod-rev", revision_}}.dump());
}

void Store::write(const std::string &key, const std::string &value, std::uint64_t lease)
{
    Item &item = items_[key];
    ++revision_;
    item = Item{key, value, revision_, item.created ? item.created : revision_, lease};
    history_.push_back(Event{item, false});
    if (key.rfind("status/", 0) == 0 || key.rfind("op/rollout", 0) == 0
        || key.find("/moves/") != std::string::npos)
        Record::line("store: " + key + " = " + value);
    changed_.notify_all();
}

void Store::erase(const std::string &key)
{
    if (items_.erase(key) == 0)
        return;
    ++revision_;
    history_.push_back(Event{Item{key, {}, revision_, 0, 0}, true});
    changed_.notify_all();
}

void Store::endLeases()
{
    for (auto lease = leases_.begin(); lease != leases_.end();) {
        if (lease->second.endsAt > elapsedMs()) {
            ++lease;
            continue;
        }
        std::vector<std::string> keys;
        for (const auto &[key, item] : items_) {
            if (item.lease == lease->first)
                keys.push_back(key);
        }
        for (const std::string &key : keys)
            erase(key);
        lease = leases_.erase(lease);
    }
}

void Store::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(mutex_);
    write(key, value, 0);
}

std::optional<std::string> Store::get(const std::string &key)
{
    const std::lock_guard lock(mutex_);
    const auto item = items_.find(key);
    return item == items_.end() ? std::nullopt : std::optional(item->second.value);
}

AppServer::AppServer(Host &host, std::string serverService, std::string serverId,
                     std::string serverVersion)
    : service(std::move(serverService)), id(std::move(serverId)), version(std::move(serverVersion)),
      host_(host)
{ }

AppServer::~AppServer()
{
    crash();
}

Endpoint AppServer::address() const
{
    return host_.app;
}

void AppServer::start()
{
    born = wallClockMs();
    sequence_ = 0;
    listener_ = std::make_unique<Listener>(host_.app, [this](Stream &stream) { serve(stream); });
    isBeating_ = true;
    beatThread_ = std::thread([this] { beats(); });
}

void AppServer::crash()
{
    isBeating_ = false;
    if (beatThread_.joinable())
        beatThread_.join();
    listener_.reset();
}

void AppServer::beats()
{
    while (isBeating_) {
        beat();
        for (int waited = 0; waited < heartbeatMs && isBeating_; waited += 30)
            sleepMs(30);
    }
}

void AppServer::beat()
{
    const json body = {
            {"address", host_.app.text()},
            {"born", born},
            {"server-info",
             {{"service", service}, {"version", version}, {"zone", host_.zone}, {"slots", slots}}},
            {"status",
             {{"state", isDraining ? "draining" : "ready"},
              {"seq", ++sequence_},
              {"cold-left", "0ms"}}}};
    review::call(host_.control, "PUT", "/instances/" + id, {{"Content-Type", "application/json"}},
                 body.dump(), 1000);
}

std::vector<Run> AppServer::runs()
{
    const std::lock_guard lock(mutex_);
    return runs_;
}

void AppServer::recordRun(const Message &request)
{
    const std::lock_guard lock(mutex_);
    runs_.push_back(Run{elapsedMs(), request.header("Cornelhead-Request-Id"), request.target(),
                        service, id, request.allHeaders("Cornelhead-Caller-Service")});
    Record::line("run at " + service + "/" + id + ": " + request.method() + " " + request.target()
                 + " id " + runs_.back().id);
}

std::string AppServer::defaultAnswer(const Message &request) const
{
    return responseText(200,
                        {{"Cornelhead-Request-Id", request.header("Cornelhead-Request-Id")},
                         {"Cornelhead-Server-Seal", "seal-" + id}},
                        service + "/" + id + " ran " + request.header("Cornelhead-Request-Id"));
}

void AppServer::serve(Stream &stream)
{
    while (const std::optional<Message> request = stream.read()) {
        if (request->path() == "/healthz") {
            stream.write(
                    responseText(isDraining ? 503 : 200, {{"Cornelhead-Instance-Id", id}}, ""));
            continue;
        }
        const std::string expected = request->header("Cornelhead-Expect-Instance");
        if (!expected.empty() && expected != id) {
            stream.write(responseText(421, {{"Cornelhead-Instance-Id", id}}, ""));
            continue;
        }
        if (answer) {
            if (!answer(*this, stream, *request))
                return;
            continue;
        }
        recordRun(*request);
        sleepMs(workMs);
        if (!stream.write(defaultAnswer(*request)))
            return;
    }
}

Host::Host(std::string hostName, std::string hostZone, std::string hostService, std::string ip,
           const Endpoint &store)
    : name(std::move(hostName)), zone(std::move(hostZone)),
      service(std::move(hostService)), app{ip, firstPort + 1}, outbound{ip, firstPort + 4},
      inbound{ip, firstPort}, readiness{ip, firstPort + 2}, control{ip, firstPort + 6},
      store_(store)
{
    server = std::make_unique<AppServer>(*this, service, "i-" + name, "v1");
}

Host::~Host()
{
    server.reset();
    signalSidecar(SIGKILL);
    waitForEnd(2000);
}

void Host::startSidecar()
{
    const char *program = std::getenv("SIDECAR");
    const std::string path = program ? program : "target/cornelhead-sidecar";
    const std::vector<std::string> words = {path,
                                            "--data-centre",
                                            zone,
                                            "--service",
                                            service,
                                            "--server",
                                            app.text(),
                                            "--outbound",
                                            outbound.text(),
                                            "--inbound",
                                            inbound.text(),
                                            "--readiness",
                                            readiness.text(),
                                            "--control",
                                            control.text(),
                                            "--platform",
                                            store_.text(),
                                            "--link-mbps",
                                            "1000.0",
                                            "--stop-timeout",
                                            stopTimeout,
                                            "--retry-ratio",
                                            "0.2",
                                            "--retry-window",
                                            "10s"};
    std::vector<char *> arguments;
    for (const std::string &word : words)
        arguments.push_back(const_cast<char *>(word.c_str()));
    arguments.push_back(nullptr);
    const char *logs = std::getenv("LOGS");
    const std::string log = logs ? std::string(logs) + "/" + name + ".log" : "/dev/null";
    pid = spawner().spawn(arguments, log);
    Record::line("sidecar " + name + " started, pid " + std::to_string(pid));
}

void Host::signalSidecar(int signal)
{
    if (pid > 0)
        ::kill(pid, signal);
}

bool Host::waitForEnd(int timeoutMs)
{
    const std::int64_t until = elapsedMs() + timeoutMs;
    while (pid > 0) {
        int status = 0;
        if (waitpid(pid, &status, WNOHANG) == pid) {
            Record::line("sidecar " + name + " ended"
                         + (WIFSIGNALED(status) ? " by signal " + std::to_string(WTERMSIG(status))
                                                : " with " + std::to_string(WEXITSTATUS(status))));
            pid = -1;
            return true;
        }
        if (elapsedMs() >= until)
            return false;
        sleepMs(2);
    }
    return true;
}

bool Host::isRunning()
{
    return pid > 0 && !waitForEnd(0);
}

bool Host::isReady()
{
    return call(readiness, "GET", "/readyz", {}, "", 500).status == 200;
}

bool Host::waitUntilReady(int timeoutMs)
{
    const std::int64_t until = elapsedMs() + timeoutMs;
    while (elapsedMs() < until) {
        if (isReady())
            return true;
        sleepMs(50);
    }
    return false;
}

double Host::memoryMb() const
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
    double size = 0;
    double resident = 0;
    file >> size >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

std::int64_t Host::processorMs() const
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string text;
    std::getline(file, text);
    std::istringstream fields(text.substr(std::min(text.size(), text.rfind(')') + 2)));
    std::string skipped;
    for (int i = 0; i < 11; ++i)
        fields >> skipped;
    long user = 0;
    long system = 0;
    fields >> user >> system;
    return (user + system) * 1000 / sysconf(_SC_CLK_TCK);
}

std::string configuration(unsigned version, const std::vector<RouteRow> &routes,
                          const std::vector<std::string> &services)
{
    json routeRows = json::array();
    for (const RouteRow &route : routes) {
        const json split = json::parse(route.split);
        routeRows.push_back({route.name, route.host, route.prefix, route.kind, route.timeout,
                             route.slo, 1, split.is_null() ? json(route.service) : json(nullptr),
                             route.attempts, split});
    }
    json serviceRows = json::array();
    for (const std::string &service : services)
        serviceRows.push_back({service, "/healthz", 120, "h1", false});
    char text[9];
    std::snprintf(text, sizeof text, "%08x", version);
    return json{{"version", text},
                {"routes",
                 {{"columns",
                   {"name", "host", "prefix", "kind", "timeout", "slo", "priority", "service",
                    "attempts", "split"}},
                  {"rows", routeRows}}},
                {"services",
                 {{"columns", {"name", "health-path", "max-conns", "protocol", "tls"}},
                  {"rows", serviceRows}}},
                {"limits",
                 {{"max-header-bytes", 16384},
                  {"max-body-bytes", 67108864},
                  {"header-timeout", "3000ms"},
                  {"idle-timeout", "15000ms"}}}}
            .dump();
}

Deployment::Deployment()
{
    std::mt19937 random(std::random_device{}());
    for (int attempt = 0; attempt < 50; ++attempt) {
        net_ = "127." + std::to_string(20 + random() % 200) + "." + std::to_string(random() % 250)
                + ".";
        storeEndpoint = Endpoint{net_ + "1", 8309};
        if (isFree(storeEndpoint))
            break;
    }
    store = std::make_unique<Store>(storeEndpoint);
}

Host &Deployment::add(const std::string &zone, const std::string &service)
{
    const std::string number = std::to_string(hosts.size() + 1);
    hosts.push_back(std::make_unique<Host>(service + "-" + number, zone, service,
                                           net_ + std::to_string(hosts.size() + 10),
                                           storeEndpoint));
    return *hosts.back();
}

bool Deployment::start()
{
    for (const auto &host : hosts)
        host->startSidecar();
    for (const auto &host : hosts)
        host->server->start();
    for (const auto &host : hosts) {
        if (!host->waitUntilReady(10000)) {
            Record::line("could not run: " + host->name + " isn't ready");
            return false;
        }
    }
    // Longer than `contact`, and until all hosts are known to all.
    sleepMs(4000);
    return true;
}

void Deployment::end(int status)
{
    for (const auto &host : hosts)
        host->signalSidecar(SIGKILL);
    for (const auto &host : hosts)
        host->waitForEnd(2000);
    Record::line("exit " + std::to_string(status));
    std::_Exit(status);
}

std::vector<Host *> Deployment::hostsOf(const std::string &service)
{
    std::vector<Host *> found;
    for (const auto &host : hosts) {
        if (host->service == service)
            found.push_back(host.get());
    }
    return found;
}

bool isTroubled()
{
    const char *trouble = std::getenv("TROUBLE");
    return !trouble || std::string(trouble) != "0";
}

} // namespace review
