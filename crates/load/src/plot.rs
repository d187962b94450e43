//! Draws a bar chart of the slowdown of each policy relative to the ideal scheduler.

use std::fmt::Write;

use crate::report::Summary;

// Lengths are in pixels.
const BAR_HEIGHT: usize = 14;
const ROW_HEIGHT: usize = 18;
const LABEL_WIDTH: usize = 200;
/// Width of a bar for a slowdown of 1.
const UNIT_WIDTH: f64 = 80.0;
/// Slowdown at which bars are cut off.
const MAX_SLOWDOWN: f64 = 8.0;
const MARGIN: usize = 30;
/// Distance of the baseline of a label from the bottom of its bar.
const BASELINE_OFFSET: usize = 3;
/// Distance between a bar and its value.
const VALUE_GAP: f64 = 4.0;

/// Returns a chart of the 99th percentiles of the response time as SVG.
pub fn svg(summaries: &[Summary]) -> String {
    let height = summaries.len() * ROW_HEIGHT + 2 * MARGIN;
    let width = LABEL_WIDTH + (UNIT_WIDTH * MAX_SLOWDOWN) as usize + 2 * MARGIN;
    let mut svg = String::new();
    let _ = writeln!(
        svg,
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" height=\"{height}\" \
         font-family=\"sans-serif\" font-size=\"11\">"
    );
    let _ = writeln!(svg, "<text x=\"10\" y=\"18\">p99 response, ideal = 1</text>");
    for (row, summary) in summaries.iter().enumerate() {
        let y = MARGIN + row * ROW_HEIGHT;
        let bar = summary.p99.min(MAX_SLOWDOWN) * UNIT_WIDTH;
        let colour = if summary.policy == "credits" { "#336699" } else { "#bbbbbb" };
        let text_y = y + BAR_HEIGHT - BASELINE_OFFSET;
        let _ = writeln!(
            svg,
            "<text x=\"10\" y=\"{text_y}\">{} {}</text>\
             <rect x=\"{LABEL_WIDTH}\" y=\"{y}\" width=\"{bar:.1}\" height=\"{BAR_HEIGHT}\" \
             fill=\"{colour}\"/><text x=\"{:.1}\" y=\"{text_y}\">{:.2}</text>",
            summary.case,
            summary.policy,
            LABEL_WIDTH as f64 + bar + VALUE_GAP,
            summary.p99
        );
    }
    svg.push_str("</svg>\n");
    svg
}
