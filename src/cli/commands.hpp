// The sub-commands of `gatetiller`. Each adds itself to the command line; its exit code goes to `code`.
#pragma once

#include <CLI/CLI.hpp>
#include <string>

namespace gatetiller::cli {

struct Common {
    std::string log_format = "text", log_level = "info";
    bool format_given = false, level_given = false;
    int code = 0;
};

void add_serve(CLI::App& app, Common& common);
void add_engine(CLI::App& app, Common& common);
void add_node(CLI::App& app, Common& common);
void add_query(CLI::App& app, Common& common);
void add_demo(CLI::App& app, Common& common);
void add_lab(CLI::App& app, Common& common);
void add_config(CLI::App& app, Common& common);
void add_report(CLI::App& app, Common& common);

}  // namespace gatetiller::cli
