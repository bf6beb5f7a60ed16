package main

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// output writes a command's report and retains the first write error, so that a command checks for errors once, at its
// end, instead of after each line.
type output struct {
	writer io.Writer
	err    error
}

func (o *output) printf(format string, args ...any) {
	if o.err == nil {
		_, o.err = fmt.Fprintf(o.writer, format, args...)
	}
}

func (o *output) println(args ...any) {
	if o.err == nil {
		_, o.err = fmt.Fprintln(o.writer, args...)
	}
}

// printJSON writes a value as indented JSON.
func (o *output) printJSON(value any) {
	text, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		if o.err == nil {
			o.err = err
		}
		return
	}
	o.printf("%s\n", text)
}

// table writes a right-aligned table; rows writes its rows, with a tab after each cell.
func (o *output) table(rows func(t *output)) {
	if o.err != nil {
		return
	}
	aligned := tabwriter.NewWriter(o.writer, 0, 0, 2, ' ', tabwriter.AlignRight)
	t := &output{writer: aligned}
	rows(t)
	o.err = t.err
	if err := aligned.Flush(); o.err == nil {
		o.err = err
	}
}
