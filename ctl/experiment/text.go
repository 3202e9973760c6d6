package experiment

import (
	"fmt"
	"io"
	"strings"
	"unicode/utf8"
)

const columnGap = 2 // Spaces between the columns of a table.

// WriteText writes the report's tables and notes as plain text.
func (r Report) WriteText(w io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "%s\n%s\n", r.Title, strings.Repeat("=", utf8.RuneCountInString(r.Title)))
	for _, table := range r.Tables {
		text.WriteString("\n" + table.Text())
	}
	for _, note := range r.Notes {
		fmt.Fprintf(&text, "\nNote: %s\n", note)
	}
	_, err := io.WriteString(w, text.String())
	return err
}

// Text returns the table as plain text: the first column is left-aligned, the
// others are right-aligned.
func (t Table) Text() string {
	widths := t.widths()
	var text strings.Builder
	text.WriteString(t.Title + "\n")
	writeRow(&text, t.Columns, widths)
	rule := make([]string, len(widths))
	for i, width := range widths {
		rule[i] = strings.Repeat("-", width)
	}
	writeRow(&text, rule, widths)
	for _, row := range t.Rows {
		writeRow(&text, row, widths)
	}
	return text.String()
}

func (t Table) widths() []int {
	var widths []int
	for _, row := range append([][]string{t.Columns}, t.Rows...) {
		for i, cell := range row {
			if i == len(widths) {
				widths = append(widths, 0)
			}
			widths[i] = max(widths[i], utf8.RuneCountInString(cell))
		}
	}
	return widths
}

func writeRow(text *strings.Builder, row []string, widths []int) {
	var line strings.Builder
	for i, cell := range row {
		padding := strings.Repeat(" ", widths[i]-utf8.RuneCountInString(cell))
		if i == 0 {
			line.WriteString(cell + padding)
			continue
		}
		line.WriteString(strings.Repeat(" ", columnGap) + padding + cell)
	}
	text.WriteString(strings.TrimRight(line.String(), " ") + "\n")
}
