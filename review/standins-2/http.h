// Blocking HTTP/1.1 over plain sockets for the stand-ins: one thread a connection.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace standin {

using Headers = std::map<std::string, std::string>;

inline std::int64_t wallMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
}

inline std::int64_t steadyMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::steady_clock::now().time_since_epoch())
            .count();
}

inline void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

inline sockaddr_in parseAddress(const std::string &text)
{
    sockaddr_in address{};
    const std::size_t colon = text.rfind(':');
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1)));
    if (colon == std::string::npos
        || inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) != 1) {
        std::fprintf(stderr, "not an address: %s\n", text.c_str());
        std::exit(2);
    }
    return address;
}

inline int listenOn(const std::string &address)
{
    const sockaddr_in at = parseAddress(address);
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (bind(socket, reinterpret_cast<const sockaddr *>(&at), sizeof at) != 0
        || listen(socket, 256) != 0) {
        std::fprintf(stderr, "cannot listen on %s: %s\n", address.c_str(), std::strerror(errno));
        std::exit(2);
    }
    return socket;
}

inline int connectTo(const std::string &address, int receiveBuffer = 0)
{
    const sockaddr_in to = parseAddress(address);
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (receiveBuffer > 0)
        setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
    if (connect(socket, reinterpret_cast<const sockaddr *>(&to), sizeof to) != 0) {
        close(socket);
        return -1;
    }
    return socket;
}

inline bool sendAll(int socket, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t size = send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0)
            return false;
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

inline std::string header(const Headers &headers, const std::string &name)
{
    const auto found = headers.find(lower(name));
    return found == headers.end() ? std::string() : found->second;
}

struct Message
{
    std::string startLine;
    Headers headers;
    std::string body;
};

struct Request : Message
{
    std::string method;
    std::string target;
};

// Reads messages from one connection.
class Reader
{
public:
    explicit Reader(int socket) : socket_(socket) { }

    std::optional<Message> readHead()
    {
        std::size_t end = std::string::npos;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
            if (!fill())
                return std::nullopt;
        }
        Message message;
        std::size_t line = buffer_.find("\r\n");
        message.startLine = buffer_.substr(0, line);
        while (line < end) {
            const std::size_t next = buffer_.find("\r\n", line + 2);
            const std::string field = buffer_.substr(line + 2, next - line - 2);
            const std::size_t colon = field.find(':');
            if (colon != std::string::npos) {
                std::size_t value = field.find_first_not_of(' ', colon + 1);
                if (value == std::string::npos)
                    value = field.size();
                message.headers[lower(field.substr(0, colon))] = field.substr(value);
            }
            line = next;
        }
        buffer_.erase(0, end + 4);
        return message;
    }

    bool readBody(Message &message)
    {
        const std::size_t size
                = std::strtoull(header(message.headers, "Content-Length").c_str(), nullptr, 10);
        while (buffer_.size() < size) {
            if (!fill())
                return false;
        }
        message.body = buffer_.substr(0, size);
        buffer_.erase(0, size);
        return true;
    }

    std::optional<Request> readRequest()
    {
        std::optional<Message> head = readHead();
        if (!head || !readBody(*head))
            return std::nullopt;
        Request request;
        static_cast<Message &>(request) = std::move(*head);
        const std::size_t first = request.startLine.find(' ');
        const std::size_t second = request.startLine.find(' ', first + 1);
        if (first == std::string::npos || second == std::string::npos)
            return std::nullopt;
        request.method = request.startLine.substr(0, first);
        request.target = request.startLine.substr(first + 1, second - first - 1);
        return request;
    }

    std::string takeBuffered() { return std::exchange(buffer_, {}); }

private:
    bool fill()
    {
        static thread_local char bytes[65536];
        const ssize_t size = recv(socket_, bytes, sizeof bytes, 0);
        if (size <= 0)
            return false;
        buffer_.append(bytes, static_cast<std::size_t>(size));
        return true;
    }

    int socket_;
    std::string buffer_;
};

inline std::string render(const std::string &startLine, const Headers &headers,
                          const std::string &body)
{
    std::string bytes = startLine + "\r\n";
    for (const auto &[name, value] : headers)
        bytes += name + ": " + value + "\r\n";
    return bytes + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string unescape(const std::string &text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
            i += 2;
        } else {
            out += text[i] == '+' ? ' ' : text[i];
        }
    }
    return out;
}

inline std::map<std::string, std::string> queryOf(const std::string &target)
{
    std::map<std::string, std::string> values;
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
        const std::size_t next = target.find('&', at + 1);
        const std::string pair
                = target.substr(at + 1, next == std::string::npos ? next : next - at - 1);
        const std::size_t equals = pair.find('=');
        if (equals != std::string::npos)
            values[unescape(pair.substr(0, equals))] = unescape(pair.substr(equals + 1));
        at = next;
    }
    return values;
}

// Accepts connections for ever, each served by a thread of its own.
inline void acceptAll(int listener, const std::function<void(int)> &serve)
{
    while (true) {
        const int socket = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0)
            continue;
        const int on = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread([serve, socket] {
            serve(socket);
            close(socket);
        }).detach();
    }
}

/// The flags `--name value` of a command line.
class Flags
{
public:
    Flags(int argc, char **argv)
    {
        for (int i = 1; i + 1 < argc; i += 2)
            values_[argv[i]] = argv[i + 1];
    }
    std::string text(const std::string &name, const std::string &fallback = {}) const
    {
        const auto found = values_.find("--" + name);
        return found == values_.end() ? fallback : found->second;
    }
    std::int64_t number(const std::string &name, std::int64_t fallback) const
    {
        const std::string value = text(name);
        return value.empty() ? fallback : std::atoll(value.c_str());
    }

private:
    std::map<std::string, std::string> values_;
};

} // namespace standin
