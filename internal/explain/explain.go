// Package explain reconstructs the timeline of one request from the logs of several processes:
// the decisions about it, and the cached state of the processes that handled it.
package explain

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"
)

const (
	// contextBefore and contextAfter bound the time around a request from which lines about
	// targets and tables are printed: a gateway acts on state received within the last seconds.
	contextBefore = 3 * time.Second
	contextAfter  = 200 * time.Millisecond
	// messageEnded and messageRefused mark the end of a request, messageStarted the start of a
	// process.
	messageEnded   = "request ended"
	messageRefused = "request refused"
	messageStarted = "gateway started"
	// messageLeaving and messagePause are the notices of targets. They are printed for as long as they
	// hold, since they decide where a request is not sent.
	messageLeaving = "target says that it leaves; sending it no new requests"
	messagePause   = "target asks for a pause; sending it no requests until it ends"
	// maxLineBytes bounds one line; Read fails on a longer one.
	maxLineBytes = 1 << 20
)

// ErrNotFound is returned if no log line contains the id of the request.
var ErrNotFound = errors.New("no log line contains the request id")

// Command is the command line of `bramleygap explain`.
type Command struct {
	Request string   `arg:"" help:"Id of the request."`
	Files   []string `arg:"" type:"existingfile" help:"Log files of the processes, one JSON object a line."`
}

// Run prints the timeline to standard output.
func (c *Command) Run(_ context.Context) error {
	var lines []LogLine
	skipped := 0
	for _, name := range c.Files {
		file, err := os.Open(name)
		if err != nil {
			return err
		}
		read, invalid, err := Read(file)
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
		if err != nil {
			return fmt.Errorf("read %s: %w", name, err)
		}
		lines, skipped = append(lines, read...), skipped+invalid
	}
	return WriteTimeline(os.Stdout, c.Request, lines, skipped)
}

// LogLine is one line of a log.
type LogLine struct {
	Time    time.Time
	Level   string
	Process string
	Request string
	Target  string
	Table   string
	Message string
	Fields  map[string]any
}

// Read reads the lines of a log. Text before the JSON object of a line is ignored; lines
// without a JSON object or without a time are counted in skipped.
func Read(r io.Reader) (lines []LogLine, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scanner.Scan() {
		line, ok := parse(scanner.Text())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	return lines, skipped, scanner.Err()
}

func parse(text string) (LogLine, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return LogLine{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal([]byte(text[start:]), &fields); err != nil {
		return LogLine{}, false
	}
	pop := func(key string) string {
		value, _ := fields[key].(string)
		delete(fields, key)
		return value
	}
	timestamp, err := time.Parse(time.RFC3339Nano, pop("time"))
	if err != nil {
		return LogLine{}, false
	}
	line := LogLine{Time: timestamp, Level: pop("level"), Message: pop("message"), Request: pop("request"), Fields: fields}
	line.Process, _ = fields["gateway"].(string)
	line.Target, _ = fields["target"].(string)
	line.Table, _ = fields["table"].(string)
	delete(fields, "gateway")
	return line, true
}

// WriteTimeline prints the lines of a request in order of time. It adds, marked with "~",
// lines without a request that the same processes logged around that time and that concern
// one of the request's targets, a table of the store, or no target. Of the request's services it adds
// the notices of targets that leave or are paused at that time.
func WriteTimeline(w io.Writer, request string, lines []LogLine, skipped int) error {
	slices.SortStableFunc(lines, func(a, b LogLine) int { return a.Time.Compare(b.Time) })
	processes, targets, services := map[string]bool{}, map[string]bool{}, map[string]bool{}
	var first, last time.Time
	for _, line := range lines {
		if line.Request != request {
			continue
		}
		if first.IsZero() {
			first = line.Time
		}
		last = line.Time
		processes[line.Process] = true
		if line.Target != "" {
			targets[line.Target] = true
		}
		if service, ok := line.Fields["service"].(string); ok {
			services[service] = true
		}
	}
	if first.IsZero() {
		return fmt.Errorf("%w: %q", ErrNotFound, request)
	}
	for _, line := range lines {
		isContext := line.Request == "" && processes[line.Process] && (targets[line.Target] || line.Table != "" || line.Target == "") &&
			!line.Time.Before(first.Add(-contextBefore)) && !line.Time.After(last.Add(contextAfter))
		service, _ := line.Fields["service"].(string)
		isContext = isContext || processes[line.Process] && (targets[line.Target] || services[service]) && line.holdsBetween(first, last)
		if line.Request != request && !isContext {
			continue
		}
		mark := "  "
		if isContext {
			mark = "~ "
		}
		if _, err := fmt.Fprintf(w, "%s%9.3f s %s: %s%s\n", mark, line.Time.Sub(first).Seconds(), line.Process, line.Message, formatFields(line.Fields)); err != nil {
			return err
		}
	}
	if err := reportMissingEnd(w, request, lines, first); err != nil {
		return err
	}
	if skipped > 0 {
		if _, err := fmt.Fprintf(w, "%d lines could not be parsed\n", skipped); err != nil {
			return err
		}
	}
	return nil
}

// holdsBetween reports whether the line is a notice of a target that holds at some time between first
// and last.
func (l *LogLine) holdsBetween(first, last time.Time) bool {
	if l.Time.After(last) {
		return false
	}
	switch l.Message {
	case messageLeaving:
		return true
	case messagePause:
		ms, _ := l.Fields["pause"].(float64)
		return l.Time.Add(time.Duration(ms * float64(time.Millisecond))).After(first)
	}
	return false
}

// reportMissingEnd prints, if the end of the request is not logged, whether the process has
// restarted. The end is missing if the process was killed or lost power or lines were dropped.
func reportMissingEnd(w io.Writer, request string, lines []LogLine, first time.Time) error {
	last := -1
	for i, line := range lines {
		if line.Request == request {
			last = i
		}
	}
	if m := lines[last].Message; m == messageEnded || m == messageRefused {
		return nil
	}
	process := lines[last].Process
	for _, line := range lines[last+1:] {
		if line.Process == process && line.Message == messageStarted {
			_, err := fmt.Fprintf(w, "~ %9.3f s %s: the end of the request is not logged; the process restarted here\n", line.Time.Sub(first).Seconds(), process)
			return err
		}
	}
	_, err := fmt.Fprintf(w, "~ %s: the end of the request is not logged, and the process has not restarted\n", process)
	return err
}

func formatFields(fields map[string]any) string {
	var b strings.Builder
	for _, key := range slices.Sorted(maps.Keys(fields)) {
		fmt.Fprintf(&b, " %s=%v", key, fields[key])
	}
	return b.String()
}
