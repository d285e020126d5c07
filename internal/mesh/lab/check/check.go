// Package check verifies the guarantees of a run by comparing the responses that
// callers received with the requests that backends executed.
package check

import (
	"fmt"
	"sort"
	"strings"

	"github.com/landingmast/landingmast/internal/mesh/lab/deployment"
	"github.com/landingmast/landingmast/internal/mesh/lab/load"
	"github.com/landingmast/landingmast/internal/mesh/lab/standin"
)

// Check is the result of checking one guarantee.
type Check struct {
	Name   string
	Passed bool
	Detail string
}

// All runs every check.
func All(d *deployment.Deployment, answers []load.Answer, executions []standin.Execution) []Check {
	return []Check{
		NoMisdeliveredResponses(answers),
		NotRunNeverExecuted(answers, executions),
		AtMostOnce(executions),
		RetriesBounded(d, executions),
	}
}

// NoMisdeliveredResponses checks that no caller received any part of another caller's response.
func NoMisdeliveredResponses(answers []load.Answer) Check {
	misdelivered := 0
	for _, answer := range answers {
		if answer.Misdelivered {
			misdelivered++
		}
	}
	return Check{"every answer is the caller's own", misdelivered == 0, fmt.Sprintf("%d answers, %d of others", len(answers), misdelivered)}
}

// NotRunNeverExecuted checks that no attempt answered "not run" was executed by any
// backend at any depth. Every attempt has its own token.
func NotRunNeverExecuted(answers []load.Answer, executions []standin.Execution) Check {
	executed := map[string]bool{}
	for _, execution := range executions {
		executed[execution.Token] = true
	}
	refused, violations := 0, 0
	for _, answer := range answers {
		if answer.Outcome != load.NotRun {
			continue
		}
		refused++
		if executed[answer.Token] {
			violations++
		}
	}
	return Check{`"not run" means not run anywhere`, violations == 0, fmt.Sprintf("%d refusals, %d had run", refused, violations)}
}

// AtMostOnce checks that no idempotency key was executed more than once for a path.
func AtMostOnce(executions []standin.Execution) Check {
	runs := map[string]int{}
	for _, execution := range executions {
		if execution.Key != "" {
			runs[execution.Path+" "+execution.Key]++
		}
	}
	var duplicates []string
	for key, count := range runs {
		if count > 1 {
			duplicates = append(duplicates, fmt.Sprintf("%s: %d times", key, count))
		}
	}
	sort.Strings(duplicates)
	detail := fmt.Sprintf("%d keys, %d run twice", len(runs), len(duplicates))
	if len(duplicates) > 0 {
		detail += ": " + strings.Join(duplicates[:min(len(duplicates), 3)], "; ")
	}
	return Check{"at most once for each key", len(duplicates) == 0, detail}
}

// RetriesBounded checks that the backends received each call of a request at most R+1
// times, R being the highest retry limit of the classes it matches.
func RetriesBounded(d *deployment.Deployment, executions []standin.Execution) Check {
	received := map[string]map[string]int{}
	for _, execution := range executions {
		id := load.BaseID(execution.RequestID)
		if received[id] == nil {
			received[id] = map[string]int{}
		}
		received[id][execution.Method+" "+execution.Path]++
	}
	maxRetries, exceeded := 0, 0
	for _, calls := range received {
		retries, limit := countRetries(d, calls)
		maxRetries = max(maxRetries, retries)
		if retries > limit {
			exceeded++
		}
	}
	return Check{"retries bounded over the whole chain", exceeded == 0, fmt.Sprintf("%d requests, most retries of one %d, over the bound %d", len(received), maxRetries, exceeded)}
}

// countRetries returns the number of retries of a request and the limit of its
// classes. No call occurs twice in a call chain of the lab, and a retry at one hop
// repeats the calls below it, so the most frequent call determines the number.
func countRetries(d *deployment.Deployment, calls map[string]int) (retries, limit int) {
	for _, count := range calls {
		retries = max(retries, count-1)
	}
	for _, class := range d.Classes {
		for call := range calls {
			method, path, _ := strings.Cut(call, " ")
			if class.Method == method && strings.HasPrefix(path, strings.TrimSuffix(class.Path, "*")) {
				limit = max(limit, class.Retries)
			}
		}
	}
	return retries, limit
}
