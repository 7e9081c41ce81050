// Package explain collects the log lines of one request from the logs of several
// instances and reports them in the order of time.
package explain

import (
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/pkg/errors"
)

// Line is one log line.
type Line struct {
	Time     time.Time         `json:"time"`
	Instance string            `json:"instance"`
	Message  string            `json:"message"`
	Fields   map[string]string `json:"fields"` // without time, level, message and instance
}

// Report holds what the logs contain about a request.
type Report struct {
	ID    string `json:"id"`
	Lines []Line `json:"lines"` // in the order of time
	// Context holds the lines about the state of the instances in Lines that were
	// logged before the request ended: configuration, store, sources.
	Context []Line `json:"context"`
	// Gaps describes which lines are missing from the logs.
	Gaps []string `json:"gaps"`
}

// contextWindow is how long before the last line of a request the state of an
// instance is included, since it may have affected the outcome.
const contextWindow = 10 * time.Second

// requestMessage is the message of the line that reports the outcome of a request.
const requestMessage = "request"

// Explain reads logs and returns the report on the request with the id.
func Explain(id string, logs ...io.Reader) (Report, error) {
	report := Report{ID: id, Lines: []Line{}, Context: []Line{}, Gaps: []string{}}
	var state []Line
	for _, log := range logs {
		lines, err := readLines(log)
		if err != nil {
			return Report{}, err
		}
		for _, l := range lines {
			switch l.Fields["id"] {
			case id:
				report.Lines = append(report.Lines, l)
			case "":
				state = append(state, l)
			}
		}
	}
	sortByTime(report.Lines)
	report.Context = contextLines(state, report.Lines)
	report.Gaps = findGaps(report, state)
	return report, nil
}

// readLines returns the lines of a log. It skips lines in another format.
func readLines(log io.Reader) ([]Line, error) {
	var lines []Line
	d := logfmt.NewDecoder(log)
	for d.ScanRecord() {
		l := Line{Fields: map[string]string{}}
		for d.ScanKeyval() {
			l.set(string(d.Key()), string(d.Value()))
		}
		if !l.Time.IsZero() && l.Message != "" {
			lines = append(lines, l)
		}
	}
	return lines, errors.WithStack(d.Err())
}

func (l *Line) set(key, value string) {
	switch key {
	case "time":
		l.Time, _ = time.Parse(time.RFC3339Nano, value) // readLines skips a line without a time
	case "msg":
		l.Message = value
	case "instance":
		l.Instance = value
	default:
		l.Fields[key] = value
	}
}

// sortByTime sorts lines by time and keeps the order of lines with equal times.
func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// contextLines returns the lines of state that the instances in lines logged within
// contextWindow before the last line of the request.
func contextLines(state, lines []Line) []Line {
	context := []Line{}
	if len(lines) == 0 {
		return context
	}
	end := lines[len(lines)-1].Time
	involved := map[string]bool{}
	for _, l := range lines {
		involved[l.Instance] = true
	}
	for _, l := range state {
		if involved[l.Instance] && !l.Time.After(end) && end.Sub(l.Time) <= contextWindow {
			context = append(context, l)
		}
	}
	sortByTime(context)
	return context
}

// findGaps describes which lines are missing from the report.
func findGaps(r Report, state []Line) []string {
	out := []string{}
	if len(r.Lines) == 0 {
		out = append(out, "no line names the request: it was complete and not sampled, it reached no instance of these logs, or its line was left out")
	}
	seen := map[string]bool{}
	for _, l := range r.Lines {
		if l.Message == requestMessage {
			seen[l.Instance] = true
		}
	}
	for _, l := range r.Lines {
		if runner := l.Fields["runner"]; runner != "" && !seen[runner] {
			out = append(out, "the log of "+runner+", which ran the search, has no line of it")
		}
	}
	for _, l := range state {
		if strings.Contains(l.Message, "log lines left out") {
			out = append(out, l.Fields["lines"]+" log lines were left out at "+l.Time.Format(time.RFC3339))
		}
	}
	return out
}
