// The exit codes and the whole error texts of bad configurations, for `serve --check` and `node`. Operators'
// scripts read them; the texts below are those of version 0.2.0.
#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>

namespace gatetiller {
namespace {

struct ProgramResult {
    int exit_code = -1;
    std::string output;  // standard output and standard error
};

// The program under test; GATETILLER_PROGRAM_UNDER_TEST names another one, to compare versions.
std::string program() {
    const char* other = std::getenv("GATETILLER_PROGRAM_UNDER_TEST");
    return other ? other : GATETILLER_PROGRAM;
}

ProgramResult run_program(const std::string& arguments) {
    ProgramResult result;
    FILE* pipe = popen((program() + " " + arguments + " 2>&1").c_str(), "r");
    if (!pipe)
        return result;
    char piece[4096];
    while (const std::size_t size = fread(piece, 1, sizeof piece, pipe))
        result.output.append(piece, size);
    result.exit_code = WEXITSTATUS(pclose(pipe));
    return result;
}

class ConfigErrorsTest : public ::testing::Test {
protected:
    ConfigErrorsTest() {
        std::string name = ::testing::TempDir() + "config-errors-XXXXXX";
        if (::mkdtemp(name.data()))
            folder_ = name;
    }
    ~ConfigErrorsTest() override {
        std::filesystem::remove_all(folder_);
    }

    std::string path(const std::string& file) const {
        return folder_ + "/" + file;
    }
    void write(const std::string& file, const std::string& text) const {
        std::ofstream(path(file)) << text;
    }
    // Runs the program with `@` standing for the folder of this test, on both sides.
    void expect_failure(const std::string& arguments, const std::string& expected) const {
        SCOPED_TRACE(arguments);
        ProgramResult result = run_program(replaced(arguments, "@", folder_));
        EXPECT_EQ(result.exit_code, 1);
        EXPECT_EQ(replaced(result.output, folder_, "@"), expected);
    }

private:
    static std::string replaced(std::string text, const std::string& from, const std::string& to) {
        for (std::size_t at = 0; (at = text.find(from, at)) != std::string::npos; at += to.size())
            text.replace(at, from.size(), to);
        return text;
    }

