// A stand-in of a client: sends one request on a new connection and tells how it ended.
//
// Prints one line: `id=ID status=STATUS complete=0|1 seal=0|1 bytes=BODY_BYTES of=CONTENT_LENGTH
// end=answered|closed|reset|timeout|refused ms=DURATION`.
#include "http.h"

namespace standin {

struct Outcome
{
    std::string status = "-";
    bool isComplete = false;
    bool hasSeal = false;
    std::uint64_t bytes = 0;
    std::uint64_t length = 0;
    const char *end = "closed";
};

// Reads a body at no more than `rate` bytes a second, as over a slow link; 0 for no limit.
void readBody(int socket, Reader &reader, std::int64_t rate, Outcome &outcome)
{
    outcome.bytes = reader.takeBuffered().size();
    const std::int64_t startedAt = steadyMs();
    static char bytes[65536];
    while (outcome.bytes < outcome.length) {
        if (rate > 0) {
            const auto due = static_cast<std::int64_t>(outcome.bytes) * 1000 / rate;
            sleepMs(std::max<std::int64_t>(0, startedAt + due - steadyMs()));
        }
        const ssize_t size = recv(socket, bytes, sizeof bytes, 0);
        if (size <= 0) {
            outcome.end = size == 0 ? "closed" : errno == EAGAIN ? "timeout" : "reset";
            return;
        }
        outcome.bytes += static_cast<std::uint64_t>(size);
    }
    outcome.isComplete = true;
    outcome.end = "answered";
}

Outcome call(const Flags &flags, int socket)
{
    Outcome outcome;
    Headers headers = {{"Host", flags.text("host", "site.example")},
                       {"Cornelhead-Request-Id", flags.text("id")}};
    if (!flags.text("deadline-ms").empty())
        headers["Cornelhead-Deadline-Ms"] = flags.text("deadline-ms");
    if (!flags.text("key").empty())
        headers["Authorization"] = "Bearer " + flags.text("key");
    const std::string method = flags.text("method", "GET");
    std::string body = flags.text("body");
    if (flags.number("body-bytes", 0) > 0)
        body.assign(static_cast<std::size_t>(flags.number("body-bytes", 0)), 'b');
    if (!sendAll(socket, render(method + " " + flags.text("path") + " HTTP/1.1", headers, body))) {
        outcome.end = "reset";
        return outcome;
    }
    Reader reader(socket);
    errno = 0;
    const auto head = reader.readHead();
    if (!head) {
        outcome.end = errno == EAGAIN ? "timeout" : errno == 0 ? "closed" : "reset";
        return outcome;
    }
    outcome.status = head->startLine.substr(9, 3);
    outcome.hasSeal = !header(head->headers, "Cornelhead-Server-Seal").empty();
    outcome.length = std::strtoull(header(head->headers, "Content-Length").c_str(), nullptr, 10);
    readBody(socket, reader, flags.number("read-rate", 0), outcome);
    return outcome;
}

} // namespace standin

int main(int argc, char **argv)
{
    using namespace standin;
    std::signal(SIGPIPE, SIG_IGN);
    const Flags flags(argc, argv);
    const std::int64_t startedAt = steadyMs();
    Outcome outcome;
    outcome.end = "refused";
    const int socket
            = connectTo(flags.text("to"), static_cast<int>(flags.number("receive-buffer", 0)));
    if (socket >= 0) {
        const timeval limit{flags.number("timeout-ms", 20'000) / 1000, 0};
        setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        outcome = call(flags, socket);
        close(socket);
    }
    std::printf("id=%s status=%s complete=%d seal=%d bytes=%llu of=%llu end=%s ms=%lld\n",
                flags.text("id").c_str(), outcome.status.c_str(), outcome.isComplete ? 1 : 0,
                outcome.hasSeal ? 1 : 0, static_cast<unsigned long long>(outcome.bytes),
                static_cast<unsigned long long>(outcome.length), outcome.end,
                static_cast<long long>(steadyMs() - startedAt));
    return outcome.isComplete ? 0 : 1;
}
