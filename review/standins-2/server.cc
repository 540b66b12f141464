// A stand-in of a backend server, as PROTOCOL.md describes it, beside one sidecar.
//
// The last segment of a request's path says what running it takes: `work-MS-size-BYTES`, either
// part may be left out, or `crash`, which ends the process that runs it.  A parent process starts
// the server again after a crash, as another incarnation.
#include <condition_variable>
#include <fcntl.h>
#include <mutex>
#include <sys/prctl.h>
#include <sys/wait.h>

#include "http.h"

namespace standin {

struct ServerSettings
{
    std::string listen;
    std::string control;
    std::string service;
    std::string zone;
    std::string version;
    std::string health;
    std::string record;
    int slots = 4;
    int queue = 4;
    std::int64_t beatMs = 500;
    /// What is done with a request that finds no place in the queue: `shed` or `hang`.
    std::string onFull;
    /// Whether a request is dropped when its connection closes; most servers do, some don't.
    bool drops = true;
};

class Server
{
public:
    Server(ServerSettings settings, std::string id)
        : settings_(std::move(settings)), id_(std::move(id)), born_(wallMs())
    { }

    void run()
    {
        const int listener = listenOn(settings_.listen);
        note("start", id_, settings_.listen);
        std::thread([this] { beat(); }).detach();
        acceptAll(listener, [this](int socket) { serve(socket); });
    }

private:
    enum class Place { Slot, Full, TooLate };

    void note(const std::string &event, const std::string &id, const std::string &detail)
    {
        const std::string line = std::to_string(wallMs()) + " server=" + settings_.listen + " "
                + event + " " + id + " " + detail + "\n";
        const int file
                = open(settings_.record.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
        if (file < 0 || write(file, line.data(), line.size()) < 0)
            std::perror("record");
        close(file);
    }

    void beat()
    {
        for (std::uint64_t sequence = 1;; ++sequence) {
            const std::string body = R"({"address":")" + settings_.listen
                    + R"(","server-info":{"service":")" + settings_.service + R"(","version":")"
                    + settings_.version + R"(","zone":")" + settings_.zone + R"(","slots":)"
                    + std::to_string(settings_.slots) + R"(},"status":{"state":"ready","seq":)"
                    + std::to_string(sequence) + R"(,"cold-left":"0ms"},"born":)"
                    + std::to_string(born_) + "}";
            const int socket = connectTo(settings_.control);
            if (socket >= 0) {
                sendAll(socket,
                        render("PUT /instances/" + id_ + " HTTP/1.1",
                               {{"Host", settings_.control}, {"Content-Type", "application/json"}},
                               body));
                Reader(socket).readHead();
                close(socket);
            }
            sleepMs(settings_.beatMs);
        }
    }

    static bool isClosed(int socket)
    {
        pollfd entry{socket, POLLRDHUP, 0};
        return poll(&entry, 1, 0) > 0;
    }

    Place takePlace(std::int64_t until)
    {
        std::unique_lock lock(mutex_);
        if (running_ < settings_.slots) {
            ++running_;
            return Place::Slot;
        }
        if (queued_ >= settings_.queue)
            return Place::Full;
        ++queued_;
        const bool isFree = freed_.wait_for(lock, std::chrono::milliseconds(until - steadyMs()),
                                            [this] { return running_ < settings_.slots; });
        --queued_;
        running_ += isFree ? 1 : 0;
        return isFree ? Place::Slot : Place::TooLate;
    }

    void leavePlace()
    {
        const std::lock_guard lock(mutex_);
        --running_;
        freed_.notify_one();
    }