    std::string folder_;
};

class ServeConfigErrorsTest : public ConfigErrorsTest {
protected:
    // `members` are added to a configuration that is right but for them.
    void expect_error(const std::string& members, const std::string& expected) const {
        expect_text_error(
            "local g = import 'gatetiller.libsonnet';\n"
            "g.front('f') {\n"
            "  classes: { short: g.class('1s', '9s') }, kinds: { std: g.kind(8, '16GiB') },\n"
            "  engines: { e: g.engine('127.0.0.1:1') }, routes: [g.route('short')],\n"
            "} + {\n" +
                members + "\n}\n",
            expected);
    }
    void expect_text_error(const std::string& text, const std::string& expected) const {
        write("front.jsonnet", text);
        expect_failure("serve --config @/front.jsonnet --check", expected);
    }
};

TEST_F(ServeConfigErrorsTest, UnknownKeyNamesTheNearestOne) {
    expect_error("ledgr: { file: 'x' }", "@/front.jsonnet:6: ledgr: unknown key; did you mean 'ledger'?\n");
    expect_error("ledger: { file: 'x', flus: '1s' }",
                 "@/front.jsonnet:6: ledger.flus: unknown key; did you mean 'flush'?\n");
}

TEST_F(ServeConfigErrorsTest, WrongUnit) {
    expect_error("ledger: { file: 'x', flush: '100 parsecs' }",
                 "@/front.jsonnet:6: ledger.flush: '100 parsecs' is not a time: the unit is not known; write "
                 "a number and one of us, ms, s, m, h, d\n");
}

TEST_F(ServeConfigErrorsTest, WrongType) {
    expect_error("zone: 5", "@/front.jsonnet:6: zone: must be text in quotes, not 5\n");
}

TEST_F(ServeConfigErrorsTest, MissingMember) {
    expect_error("ledger: { keep: '1d' }", "@/front.jsonnet:6: ledger: 'file' is missing\n");
}

TEST_F(ServeConfigErrorsTest, UnknownClassInARoute) {
    expect_error("routes: [{ class: 'shrt' }]",
                 "@/front.jsonnet:6: routes.0.class: 'shrt' is not defined; defined are: short\n");
}

TEST_F(ServeConfigErrorsTest, TwoMistakesAtOnce) {
    expect_error("zone: 5, ledger: { file: 'x', waiting: 1 }",
                 "@/front.jsonnet:6: zone: must be text in quotes, not 5\n"
                 "@/front.jsonnet:6: ledger.waiting: 1 is out of range: 1000.0 to 100000000.0\n");
}

TEST_F(ServeConfigErrorsTest, OutOfRange) {
    expect_error("ledger: { file: 'x', flush: '1us' }",
                 "@/front.jsonnet:6: ledger.flush: must be between 1ms and 10s: it is what a killed front "
                 "may lose\n");
}

TEST_F(ServeConfigErrorsTest, WrongAddress) {
    expect_error("engines: { e: { address: 'nowhere', kind: 'std' } }",
                 "@/front.jsonnet:6: engines.e.address: address 'nowhere': the port is missing; forms: "
                 "127.0.0.1:8080, [::1]:8080, localhost:8080, unix:/path\n");
    expect_error("roster: { url: 'https://x/list' }",
                 "@/front.jsonnet:6: roster.url: must begin with http://\n");
}

TEST_F(ServeConfigErrorsTest, UnknownWord) {
    expect_error("engines: { e: { address: '127.0.0.1:1', kind: 'std', state: 'onn' } }",
                 "@/front.jsonnet:6: engines.e.state: 'onn' is not one of 'on', 'fading', 'off'\n");
    expect_error("log: { level: 'loud' }",
                 "@/front.jsonnet:6: log.level: 'loud' is not one of 'trace', 'debug', 'info', 'warn', "
                 "'error'\n");
}

TEST_F(ServeConfigErrorsTest, MissingSections) {
    expect_text_error("{ name: 'f' }\n",
                      "@/front.jsonnet:1: 'listen' is missing\n"
                      "@/front.jsonnet:1: 'classes' is missing\n"
                      "@/front.jsonnet:1: 'kinds' is missing\n"
                      "@/front.jsonnet:1: 'routes' is missing\n"
                      "@/front.jsonnet:1: classes: at least one class is needed\n"
                      "@/front.jsonnet:1: engines: no engine and no roster: name engines, or roster.file or "
                      "roster.url\n");
}

TEST_F(ServeConfigErrorsTest, SyntaxError) {
    expect_text_error("{ broken\n",
                      "STATIC ERROR: @/front.jsonnet:2:1: expected token OPERATOR but got end of file\n\n");
    expect_text_error("[1]\n", "@/front.jsonnet:1: must be an object { ... }\n");
}

TEST_F(ServeConfigErrorsTest, MissingFile) {
    expect_failure("serve --config @/nothing.jsonnet --check",
                   "@/nothing.jsonnet: cannot be read: No such file or directory\n");
    expect_text_error("import 'nothing.libsonnet'\n",
                      "RUNTIME ERROR: couldn't open import \"nothing.libsonnet\": @/nothing.libsonnet: "
                      "cannot be read: No such file or directory\n\t@/front.jsonnet:1:1-27\t\n\n");
}

class NodeConfigErrorsTest : public ConfigErrorsTest {
protected:
    using Json = nlohmann::json;

