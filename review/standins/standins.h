// Stand-ins for the users' platform: the key-value store, backend servers, callers, and the control
// of sidecar processes.  Blocking sockets, one thread a connection.
#pragma once

#include <signal.h>
#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Headers = std::vector<std::pair<std::string, std::string>>;

struct Endpoint
{
    std::string ip;
    int port = 0;
    std::string text() const { return ip + ":" + std::to_string(port); }
};

/// A request or a response.
struct Message
{
    std::string startLine;
    Headers headers;
    std::string body;

    /// Returns the first value of a header, or an empty text.
    std::string header(const std::string &name) const;
    std::vector<std::string> allHeaders(const std::string &name) const;
    std::string method() const;
    /// The request target with its query.
    std::string target() const;
    std::string path() const;
    std::string query(const std::string &name) const;
};

/// Milliseconds since the start of this program.
std::int64_t elapsedMs();
std::int64_t wallClockMs();
void sleepMs(std::int64_t ms);

/// Writes what was sent, answered and run into record.txt.
class Record
{
public:
    static void open(const std::string &path);
    static void line(const std::string &text);
};

/// Buffered blocking reads and writes on one socket, which it closes.
class Stream
{
public:
    explicit Stream(int socket) : socket_(socket) { }
    ~Stream();
    Stream(const Stream &) = delete;
    Stream &operator=(const Stream &) = delete;

    /// Reads a message with a length; returns nothing if the connection ended before it was
    /// complete.
    std::optional<Message> read();
    bool write(const std::string &bytes);
    int socket() const { return socket_; }
    /// Closes the connection by a reset.
    void reset();

private:
    bool fill();

    int socket_;
    std::string buffer_;
};

/// Accepts connections and runs a handler for each on a thread of its own.
class Listener
{
public:
    Listener(const Endpoint &endpoint, std::function<void(Stream &)> serve);
    ~Listener();
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;
    /// Closes the listening socket and all connections.
    void stop();

private:
    void accept();

    int socket_ = -1;
    std::function<void(Stream &)> serve_;
    std::atomic<bool> isStopped_{false};
    std::mutex mutex_;
    std::vector<int> open_;
    std::condition_variable idle_;
    int connections_ = 0;
    std::thread thread_;
};

std::string responseText(int status, const Headers &headers, const std::string &body);

/// A response, or why there is none.
struct Answer
{
    int status = 0; // 0: no complete response.
    Message message;
    std::string failure;
};

/// Sends one request on a new connection.
Answer call(const Endpoint &to, const std::string &method, const std::string &target,
            const Headers &headers, const std::string &body, int timeoutMs);
/// Connects, or returns -1.
int connectTo(const Endpoint &to, int timeoutMs);
std::string requestText(const std::string &method, const std::string &target,
                        const Headers &headers, const std::string &body);
std::string newRequestId();

/// The platform's key-value store, as in PROTOCOL.md.
class Store
{
public:
    explicit Store(const Endpoint &endpoint);
    /// Writes a key as the operator does.
    void put(const std::string &key, const std::string &value);
    std::optional<std::string> get(const std::string &key);
    /// Is asked about each request before it is carried out; may delay it, and returns whether its
    /// answer is delivered.
    std::function<bool(const Message &)> deliversAnswer;
    void stop() { listener_->stop(); }

private:
    struct Item
    {
        std::string key;
        std::string value;
        std::uint64_t modRev = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct Event
    {
        Item item;
        bool isDeleted = false;
    };
    struct Lease
    {
        std::int64_t ttlMs = 0;
        std::int64_t endsAt = 0;
    };

    void serve(Stream &stream);
    std::string respond(const Message &request);
    std::string list(const Message &request);
    std::string watch(const Message &request);
    std::string transact(const std::string &body);
    void write(const std::string &key, const std::string &value, std::uint64_t lease);
    void erase(const std::string &key);
    void endLeases();

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Item> items_;
    std::vector<Event> history_;
    std::map<std::uint64_t, Lease> leases_;
    std::uint64_t revision_ = 100;
    std::uint64_t lastLease_ = 7000;
    std::unique_ptr<Listener> listener_;
};

struct Run
{
    std::int64_t atMs = 0;
    std::string id;
    std::string target;
    std::string service;
    std::string server;
    std::vector<std::string> callerServices;
};

class Host;

/// A backend server with its heartbeats.
class AppServer
{
public:
    AppServer(Host &host, std::string service, std::string id, std::string version);
    ~AppServer();
    void start();
    /// Ends all connections and the heartbeats, as a crash does.
    void crash();
    void beat();
    bool isUp() const { return static_cast<bool>(listener_); }

    std::string service;
    std::string id;
    std::string version;
    int workMs = 50;
    int slots = 12;
    std::atomic<bool> isDraining{false};
    /// Replaces the default answer; returns false if the connection is to be closed.
    std::function<bool(AppServer &, Stream &, const Message &)> answer;
    std::vector<Run> runs();
    void recordRun(const Message &request);
    std::string defaultAnswer(const Message &request) const;
    Endpoint address() const;
    std::int64_t born = 0;

private:
    void serve(Stream &stream);
    void beats();

    Host &host_;
    std::mutex mutex_;
    std::vector<Run> runs_;
    std::uint64_t sequence_ = 0;
    std::unique_ptr<Listener> listener_;
    std::thread beatThread_;
    std::atomic<bool> isBeating_{false};
};

/// A machine: a sidecar process beside a server.
class Host
{
public:
    Host(std::string name, std::string zone, std::string service, std::string ip,
         const Endpoint &store);
    ~Host();
    void startSidecar();
    void signalSidecar(int signal);
    /// Waits for the end of the process; returns whether it has ended.
    bool waitForEnd(int timeoutMs);
    bool isRunning();
    bool waitUntilReady(int timeoutMs);
    bool isReady();
    /// Resident memory of the sidecar in megabytes, 0 without a process.
    double memoryMb() const;
    /// Processor time used by the sidecar so far, in milliseconds.
    std::int64_t processorMs() const;

    const std::string name;
    const std::string zone;
    const std::string service;
    const Endpoint app;
    const Endpoint outbound;
    const Endpoint inbound;
    const Endpoint readiness;
    const Endpoint control;
    std::unique_ptr<AppServer> server;
    std::string stopTimeout = "6s";
    pid_t pid = -1;

private:
    Endpoint store_;
};

struct RouteRow
{
    std::string name;
    std::string host;
    std::string prefix;
    std::string kind;
    std::string timeout;
    std::string slo;
    std::string service;
    int attempts = 2;
    /// Instead of `service`, as JSON.
    std::string split = "null";
};

std::string configuration(unsigned version, const std::vector<RouteRow> &routes,
                          const std::vector<std::string> &services);

/// A deployment on loopback addresses of its own.
class Deployment
{
public:
    Deployment();
    Host &add(const std::string &zone, const std::string &service);
    /// Starts all servers and sidecars and waits until all are ready and announced.
    bool start();
    /// Ends all sidecars and this program.
    [[noreturn]] void end(int status);

    std::unique_ptr<Store> store;
    std::vector<std::unique_ptr<Host>> hosts;
    std::vector<Host *> hostsOf(const std::string &service);
    Endpoint storeEndpoint;

private:
    std::string net_;
};

/// Whether the disruption of the case is to take place.
bool isTroubled();
constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitCouldNotRun = 2;

} // namespace review
