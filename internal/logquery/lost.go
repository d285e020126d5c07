package logquery

import (
	"fmt"
	"net/http"
	"sort"
	"strings"
	"time"
)

// Loss is a client's request that was not answered in time, and what it comes from.
type Loss struct {
	At      time.Time
	Ended   string // refused, failed or late
	Service string // where the cause lies: the request's own, or one further down its chain
	Reason  string
}

// Lost gives the losses in the order of their ends. The cause of one that failed is that
// of the call below it that failed last, as far down as the lines go. Lines that were
// left out are not there: Omitted tells how many.
func Lost(lines []Line) []Loss {
	below := map[string][]Line{}
	for _, line := range lines {
		if line.Kind == "request" && line.text("parent") != "" {
			below[line.text("parent")] = append(below[line.text("parent")], line)
		}
	}
	waits := longestWaits(lines)
	var losses []Loss
	for _, line := range lines {
		if line.Kind != "request" || line.text("parent") != "" || line.text("route") == "" {
			continue
		}
		loss := Loss{At: line.Time, Ended: endOf(line)}
		switch loss.Ended {
		case "":
			continue
		case "late":
			loss.Service, loss.Reason = lateBy(line, waits)
		default:
			loss.Service, loss.Reason = causeOf(line, below)
		}
		losses = append(losses, loss)
	}
	return losses
}

// endOf tells how a client's request was lost; empty: it was not, or its client left.
func endOf(line Line) string {
	status, reason := line.number("status"), line.text("reason")
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

// tenantReasons are the reasons that lie with a tenant's limit, not with a service.
var tenantReasons = map[string]bool{"over_quota": true, "no_allowance": true}

// causeOf follows a request that ended badly down to the call that made it do so.
func causeOf(line Line, below map[string][]Line) (service, reason string) {
	for {
		if reason = line.text("reason"); reason != "none" {
			if decisive := line.text("decisive"); reason == "overload" && decisive != "" {
				return decisive, reason
			}
			if tenant := line.text("tenant"); tenant != "" && tenantReasons[reason] {
				return "tenant " + tenant, reason
			}
			return line.text("service"), reason
		}
		var worst *Line
		for _, call := range below[line.text("request")] {
			if call.number("status") < 400 && call.text("reason") == "none" {
				continue
			}
			if worst == nil || outweighs(call, *worst) {
				worst = &call
			}
		}
		if worst == nil {
			return line.text("service"), "status " + line.text("status")
		}
		line = *worst
	}
}

// outweighs tells whether a bad call, rather than one before it, made the request above
// them fail. A call that was cancelled is a consequence.
func outweighs(call, before Line) bool {
	if cancelled := call.text("reason") == "cancelled"; cancelled != (before.text("reason") == "cancelled") {
		return !cancelled
	}
	return !call.Time.Before(before.Time)
}

// longestWaits gives, by request, the run below it that waited longest for a slot.
func longestWaits(lines []Line) map[string]Line {
	longest := map[string]Line{}
	for _, line := range lines {
		if line.Kind != "run" {
			continue
		}
		start, _, _ := strings.Cut(line.text("request"), ".")
		if known, present := longest[start]; !present || line.number("wait_ms") > known.number("wait_ms") {
			longest[start] = line
		}
	}
	return longest
}

// waitThatCounts is the wait for a slot, in ms, from which it is named as the reason.
const waitThatCounts = 50

// lateBy tells where a late request lost its time.
func lateBy(line Line, waits map[string]Line) (service, reason string) {
	start, _, _ := strings.Cut(line.text("request"), ".")
	if run, present := waits[start]; present && run.number("wait_ms") >= waitThatCounts {
		return run.text("service"), "waited"
	}
	if sends, _ := line.Fields["sends"].([]any); len(sends) > 1 {
		return line.text("service"), "sent again"
	}
	return line.text("service"), "took long"
}

// LostByCause counts losses by how they ended, service and reason, most first.
func LostByCause(losses []Loss) []Count {
	counts := map[string]int{}
	for _, loss := range losses {
		counts[fmt.Sprintf("%-8s %s %s", loss.Ended, loss.Service, loss.Reason)]++
	}
	return sorted(counts)
}

// LostBySecond gives a row for each second with losses: how many were refused, failed
// and late, and the cause of most of them.
func LostBySecond(losses []Loss) []string {
	seconds := map[int64][]Loss{}
	for _, loss := range losses {
		seconds[loss.At.Unix()] = append(seconds[loss.At.Unix()], loss)
	}
	order := make([]int64, 0, len(seconds))
	for second := range seconds {
		order = append(order, second)
	}
	sort.Slice(order, func(a, b int) bool { return order[a] < order[b] })
	rows := make([]string, 0, len(order))
	for _, second := range order {
		ended := map[string]int{}
		for _, loss := range seconds[second] {
			ended[loss.Ended]++
		}
		most := LostByCause(seconds[second])[0]
		rows = append(rows, fmt.Sprintf("%s refused %4d failed %4d late %4d; most: %4d %s", time.Unix(second, 0).UTC().Format("15:04:05"),
			ended["refused"], ended["failed"], ended["late"], most.Lines, strings.Join(strings.Fields(most.What), " ")))
	}
	return rows
}
