// Package logquery analyzes the event logs of sidecar nodes: it traces a single request
// across nodes and summarizes losses, refusals, slow runs and configuration changes.
package logquery

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"

	"github.com/landingmast/landingmast/internal/failure"
)

// Line is a parsed log line.
type Line struct {
	Time   time.Time
	Node   string
	Kind   string
	Fields map[string]any
}

// field returns a field formatted as text, or "" if it is missing.
func (l Line) field(name string) string {
	if value, present := l.Fields[name]; present {
		return fmt.Sprint(value)
	}
	return ""
}

// number returns a numeric field, or 0 if it is missing or not a number.
func (l Line) number(name string) float64 {
	value, _ := l.Fields[name].(float64)
	return value
}

const maxLineBytes = 1 << 20

// Read returns the events in the given files and directory trees, sorted by time. Text
// before the JSON object on a line is ignored; skipped counts the lines without an event.
func Read(paths []string) (lines []Line, skipped int, err error) {
	for _, path := range paths {
		err := filepath.Walk(path, func(name string, info os.FileInfo, err error) error {
			if err != nil || info.IsDir() {
				return err
			}
			file, err := os.Open(name)
			if err != nil {
				return err
			}
			defer file.Close()
			fileLines, fileSkipped, err := readLines(file)
			lines, skipped = append(lines, fileLines...), skipped+fileSkipped
			return err
		})
		if err != nil {
			return nil, 0, failure.Wrap(err, failure.BadInput, "specify readable log files or directories", "logs %s", path)
		}
	}
	sort.SliceStable(lines, func(a, b int) bool { return lines[a].Time.Before(lines[b].Time) })
	return lines, skipped, nil
}

