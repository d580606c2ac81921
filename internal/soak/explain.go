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
	explained  = 5               // violations that are explained
	around     = 6 * time.Second // of the faults that are printed with a violation
	mostLines  = 12              // of the log that are printed with a violation
	maxLogText = 400
)

var requestID = regexp.MustCompile(`q\d{6}`)

// Explain writes the first violations, the faults around them, and the log lines of their
// requests.
func Explain(w io.Writer, r *Report) error {
	for _, v := range r.Violations[:min(explained, len(r.Violations))] {
		at := v.At.Sub(r.Began)
		fmt.Fprintf(w, "\n%6.2f s %s: %s\n", at.Seconds(), v.Rule, v.Text)
		for _, a := range r.Actions {
			if a.At < at && a.At+a.For+around > at {
				fmt.Fprintln(w, "   ", a)
			}
		}
		if err := explainLogs(w, r, v); err != nil {
			return err
		}
	}
	if more := len(r.Violations) - explained; more > 0 {
		fmt.Fprintf(w, "\n%d more\n", more)
	}
	return nil
}

func explainLogs(w io.Writer, r *Report, v check.Violation) error {
	id := requestID.FindString(v.Text)
	if id == "" {
		return nil
	}
	left := mostLines
	for _, name := range slices.Sorted(maps.Keys(r.Logs)) {
		lines, err := logLines(r.Logs[name], func(line string) bool { return strings.Contains(line, id) })
		if err != nil {
			return err
		}
		for _, line := range lines[:min(left, len(lines))] {
			fmt.Fprintf(w, "    %s %s\n", name, line[:min(maxLogText, len(line))])
		}
		left -= min(left, len(lines))
	}
	return nil
}
