// Package logquery reads the log lines of sidecar nodes: the story of one request
// over several processes, and the usual questions over many lines.
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

// Line is one log line.
type Line struct {
	Time   time.Time
	Node   string
	Kind   string
	Fields map[string]any
}

// text gives a field as text.
func (l Line) text(name string) string {
	if value, present := l.Fields[name]; present {
		return fmt.Sprint(value)
	}
	return ""
}

func (l Line) number(name string) float64 {
	value, _ := l.Fields[name].(float64)
	return value
}

const maxLine = 1 << 20

// Read reads the lines of files and, in folders, of all files. Lines of other
// programs, and anything that stands before the JSON on a line, are passed over;
// unread is the number of lines that hold no event.
func Read(paths []string) (lines []Line, unread int, err error) {
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
			found, missed, err := readLines(file)
			lines, unread = append(lines, found...), unread+missed
			return err
		})
		if err != nil {
			return nil, 0, failure.Wrap(err, failure.BadInput, "name readable log files or folders", "logs %s", path)
		}
	}
	sort.SliceStable(lines, func(a, b int) bool { return lines[a].Time.Before(lines[b].Time) })
	return lines, unread, nil
}

func readLines(source io.Reader) (lines []Line, unread int, err error) {
	scanner := bufio.NewScanner(source)
	scanner.Buffer(make([]byte, 64<<10), maxLine)
	for scanner.Scan() {
		line, ok := parse(scanner.Bytes())
		if !ok {
			unread++
			continue
		}
		lines = append(lines, line)
	}
	return lines, unread, scanner.Err()
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
	line.Kind, line.Node = line.text("msg"), line.text("node")
	at, err := time.Parse(time.RFC3339Nano, line.text("time"))
	if err != nil || line.Kind == "" {
		return Line{}, false
	}
	line.Time = at
	return line, true
}

// Story writes what the lines tell of one request and of the calls made for it.
// The error is a failure of kind Missing when they tell nothing.
func Story(output io.Writer, lines []Line, id string) error {
	told := 0
	for _, line := range lines {
		request := line.text("request")
		if request != id && !strings.HasPrefix(request, id+".") {
			continue
		}
		told++
		depth := strings.Count(strings.TrimPrefix(request, id), ".")
		fmt.Fprintf(output, "%s %s%-18s %s\n", line.Time.Format("15:04:05.000"), strings.Repeat("  ", depth), line.Node, tell(line))
	}
	if told == 0 {
		return failure.New(failure.Missing, "look for `omitted` lines at its time, and for the request in the other nodes' logs", "no line is about request %s", id)
	}
	return nil
}

// tell gives an event about a request in words.
func tell(line Line) string {
	switch line.Kind {
	case "request":
		return tellRequest(line)
	case "run":
		return fmt.Sprintf("run at %s of %s: %s/%s status %s, waited %.1f ms, took %.1f of %.1f ms left, %s running and %s waiting on %s slots, importance %s",
			line.text("instance"), line.text("service"), line.text("outcome"), line.text("reason"), line.text("status"), line.number("wait_ms"),
			line.number("took_ms"), line.number("left_ms"), line.text("running"), line.text("waiting"), line.text("slots"), line.text("importance"))
	case "settle":
		return fmt.Sprintf("%s asked what became of it: %s/%s", line.text("from"), line.text("outcome"), line.text("reason"))
	}
	return line.Kind
}

func tellRequest(line Line) string {
	words := fmt.Sprintf("%s to %s by version %s: status %s, reason %s, took %.1f of %.1f ms", line.text("route"), line.text("service"),
		line.text("version"), line.text("status"), line.text("reason"), line.number("took_ms"), line.number("hold_ms"))
	if tenant := line.text("tenant"); tenant != "" {
		words += ", of tenant " + tenant
	}
	if line.text("decisive") != "" {
		words += fmt.Sprintf(", %.2f of the route let in because %s is at %.2f of its slots", line.number("share"), line.text("decisive"), line.number("occupancy"))
	}
	if fits := line.number("fits"); fits > 0 {
		words += fmt.Sprintf(", %.0f of the route were in flight here and %.1f fit", line.number("in_flight"), fits)
	}
	if after := line.number("retry_after_ms"); after > 0 {
		words += fmt.Sprintf(", told to come back after %.0f ms", after)
	}
	sends, _ := line.Fields["sends"].([]any)
	for _, one := range sends {
		send, _ := one.(map[string]any)
		words += fmt.Sprintf("; sent to %v: %v/%v after %.1f ms, target at %.2f of its slots", send["node"], send["outcome"], send["reason"], send["took_ms"], send["occupancy"])
	}
	return words
}

// Count is a row of a summary.
type Count struct {
	What  string
	Lines int
}

// Refused counts the requests that ended without a target's answer, by node,
// service and reason, most first.
func Refused(lines []Line) []Count {
	counts := map[string]int{}
	for _, line := range lines {
		if line.Kind == "request" && line.text("reason") != "none" {
			counts[fmt.Sprintf("%s %s %s", line.Node, line.text("service"), line.text("reason"))]++
		}
	}
	return sorted(counts)
}

// Versions gives which node had which configuration when.
func Versions(lines []Line) []string {
	var rows []string
	for _, line := range lines {
		if line.Kind == "configuration" {
			rows = append(rows, fmt.Sprintf("%s %s %s (before %s) from %s", line.Time.Format("15:04:05.000"), line.Node, line.text("version"), line.text("before"), line.text("source")))
		}
	}
	return rows
}

// Slowest gives the runs that took longest, slowest first.
func Slowest(lines []Line, most int) []string {
	var runs []Line
	for _, line := range lines {
		if line.Kind == "run" {
			runs = append(runs, line)
		}
	}
	sort.SliceStable(runs, func(a, b int) bool { return runs[a].number("took_ms") > runs[b].number("took_ms") })
	var rows []string
	for _, line := range runs[:min(most, len(runs))] {
		rows = append(rows, fmt.Sprintf("%8.1f ms, %8.1f of them waiting: %s at %s, request %s", line.number("took_ms"), line.number("wait_ms"), line.text("service"), line.Node, line.text("request")))
	}
	return rows
}

// Omitted counts the lines that were left out, by node and kind.
func Omitted(lines []Line) []Count {
	counts := map[string]int{}
	for _, line := range lines {
		if line.Kind == "omitted" {
			counts[line.Node+" "+line.text("of")] += int(line.number("lines"))
		}
	}
	return sorted(counts)
}

func sorted(counts map[string]int) []Count {
	rows := make([]Count, 0, len(counts))
	for what, lines := range counts {
		rows = append(rows, Count{What: what, Lines: lines})
	}
	sort.Slice(rows, func(a, b int) bool {
		if rows[a].Lines != rows[b].Lines {
			return rows[a].Lines > rows[b].Lines
		}
		return rows[a].What < rows[b].What
	})
	return rows
}
