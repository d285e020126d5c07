package logquery

import (
	"fmt"
	"net/http"
	"sort"
	"strings"
	"time"
)

// Loss is a client request that was not answered successfully in time, with its cause.
type Loss struct {
	At      time.Time
	Kind    string // refused, failed or late
	Service string // service causing the loss: the request's own or one downstream
	Reason  string
}

// Lost returns the losses in the order in which the requests ended. The cause of a failed
// request is found by following its last failed call downstream as far as it was logged.
// Lines that nodes suppressed are not considered; Omitted counts them.
func Lost(lines []Line) []Loss {
	callsByParent := map[string][]Line{}
	for _, line := range lines {
		if line.Kind == "request" && line.field("parent") != "" {
			callsByParent[line.field("parent")] = append(callsByParent[line.field("parent")], line)
		}
	}
	waits := longestWaits(lines)
	var losses []Loss
	for _, line := range lines {
		if line.Kind != "request" || line.field("parent") != "" || line.field("route") == "" {
			continue
		}
		loss := Loss{At: line.Time, Kind: classifyLoss(line)}
		switch loss.Kind {
		case "":
			continue
		case "late":
			loss.Service, loss.Reason = findDelay(line, waits)
		default:
			loss.Service, loss.Reason = findCause(line, callsByParent)
		}
		losses = append(losses, loss)
	}
	return losses
}

// classifyLoss returns how a client request was lost. It returns "" if the request succeeded
// or was cancelled by the client.
func classifyLoss(line Line) string {
	status, reason := line.number("status"), line.field("reason")
	objective := line.number("objective_ms")
	switch {
	case status == 0:
		return ""
	case reason != "none" && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusUnauthorized):
		return "refused"
	case status >= 400:
		return "failed"
	case objective > 0 && line.number("took_ms") > objective:
		return "late"
	}
	return ""
}

// tenantReasons are the refusal reasons caused by a tenant's limits, not by a service.
var tenantReasons = map[string]bool{"over_quota": true, "no_allowance": true}

// findCause follows an unsuccessful request downstream to the call that caused its failure.
func findCause(line Line, callsByParent map[string][]Line) (service, reason string) {
	for {
		if reason = line.field("reason"); reason != "none" {
			if decisive := line.field("decisive"); reason == "overload" && decisive != "" {
				return decisive, reason
			}
			if tenant := line.field("tenant"); tenant != "" && tenantReasons[reason] {
				return "tenant " + tenant, reason
			}
			return line.field("service"), reason
		}
		var cause *Line
		for _, call := range callsByParent[line.field("request")] {
			if call.number("status") < 400 && call.field("reason") == "none" {
				continue
			}
			if cause == nil || isLikelierCause(call, *cause) {
				cause = &call
			}
		}
		if cause == nil {
			return line.field("service"), "status " + line.field("status")
		}
		line = *cause
	}
}

// isLikelierCause reports whether call rather than other caused their parent to fail. A
// cancelled call is a consequence of another failure; otherwise the later call is the cause.
func isLikelierCause(call, other Line) bool {
	if cancelled := call.field("reason") == "cancelled"; cancelled != (other.field("reason") == "cancelled") {
		return !cancelled
	}
	return !call.Time.Before(other.Time)
}

// longestWaits maps each client request to the run with the longest wait for a slot, among
// the request's own run and those of its nested calls.
func longestWaits(lines []Line) map[string]Line {
	longest := map[string]Line{}
	for _, line := range lines {
		if line.Kind != "run" {
			continue
		}
		root, _, _ := strings.Cut(line.field("request"), ".")
		if known, present := longest[root]; !present || line.number("wait_ms") > known.number("wait_ms") {
			longest[root] = line
		}
	}
	return longest
}

// minReportedWaitMS is the shortest wait for a slot reported as the cause of a late request.
const minReportedWaitMS = 50

// findDelay returns the main cause of a late request.
func findDelay(line Line, waits map[string]Line) (service, reason string) {
	root, _, _ := strings.Cut(line.field("request"), ".")
	if run, present := waits[root]; present && run.number("wait_ms") >= minReportedWaitMS {
		return run.field("service"), "waited"
	}
	if sends, _ := line.Fields["sends"].([]any); len(sends) > 1 {
		return line.field("service"), "sent again"
	}
	return line.field("service"), "took long"
}

// LostByCause counts losses by type, service and reason, in descending order.
func LostByCause(losses []Loss) []Count {
	counts := map[string]int{}
	for _, loss := range losses {
		counts[fmt.Sprintf("%-8s %s %s", loss.Kind, loss.Service, loss.Reason)]++
	}
	return sortedCounts(counts)
}

// LostBySecond returns a row for each second with losses: the number of refused, failed and
// late requests, and the most frequent cause.
func LostBySecond(losses []Loss) []string {
	seconds := map[int64][]Loss{}
	for _, loss := range losses {
		seconds[loss.At.Unix()] = append(seconds[loss.At.Unix()], loss)
	}
	ordered := make([]int64, 0, len(seconds))
	for second := range seconds {
		ordered = append(ordered, second)
	}
	sort.Slice(ordered, func(a, b int) bool { return ordered[a] < ordered[b] })
	rows := make([]string, 0, len(ordered))
	for _, second := range ordered {
		ended := map[string]int{}
		for _, loss := range seconds[second] {
			ended[loss.Kind]++
		}
		topCause := LostByCause(seconds[second])[0]
		rows = append(rows, fmt.Sprintf("%s refused %4d failed %4d late %4d; most: %4d %s", time.Unix(second, 0).UTC().Format("15:04:05"),
			ended["refused"], ended["failed"], ended["late"], topCause.Lines, strings.Join(strings.Fields(topCause.Label), " ")))
	}
	return rows
}