    void serve(int socket)
    {
        Reader reader(socket);
        while (const auto request = reader.readRequest()) {
            const std::string id = header(request->headers, "Cornelhead-Request-Id");
            const std::string path = request->target.substr(0, request->target.find('?'));
            const bool isHealth = path == settings_.health;
            const std::string expected = header(request->headers, "Cornelhead-Expect-Instance");
            if (!isHealth && !expected.empty() && expected != id_) {
                note("misdirected", id, path);
                if (!answer(socket, "421 Misdirected Request", {{"Cornelhead-Instance-Id", id_}},
                            {}))
                    return;
                continue;
            }
            const std::string limit = header(request->headers, "Cornelhead-Deadline-Ms");
            const std::int64_t until
                    = steadyMs() + (limit.empty() ? 10'000 : std::atoll(limit.c_str()));
            const Place place = takePlace(until);
            if (place != Place::Slot) {
                note(place == Place::Full ? "full" : "too-late", id, path);
                if (place == Place::Full && settings_.onFull == "hang") {
                    while (reader.readHead()) { }
                    return;
                }
                if (!answer(socket, "503 Service Unavailable",
                            {{"Cornelhead-Request-Id", id}, {"Cornelhead-Not-Executed", "1"}}, {}))
                    return;
                continue;
            }
            const bool isOpen = isHealth
                    ? answer(socket, "200 OK", {{"Cornelhead-Instance-Id", id_}}, "ok")
                    : work(socket, *request, id, path, until);
            leavePlace();
            if (!isOpen)
                return;
        }
    }

    // Returns whether the connection stays open.
    bool work(int socket, const Request &request, const std::string &id, const std::string &path,
              std::int64_t until)
    {
        note("run", id,
             request.method + " " + path
                     + " caller=" + header(request.headers, "Cornelhead-Caller-Service")
                     + " left=" + header(request.headers, "Cornelhead-Deadline-Ms"));
        const std::string order = path.substr(path.rfind('/') + 1);
        if (order == "crash") {
            note("crash", id, id_);
            _exit(1);
        }
        std::int64_t end = steadyMs() + amount(order, "work-", 20);
        const bool isLate = end > until;
        end = std::min(end, until);
        while (steadyMs() < end) {
            sleepMs(std::min<std::int64_t>(5, end - steadyMs()));
            if (settings_.drops && isClosed(socket)) {
                note("dropped", id, path);
                return false;
            }
        }
        const std::string body(static_cast<std::size_t>(amount(order, "size-", 20)), 'x');
        note("answer", id, isLate ? "504" : "200 bytes=" + std::to_string(body.size()));
        return answer(socket, isLate ? "504 Gateway Timeout" : "200 OK",
                      {{"Cornelhead-Request-Id", id},
                       {"Cornelhead-Server-Seal", "seal." + id + "." + id_}},
                      isLate ? "late" : body);
    }

    static std::int64_t amount(const std::string &order, const std::string &name,
                               std::int64_t fallback)
    {
        const std::size_t at = order.find(name);
        return at == std::string::npos ? fallback : std::atoll(order.c_str() + at + name.size());
    }

    static bool answer(int socket, const std::string &status, const Headers &headers,
                       const std::string &body)
    {
        return sendAll(socket, render("HTTP/1.1 " + status, headers, body));
    }

    const ServerSettings settings_;
    const std::string id_;
    const std::int64_t born_;
    std::mutex mutex_;
    std::condition_variable freed_;
    int running_ = 0;
    int queued_ = 0;
};

volatile std::sig_atomic_t currentChild = 0;

void onTerm(int)
{
    if (currentChild > 0)
        kill(currentChild, SIGKILL);
    _exit(0);
}

} // namespace standin

int main(int argc, char **argv)
{
    using namespace standin;
    const Flags flags(argc, argv);
    ServerSettings settings;
    settings.listen = flags.text("listen");
    settings.control = flags.text("control");
    settings.service = flags.text("service");
    settings.zone = flags.text("zone", "zone-a");
    settings.version = flags.text("version", "v1");
    settings.health = flags.text("health", "/healthz");
    settings.record = flags.text("record");
    settings.slots = static_cast<int>(flags.number("slots", 4));
    settings.queue = static_cast<int>(flags.number("queue", 4));
    settings.beatMs = flags.number("beat-ms", 500);
    settings.onFull = flags.text("on-full", "shed");
    settings.drops = flags.number("drops", 1) != 0;
    const std::int64_t backAfterMs = flags.number("back-after-ms", 3000);
    std::signal(SIGTERM, onTerm);
    for (int incarnation = 1;; ++incarnation) {
        const pid_t child = fork();
        if (child == 0) {
            std::signal(SIGTERM, SIG_DFL);
            std::signal(SIGPIPE, SIG_IGN);
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            Server(settings, flags.text("name", "i") + "-" + std::to_string(incarnation)).run();
        }
        currentChild = child;
        waitpid(child, nullptr, 0);
        currentChild = 0;
        sleepMs(backAfterMs);
    }
}
