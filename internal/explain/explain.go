// Package explain tells the story of one request from the logs of several processes: what
// was decided about it, and what the processes that handled it believed at that time.
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
	// beliefsBefore and beliefsAfter bound the lines about targets and tables that are shown
	// around a request: a gateway acts on what it learnt within the last seconds.
	beliefsBefore = 3 * time.Second
	beliefsAfter  = 200 * time.Millisecond
	// messageEnded and messageRefused end a request's story, messageStarted begins a process.
	messageEnded   = "request ended"
	messageRefused = "request refused"
	messageStarted = "gateway started"
	// maxLine bounds one line; longer ones are counted as unreadable.
	maxLine = 1 << 20
)

// ErrNotFound is returned if no line names the request.
var ErrNotFound = errors.New("no line names the request")

// Command is the command line of `bramleygap explain`.
type Command struct {
	Request string   `arg:"" help:"Id of the request."`
	Files   []string `arg:"" type:"existingfile" help:"Log files of the processes, one JSON object a line."`
}

// Run prints the story to standard output.
func (c *Command) Run(_ context.Context) error {
	var entries []LogLine
	skipped := 0
	for _, name := range c.Files {
		file, err := os.Open(name)
		if err != nil {
			return err
		}
		read, bad, err := Read(file)
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
		if err != nil {
			return fmt.Errorf("read %s: %w", name, err)
		}
		entries, skipped = append(entries, read...), skipped+bad
	}
	return WriteTimeline(os.Stdout, c.Request, entries, skipped)
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
// without one, or without a time, are counted.
func Read(r io.Reader) (entries []LogLine, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLine)
	for scanner.Scan() {
		entry, ok := parse(scanner.Text())
		if !ok {
			skipped++
			continue
		}
		entries = append(entries, entry)
	}
	return entries, skipped, scanner.Err()
}

func parse(line string) (LogLine, bool) {
	start := strings.IndexByte(line, '{')
	if start < 0 {
		return LogLine{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal([]byte(line[start:]), &fields); err != nil {
		return LogLine{}, false
	}
	take := func(key string) string {
		text, _ := fields[key].(string)
		delete(fields, key)
		return text
	}
	at, err := time.Parse(time.RFC3339Nano, take("time"))
	if err != nil {
		return LogLine{}, false
	}
	e := LogLine{Time: at, Level: take("level"), Message: take("message"), Request: take("request"), Fields: fields}
	e.Process, _ = fields["gateway"].(string)
	e.Target, _ = fields["target"].(string)
	e.Table, _ = fields["table"].(string)
	delete(fields, "gateway")
	return e, true
}

// WriteTimeline prints the lines of a request in order, with the beliefs of the processes that
// handled it about the targets it met and about the store's tables.
func WriteTimeline(w io.Writer, request string, entries []LogLine, skipped int) error {
	slices.SortStableFunc(entries, func(a, b LogLine) int { return a.Time.Compare(b.Time) })
	processes, targets := map[string]bool{}, map[string]bool{}
	var first, last time.Time
	for _, e := range entries {
		if e.Request != request {
			continue
		}
		if first.IsZero() {
			first = e.Time
		}
		last = e.Time
		processes[e.Process] = true
		if e.Target != "" {
			targets[e.Target] = true
		}
	}
	if first.IsZero() {
		return fmt.Errorf("%w: %q", ErrNotFound, request)
	}
	for _, e := range entries {
		belief := e.Request == "" && processes[e.Process] && (targets[e.Target] || e.Table != "" || e.Target == "") &&
			!e.Time.Before(first.Add(-beliefsBefore)) && !e.Time.After(last.Add(beliefsAfter))
		if e.Request != request && !belief {
			continue
		}
		mark := "  "
		if belief {
			mark = "~ "
		}
		if _, err := fmt.Fprintf(w, "%s%9.3f s %s: %s%s\n", mark, e.Time.Sub(first).Seconds(), e.Process, e.Message, fieldText(e.Fields)); err != nil {
			return err
		}
	}
	if err := noteMissingEnd(w, request, entries, first); err != nil {
		return err
	}
	if skipped > 0 {
		if _, err := fmt.Fprintf(w, "%d lines could not be read\n", skipped); err != nil {
			return err
		}
	}
	return nil
}

// noteMissingEnd says what became of the process whose lines of the request have no end: it
// was killed or lost power, or lines were dropped.
func noteMissingEnd(w io.Writer, request string, entries []LogLine, first time.Time) error {
	last := -1
	for i, e := range entries {
		if e.Request == request {
			last = i
		}
	}
	if m := entries[last].Message; m == messageEnded || m == messageRefused {
		return nil
	}
	process := entries[last].Process
	for _, e := range entries[last+1:] {
		if e.Process == process && e.Message == messageStarted {
			_, err := fmt.Fprintf(w, "~ %9.3f s %s: the request has no end in the log; the process started again here\n", e.Time.Sub(first).Seconds(), process)
			return err
		}
	}
	_, err := fmt.Fprintf(w, "~ %s: the request has no end in the log, and the process has not started again\n", process)
	return err
}

func fieldText(fields map[string]any) string {
	var b strings.Builder
	for _, key := range slices.Sorted(maps.Keys(fields)) {
		fmt.Fprintf(&b, " %s=%v", key, fields[key])
	}
	return b.String()
}