    // A configuration with one mistake: `value` in the place of what `pointer` names; null removes it.
    void expect_error(const std::string& pointer, const Json& value, const std::string& expected) const {
        Json config = Json::parse(kConfig);
        const Json::json_pointer place(pointer);
        if (value.is_null())
            config.at(place.parent_pointer()).erase(place.back());
        else
            config[place] = value;
        expect_text_error(config.dump(), expected);
    }
    void expect_text_error(const std::string& text, const std::string& expected) const {
        write("config.json", text);
        expect_failure("--log-level error node --config @/config.json", expected);
    }

    static constexpr const char* kConfig = R"({
      "name": "n0", "listen": "127.0.0.1:0", "seed": "0123456789abcdef", "dns": "127.0.0.1:1",
      "limits": {"cores": 0.5, "memory_mb": 32, "sockets": 256},
      "known": {"offset": 1, "batch": [{"topology": {"reset": true, "instances": [
        {"instanceId": "e1", "hostPort": "127.0.0.1:2", "zone": "z", "machineType": "std"}]}}]},
      "settings": {
        "classes": [{"name": "lookup", "aim_us": 1000000, "aim_stretch": 1.5, "deadline_us": 2000000,
                     "effect": "repeatable", "late_share": 0.5, "value": 1}],
        "tenants": [{"name": "acme", "quota_per_s": 500, "share": 1}],
        "kinds": ["std"], "zone": "z", "siblings": 2}})";
};

TEST_F(NodeConfigErrorsTest, MissingMember) {
    expect_error("/dns", nullptr, "configuration: dns is missing\n");
    expect_error("/settings", nullptr, "configuration: settings is missing\n");
    expect_text_error("[1]", "configuration: name is missing\n");
}

TEST_F(NodeConfigErrorsTest, WrongKindOfMember) {
    expect_error("/name", 5, "configuration: name must be text, not 5\n");
    expect_error("/limits/sockets", "many", "configuration: sockets must be a number, not \"many\"\n");
    expect_error("/settings/classes/0/aim_us", "soon",
                 "configuration: settings that cannot be read: [json.exception.type_error.302] type must be "
                 "number, but is string\n");
    expect_error("/settings/tenants", "acme",
                 "configuration: settings that cannot be read: [json.exception.type_error.304] cannot use "
                 "at() with string\n");
}

TEST_F(NodeConfigErrorsTest, WrongValue) {
    expect_error("/listen", "nowhere",
                 "configuration: listen: address 'nowhere': the port is missing; forms: 127.0.0.1:8080, "
                 "[::1]:8080, localhost:8080, unix:/path\n");
    expect_error("/seed", "xyz", "configuration: seed must be 16 hex digits, not 'xyz'\n");
    expect_error("/limits/cores", 0, "configuration: cores must be a number over 0\n");
    expect_error("/settings/classes", Json::array(), "configuration: settings.classes names no class\n");
}

TEST_F(NodeConfigErrorsTest, UnknownWord) {
    expect_error("/known/batch/0/topology/instances/0/lifecycle", "gone",
                 "configuration: lifecycle must be active, leaving or left, not gone\n");
    expect_error("/settings/classes/0/effect", "sometimes",
                 "configuration: settings that cannot be read: unknown word in effect: 'sometimes'\n");
    expect_error("/settings/extra", {{"when_short", "nap"}},
                 "configuration: settings that cannot be read: unknown word in when_short: 'nap'\n");
    expect_error("/settings/report", {{"source", "tea"}},
                 "configuration: settings that cannot be read: unknown word in report.source: 'tea'\n");
}

TEST_F(NodeConfigErrorsTest, NoJson) {
    expect_text_error("not json",
                      "configuration: [json.exception.parse_error.101] parse error at line 1, column 2: "
                      "syntax error while parsing value - invalid literal; last read: 'no'\n");
}

TEST_F(NodeConfigErrorsTest, MissingFile) {
    expect_failure("--log-level error node --config @/nothing.json",
                   "configuration: @/nothing.json: cannot be read: No such file or directory\n");
}

}  // namespace
}  // namespace gatetiller
