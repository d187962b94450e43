//! Draws the slowdown of each policy against the ideal.

use std::fmt::Write;

use crate::report::Figures;

const BAR_HEIGHT: usize = 14;
const ROW_HEIGHT: usize = 18;
const LABEL_WIDTH: usize = 200;
const UNIT_WIDTH: f64 = 80.0;
const MOST_UNITS: f64 = 8.0;
const MARGIN: usize = 30;

/// Returns bars of the 99th percentile divided by the ideal's, cut off at eight.
pub fn svg(figures: &[Figures]) -> String {
    let height = figures.len() * ROW_HEIGHT + 2 * MARGIN;
    let width = LABEL_WIDTH + (UNIT_WIDTH * MOST_UNITS) as usize + 2 * MARGIN;
    let mut svg = String::new();
    let _ = writeln!(
        svg,
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" height=\"{height}\" \
         font-family=\"sans-serif\" font-size=\"11\">"
    );
    let _ = writeln!(svg, "<text x=\"10\" y=\"18\">p99 response, ideal = 1</text>");
    for (row, figures) in figures.iter().enumerate() {
        let y = MARGIN + row * ROW_HEIGHT;
        let bar = figures.p99.min(MOST_UNITS) * UNIT_WIDTH;
        let colour = if figures.policy == "credits" { "#336699" } else { "#bbbbbb" };
        let text_y = y + BAR_HEIGHT - 3;
        let _ = writeln!(
            svg,
            "<text x=\"10\" y=\"{text_y}\">{} {}</text>\
             <rect x=\"{LABEL_WIDTH}\" y=\"{y}\" width=\"{bar:.1}\" height=\"{BAR_HEIGHT}\" \
             fill=\"{colour}\"/><text x=\"{:.1}\" y=\"{text_y}\">{:.2}</text>",
            figures.case,
            figures.policy,
            LABEL_WIDTH as f64 + bar + 4.0,
            figures.p99
        );
    }
    svg.push_str("</svg>\n");
    svg
}