func readLines(source io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(source)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scanner.Scan() {
		line, ok := parse(scanner.Bytes())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	return lines, skipped, scanner.Err()
}

func parse(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	fields := map[string]any{}
	if err := json.Unmarshal(text[start:], &fields); err != nil {
		return Line{}, false
	}
	line := Line{Fields: fields}
	line.Kind, line.Node = line.field("msg"), line.field("node")
	at, err := time.Parse(time.RFC3339Nano, line.field("time"))
	if err != nil || line.Kind == "" {
		return Line{}, false
	}
	line.Time = at
	return line, true
}

// WriteTrace writes the events of a request and of its nested calls, indented by call depth.
// It returns a failure of kind Missing if there are none.
func WriteTrace(output io.Writer, lines []Line, id string) error {
	matched := 0
	for _, line := range lines {
		request := line.field("request")
		if request != id && !strings.HasPrefix(request, id+".") {
			continue
		}
		matched++
		depth := strings.Count(strings.TrimPrefix(request, id), ".")
		fmt.Fprintf(output, "%s %s%-18s %s\n", line.Time.Format("15:04:05.000"), strings.Repeat("  ", depth), line.Node, describe(line))
	}
	if matched == 0 {
		return failure.New(failure.NotFound, "check the other nodes' logs, and `omitted` lines from the time of the request", "no log line for request %s", id)
	}
	return nil
}

// describe formats a request's event as text.
func describe(line Line) string {
	switch line.Kind {
	case "request":
		return describeRequest(line)
	case "run":
		return fmt.Sprintf("run at %s of %s: %s/%s status %s, waited %.1f ms, took %.1f of %.1f ms left, %s running and %s waiting on %s slots, importance %s",
			line.field("instance"), line.field("service"), line.field("outcome"), line.field("reason"), line.field("status"), line.number("wait_ms"),
			line.number("took_ms"), line.number("left_ms"), line.field("running"), line.field("waiting"), line.field("slots"), line.field("importance"))
	case "settle":
		return fmt.Sprintf("%s asked what became of it: %s/%s", line.field("from"), line.field("outcome"), line.field("reason"))
	}
	return line.Kind
}

func describeRequest(line Line) string {
	description := fmt.Sprintf("%s to %s by version %s: status %s, reason %s, took %.1f of %.1f ms", line.field("route"), line.field("service"),
		line.field("version"), line.field("status"), line.field("reason"), line.number("took_ms"), line.number("hold_ms"))
	if tenant := line.field("tenant"); tenant != "" {
		description += ", of tenant " + tenant
	}
	switch price := line.number("price"); {
	case price > 0 && line.number("share") >= 1: // admitted
	case price > 0:
		description += fmt.Sprintf(", %.2f of the route let in because %s is at %.2f of its slots and asked for %.2f of what it can do (price %.2f, merit of the route %.2f)", line.number("share"), line.field("decisive"), line.number("occupancy"), line.number("offered"), price, line.number("merit"))
		if ratio := line.number("tenant_ratio"); ratio > 0 {
			description += fmt.Sprintf(", less than for others since the tenant asks for %.2f of its fair share there", ratio)
		}
	case line.field("decisive") != "":
		description += fmt.Sprintf(", %.2f of the route let in because %s is at %.2f of its slots", line.number("share"), line.field("decisive"), line.number("occupancy"))
	}
	if wait := line.number("start_wait_ms"); wait > 0 {
		description += fmt.Sprintf(", waited %.1f ms for its turn at the start of the chain", wait)
	}
	if fits := line.number("fits"); fits > 0 {
		description += fmt.Sprintf(", %.0f of the route were in flight here and %.1f fit", line.number("in_flight"), fits)
	}
	description += describeReturn(line)
	sends, _ := line.Fields["sends"].([]any)
	for _, entry := range sends {
		send, _ := entry.(map[string]any)
		description += fmt.Sprintf("; sent to %v: %v/%v after %.1f ms, target at %.2f of its slots", send["node"], send["outcome"], send["reason"], send["took_ms"], send["occupancy"])
	}
	return description
}

// describeReturn tells when the client of a refused request may return.
func describeReturn(line Line) string {
	after := line.number("retry_after_ms")
	refusedByPrice := line.field("reason") == "overload" && line.number("price") > 0
	switch {
	case line.number("return_in_ms") > 0:
		return fmt.Sprintf(", told to come back after %.0f ms, in a time slot that has room", after)
	case after > 0:
		return fmt.Sprintf(", told to come back after %.0f ms", after)
	case refusedByPrice && line.field("returning") == "true":
		return ", had come back after a refusal and has no time left for another attempt"
	}
	return ""
}

// Count is the number of lines in one group of a summary.
type Count struct {
	Label string
	Lines int
}

// Refused counts the requests that got no response from a target, by node, service and
// reason, in descending order.
func Refused(lines []Line) []Count {
	counts := map[string]int{}
	for _, line := range lines {
		if line.Kind == "request" && line.field("reason") != "none" {
			counts[fmt.Sprintf("%s %s %s", line.Node, line.field("service"), line.field("reason"))]++
		}
	}
	return sortedCounts(counts)
}

// Versions lists the configuration changes of the nodes.
func Versions(lines []Line) []string {
	var rows []string
	for _, line := range lines {
		if line.Kind == "configuration" {
			rows = append(rows, fmt.Sprintf("%s %s %s (before %s) from %s", line.Time.Format("15:04:05.000"), line.Node, line.field("version"), line.field("before"), line.field("source")))
		}
	}
	return rows
}

// Slowest lists up to limit runs with the longest duration, in descending order.
func Slowest(lines []Line, limit int) []string {
	var runs []Line
	for _, line := range lines {
		if line.Kind == "run" {
			runs = append(runs, line)
		}
	}
	sort.SliceStable(runs, func(a, b int) bool { return runs[a].number("took_ms") > runs[b].number("took_ms") })
	var rows []string
	for _, line := range runs[:min(limit, len(runs))] {
		rows = append(rows, fmt.Sprintf("%8.1f ms, %8.1f of them waiting: %s at %s, request %s", line.number("took_ms"), line.number("wait_ms"), line.field("service"), line.Node, line.field("request")))
	}
	return rows
}

// Omitted counts the log lines that nodes suppressed, by node and kind.
func Omitted(lines []Line) []Count {
	counts := map[string]int{}
	for _, line := range lines {
		if line.Kind == "omitted" {
			counts[line.Node+" "+line.field("of")] += int(line.number("lines"))
		}
	}
	return sortedCounts(counts)
}

func sortedCounts(counts map[string]int) []Count {
	rows := make([]Count, 0, len(counts))
	for what, lines := range counts {
		rows = append(rows, Count{Label: what, Lines: lines})
	}
	sort.Slice(rows, func(a, b int) bool {
		if rows[a].Lines != rows[b].Lines {
			return rows[a].Lines > rows[b].Lines
		}
		return rows[a].Label < rows[b].Label
	})
	return rows
}
