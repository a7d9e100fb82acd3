// `gatetiller query`: a client; rows as a table, CSV or JSON lines, progress on a terminal.
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "cli/commands.hpp"
#include "cli/process.hpp"
#include "net/poll_loop.hpp"
#include "statement/client.hpp"
#include "statement/json.hpp"

namespace gatetiller::cli {
namespace {

struct Ask {
    std::string server = "http://127.0.0.1:8080", sql, user = "operator", source = "gatetiller-query",
                catalog, schema, format = "table";
    std::vector<std::string> tags, session;
    double patience = 300;
    int tries = 3;
};

std::string cell(const nlohmann::json& value) {
    return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string csv(const std::string& text) {
    if (text.find_first_of(",\"\n\r") == std::string::npos)
        return text;
    std::string out = "\"";
    for (const char c : text)
        out += c == '"' ? "\"\"" : std::string(1, c);
    return out + "\"";
}

// Rows as they come; the table's width is that of its first page.
class Printer {
public:
    explicit Printer(std::string format) : format_(std::move(format)) {}
    void take(const statement::Document& d) {
        if (!d.columns.empty() && names_.empty())
            for (const auto& column : nlohmann::json::parse(d.columns))
                names_.push_back(column.value("name", "?"));
        if (!d.has_rows())
            return;
        const auto rows = nlohmann::json::parse(d.data);
        if (!head_)
            head(rows);
        for (const auto& row : rows) {
            ++count_;
            if (format_ == "json") {
                nlohmann::ordered_json object;
                for (std::size_t i = 0; i < row.size() && i < names_.size(); ++i)
                    object[names_[i]] = row[i];
                std::printf("%s\n", object.dump().c_str());
                continue;
            }
            for (std::size_t i = 0; i < row.size(); ++i) {
                if (format_ == "csv")
                    std::printf("%s%s", i ? "," : "", csv(cell(row[i])).c_str());
                else
                    std::printf("%s%-*s", i ? " | " : "",
                                static_cast<int>(i < widths_.size() ? widths_[i] : 0), cell(row[i]).c_str());
            }
            std::printf("\n");
        }
    }
    std::size_t count() const {
        return count_;
    }

private:
    void head(const nlohmann::json& rows) {
        head_ = true;
        for (const auto& n : names_)
            widths_.push_back(n.size());
        for (const auto& row : rows)
            for (std::size_t i = 0; i < row.size() && i < widths_.size(); ++i)
                widths_[i] = std::max(widths_[i], cell(row[i]).size());
        if (format_ == "json")
            return;
        for (std::size_t i = 0; i < names_.size(); ++i) {
            if (format_ == "csv")
                std::printf("%s%s", i ? "," : "", csv(names_[i]).c_str());
            else
                std::printf("%s%-*s", i ? " | " : "", static_cast<int>(widths_[i]), names_[i].c_str());
        }
        std::printf("\n");
        if (format_ != "table")
            return;
        for (std::size_t i = 0; i < widths_.size(); ++i)
            std::printf("%s%s", i ? "-+-" : "", std::string(widths_[i], '-').c_str());
        std::printf("\n");
    }

    std::string format_;
    std::vector<std::string> names_;
    std::vector<std::size_t> widths_;
    bool head_ = false;
    std::size_t count_ = 0;
};

int ask(const Ask& q) {
    std::string host = q.server.starts_with("http://") ? q.server.substr(7) : q.server;
    if (!host.empty() && host.back() == '/')
        host.pop_back();
    const auto address = net::Address::parse(host);
    if (!address) {
        std::fprintf(stderr, "--server: %s\n", address.error().c_str());
        return 2;
    }
    http::Headers headers;
    headers.add("X-Trino-User", q.user);
    headers.add("X-Trino-Source", q.source);
    if (!q.catalog.empty())
        headers.add("X-Trino-Catalog", q.catalog);
    if (!q.schema.empty())
        headers.add("X-Trino-Schema", q.schema);
    for (const auto& tag : q.tags)
        headers.add("X-Trino-Client-Tags", tag);
    for (const auto& property : q.session)
        headers.add("X-Trino-Session", property);

    net::PollLoop loop;
    http::Client client(loop, *address,
                        {.limits = {.body = 256 << 20}, .connect_time_out = 5 * kSecondMicros});
    Printer printer(q.format);
    const bool terminal = isatty(STDERR_FILENO) != 0;
    int code = 1, tries = 0;
    std::unique_ptr<statement::StatementClient> statement;
    std::function<void()> go;
    const auto over = [&](const statement::ClientResult& r) {
        using How = statement::ClientResult::How;
        if (terminal)
            std::fprintf(stderr, "\r\033[K");
        // Turned away before it was taken: the protocol says to come back.
        const bool come_back = r.how == How::turned_away &&
                               (r.status == 429 || r.status == 502 || r.status == 503 || r.status == 504);
        if (come_back && ++tries < q.tries) {
            loop.after(r.retry_after > 0 ? r.retry_after : 75 * kMillisecond, go);
            return;
        }
        if (r.how != How::answered) {
            std::fprintf(stderr, "no answer from %s: %s%s\n", q.server.c_str(),
                         r.status ? ("status " + std::to_string(r.status) + ": ").c_str() : "",
                         r.text.c_str());
        } else if (r.last.error) {
            std::fprintf(stderr, "%s (%s): %s\n", r.last.error->name.c_str(), r.last.error->type.c_str(),
                         r.last.error->message.c_str());
        } else {
            code = 0;
            if (q.format == "table")
                std::printf("(%zu rows)\n", printer.count());
        }
        loop.stop();
    };
    go = [&] {
        statement = std::make_unique<statement::StatementClient>(
            loop, client, statement::EngineCallOptions{.answer_time_out = 30 * kSecondMicros});
        statement->start(headers, q.sql,
                         {[&](const statement::Document& d) {
                              printer.take(d);
                              if (terminal)
                                  std::fprintf(stderr, "\r\033[K%s %.0f%%", d.stats.state.c_str(),
                                               d.stats.progress.value_or(0));
                          },
                          over});
    };
    const auto hears = loop.on_signals({SIGINT, SIGTERM}, [&](int) {
        if (statement)
            statement->cancel();
        loop.after(50 * kMillisecond, [&] {
            loop.stop();
        });  // the DELETE goes out first
    });
    if (!hears)
        std::fprintf(stderr, "%s: it can't be interrupted\n", hears.error().c_str());
    loop.after(static_cast<Micros>(q.patience * kSecondMicros), [&] {
        std::fprintf(stderr, "no final answer within %g s: cancelled\n", q.patience);
        if (statement)
            statement->cancel();
        loop.after(50 * kMillisecond, [&] {
            loop.stop();
        });
    });
    go();
    loop.run();
    return code;
}

}  // namespace

void add_query(CLI::App& app, Common& common) {
    auto* cmd = app.add_subcommand("query", "ask a statement and print its rows");
    auto q = std::make_shared<Ask>();
    cmd->add_option("sql", q->sql, "the statement; - reads it from standard input")->required();
    cmd->add_option("--server", q->server, "http://host:port")->capture_default_str();
    cmd->add_option("--user", q->user, "as whom")->capture_default_str();
    cmd->add_option("--source", q->source, "as which program")->capture_default_str();
    cmd->add_option("--catalog", q->catalog, "default catalog");
    cmd->add_option("--schema", q->schema, "default schema");
    cmd->add_option("--tag", q->tags, "client tag; may be repeated");
    cmd->add_option("--session", q->session, "name=value; may be repeated");
    cmd->add_option("--format", q->format, "table, csv or json")
        ->check(CLI::IsMember({"table", "csv", "json"}))
        ->capture_default_str();
    cmd->add_option("--patience", q->patience, "seconds to wait for the final answer")->capture_default_str();
    cmd->footer("Example: gatetiller query --server http://127.0.0.1:8080 --format csv \"SELECT 1\"");
    cmd->callback([=, &common] {
        if (q->sql == "-") {
            std::string text(1 << 20, '\0');
            text.resize(std::fread(text.data(), 1, text.size(), stdin));
            q->sql = text;
        }
        common.code = ask(*q);
    });
}

}  // namespace gatetiller::cli
