package load

import (
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
)

// table is a markdown table.
type table struct {
	title string
	rows  [][]string
}

func newTable(title string, columns ...string) *table {
	rule := make([]string, len(columns))
	for i := range rule {
		rule[i] = "---"
	}
	return &table{title: title, rows: [][]string{columns, rule}}
}

func (t *table) row(cells ...any) {
	var out []string
	for _, c := range cells {
		out = append(out, fmt.Sprint(c))
	}
	t.rows = append(t.rows, out)
}

func (t *table) write(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "### %s\n\n", t.title)
	for _, r := range t.rows {
		fmt.Fprintf(&b, "| %s |\n", strings.Join(r, " | "))
	}
	b.WriteString("\n")
	_, err := io.WriteString(w, b.String())
	return errors.Wrap(err, "write table")
}

func percent(part float64) string  { return fmt.Sprintf("%.1f%%", 100*part) }
func percent2(part float64) string { return fmt.Sprintf("%.2f%%", 100*part) }
