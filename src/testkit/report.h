// The reports of a run: a summary for the terminal, report.json with a versioned schema, and report.html,
// which needs no other files.
#pragma once

#include <string>

#include "testkit/rehearsal.h"

namespace brookrelay::testkit {

constexpr int kReportSchema = 1;  // version of report.json

struct ReportHead {
    std::string version;  // of the test kit
    std::string program;  // the daemon
    std::string command;  // that repeats the run
};

// Returns "kept", "broken", "void" or "not played".
std::string verdict_word(const RunResult& result);
std::string summary_text(const RunPlan& plan, const RunResult& result);
std::string report_json(const ReportHead& head, const RunPlan& plan, const RunResult& result);
std::string report_html(const ReportHead& head, const RunPlan& plan, const RunResult& result);
// Writes both files into the run's folder; throws std::runtime_error on failure.
void write_reports(const ReportHead& head, const RunPlan& plan, const RunResult& result);

}  // namespace brookrelay::testkit
