package soak

import (
	"fmt"
	"io"
	"maps"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/check"
)

const (
	maxExplained    = 5               // violations printed in detail
	faultWindow     = 6 * time.Second // a fault is printed if it ended less than this before the violation
	maxLogLines     = 12              // log lines printed for each violation
	maxPrintedBytes = 400             // of a log line
)

var requestID = regexp.MustCompile(`q\d{6}`)

// Explain prints the first violations, each with the faults active shortly before it and the log
// lines that mention its request ID.
func Explain(w io.Writer, r *Report) error {
	for _, v := range r.Violations[:min(maxExplained, len(r.Violations))] {
		at := v.At.Sub(r.Began)
		fmt.Fprintf(w, "\n%6.2f s %s: %s\n", at.Seconds(), v.Rule, v.Text)
		for _, a := range r.Actions {
			if a.At < at && a.At+a.For+faultWindow > at {
				fmt.Fprintln(w, "   ", a)
			}
		}
		if err := writeLogLines(w, r, v); err != nil {
			return err
		}
	}
	if more := len(r.Violations) - maxExplained; more > 0 {
		fmt.Fprintf(w, "\n%d more\n", more)
	}
	return nil
}

func writeLogLines(w io.Writer, r *Report, v check.Violation) error {
	id := requestID.FindString(v.Text)
	if id == "" {
		return nil
	}
	left := maxLogLines
	for _, name := range slices.Sorted(maps.Keys(r.Logs)) {
		lines, err := logLines(r.Logs[name], func(line string) bool { return strings.Contains(line, id) })
		if err != nil {
			return err
		}
		for _, line := range lines[:min(left, len(lines))] {
			fmt.Fprintf(w, "    %s %s\n", name, line[:min(maxPrintedBytes, len(line))])
		}
		left -= min(left, len(lines))
	}
	return nil
}
