#include "http/message.hpp"

namespace gatetiller::http {

std::string_view reason_phrase(int status) {
    switch (status) {
        case 100:
            return "Continue";
        case 200:
            return "OK";
        case 204:
            return "No Content";
        case 400:
            return "Bad Request";
        case 401:
            return "Unauthorized";
        case 404:
            return "Not Found";
        case 405:
            return "Method Not Allowed";
        case 408:
            return "Request Timeout";
        case 410:
            return "Gone";
        case 413:
            return "Content Too Large";
        case 414:
            return "URI Too Long";
        case 417:
            return "Expectation Failed";
        case 429:
            return "Too Many Requests";
        case 431:
            return "Request Header Fields Too Large";
        case 500:
            return "Internal Server Error";
        case 501:
            return "Not Implemented";
        case 502:
            return "Bad Gateway";
        case 503:
            return "Service Unavailable";
        case 504:
            return "Gateway Timeout";
        case 505:
            return "HTTP Version Not Supported";
        default:
            return "Status";
    }
}

namespace {

void append_fields(std::string& out, const Headers& headers) {
    for (const auto& [name, value] : headers)
        out.append(name).append(": ").append(value).append("\r\n");
}

}  // namespace

std::string write(const Request& request, std::string_view host) {
    std::string out;
    out.reserve(256 + request.body.size());
    out.append(request.method)
        .append(" ")
        .append(request.target)
        .append(" HTTP/1.1\r\nHost: ")
        .append(host)
        .append("\r\n");
    append_fields(out, request.headers);
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT")
        out.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
    return out.append("\r\n").append(request.body);
}

std::string write(const Response& response, bool close, bool head_only) {
    std::string out;
    out.reserve(256 + response.body.size());
    out.append("HTTP/1.1 ")
        .append(std::to_string(response.status))
        .append(" ")
        .append(reason_phrase(response.status))
        .append("\r\n");
    append_fields(out, response.headers);
    if (response.status != 204 && response.status >= 200)
        out.append("Content-Length: ").append(std::to_string(response.body.size())).append("\r\n");
    if (close)
        out.append("Connection: close\r\n");
    out.append("\r\n");
    return head_only || response.status == 204 ? out : out.append(response.body);
}

}  // namespace gatetiller::http
