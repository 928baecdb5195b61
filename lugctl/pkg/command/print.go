package command

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// printer writes results as JSON or as a table.
type printer struct {
	out  io.Writer
	json bool
}

func newPrinter(out io.Writer, format string) (*printer, error) {
	switch format {
	case "json":
		return &printer{out: out, json: true}, nil
	case "table":
		return &printer{out: out}, nil
	}
	return nil, &usageError{message: fmt.Sprintf("output %q is not json or table", format)}
}

// print writes val as JSON, or the rows under their titles as a table.
func (prn *printer) print(val any, titles []string, rows [][]string) error {
	if prn.json {
		enc := json.NewEncoder(prn.out)
		enc.SetIndent("", "  ")
		return enc.Encode(val)
	}
	tab := tabwriter.NewWriter(prn.out, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintln(tab, strings.Join(titles, "\t")); err != nil {
		return err
	}
	for _, row := range rows {
		if _, err := fmt.Fprintln(tab, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return tab.Flush()
}
