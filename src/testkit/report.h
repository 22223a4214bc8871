// What a rehearsal leaves behind: a summary for the terminal, report.json with a versioned schema, and one
// report.html that needs nothing else. It owns their forms, and adds no judgement to the judge's.
#pragma once

#include <string>

#include "testkit/rehearsal.h"

namespace brookrelay::testkit {

constexpr int kReportSchema = 1;

struct ReportHead {
    std::string version;  // of the kit
    std::string program;  // the daemon
    std::string command;  // how to play it again
};

// "kept", "broken", "void" or "not played".
std::string verdict_word(const DayResult& result);
std::string summary_text(const DayPlan& plan, const DayResult& result);
std::string report_json(const ReportHead& head, const DayPlan& plan, const DayResult& result);
std::string report_html(const ReportHead& head, const DayPlan& plan, const DayResult& result);
// Writes both below the day's folder; throws std::runtime_error where it cannot.
void write_reports(const ReportHead& head, const DayPlan& plan, const DayResult& result);

}  // namespace brookrelay::testkit
