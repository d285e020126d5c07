// Package check compares what callers saw with what back ends really ran.
package check

import (
	"fmt"
	"sort"
	"strings"

	"github.com/landingmast/landingmast/internal/mesh/lab/deployment"
	"github.com/landingmast/landingmast/internal/mesh/lab/load"
	"github.com/landingmast/landingmast/internal/mesh/lab/standin"
)

// Check is one checked statement.
type Check struct {
	Name   string
	Held   bool
	Detail string
}

// All checks every statement about a run.
func All(d *deployment.Deployment, answers []load.Answer, executions []standin.Execution) []Check {
	return []Check{
		OwnAnswers(answers),
		NotRunMeansNowhere(answers, executions),
		AtMostOnce(executions),
		RetriesBounded(d, executions),
	}
}

// OwnAnswers checks that no caller got a piece of another's answer.
func OwnAnswers(answers []load.Answer) Check {
	foreign := 0
	for _, answer := range answers {
		if answer.Foreign {
			foreign++
		}
	}
	return Check{"every answer is the caller's own", foreign == 0, fmt.Sprintf("%d answers, %d of others", len(answers), foreign)}
}

// NotRunMeansNowhere checks that no sending that was answered "not run" was run
// by any back end, at any depth. Sendings carry tokens of their own.
func NotRunMeansNowhere(answers []load.Answer, executions []standin.Execution) Check {
	ran := map[string]bool{}
	for _, execution := range executions {
		ran[execution.Token] = true
	}
	refused, wrong := 0, 0
	for _, answer := range answers {
		if answer.Outcome != load.NotRun {
			continue
		}
		refused++
		if ran[answer.Token] {
			wrong++
		}
	}
	return Check{`"not run" means not run anywhere`, wrong == 0, fmt.Sprintf("%d refusals, %d had run", refused, wrong)}
}

// AtMostOnce checks that no key was run twice at one service and path.
func AtMostOnce(executions []standin.Execution) Check {
	runs := map[string]int{}
	for _, execution := range executions {
		if execution.Key != "" {
			runs[execution.Path+" "+execution.Key]++
		}
	}
	var twice []string
	for key, count := range runs {
		if count > 1 {
			twice = append(twice, fmt.Sprintf("%s: %d times", key, count))
		}
	}
	sort.Strings(twice)
	detail := fmt.Sprintf("%d keys, %d run twice", len(runs), len(twice))
	if len(twice) > 0 {
		detail += ": " + strings.Join(twice[:min(len(twice), 3)], "; ")
	}
	return Check{"at most once for each key", len(twice) == 0, detail}
}

// RetriesBounded checks for every sending that the back ends received at most
// the calls of its chain and the retries of its class: R retries can at most run
// one whole chain again each.
func RetriesBounded(d *deployment.Deployment, executions []standin.Execution) Check {
	received := map[string]map[string]int{}
	for _, execution := range executions {
		id := load.BaseID(execution.RequestID)
		if received[id] == nil {
			received[id] = map[string]int{}
		}
		received[id][execution.Method+" "+execution.Path]++
	}
	worst, over := 0, 0
	for _, calls := range received {
		retries, bound := excess(d, calls)
		worst = max(worst, retries)
		if retries > bound {
			over++
		}
	}
	return Check{"retries bounded over the whole chain", over == 0, fmt.Sprintf("%d requests, most retries of one %d, over the bound %d", len(received), worst, over)}
}

// excess counts the calls beyond one for each step of the chain. The steps of
// the lab's chains are all different, so that the most repeated step tells the
// retries at and above it; a retry at one hop repeats the steps below it, too.
func excess(d *deployment.Deployment, calls map[string]int) (retries, bound int) {
	for _, count := range calls {
		retries = max(retries, count-1)
	}
	for _, class := range d.Classes {
		for call := range calls {
			method, path, _ := strings.Cut(call, " ")
			if class.Method == method && strings.HasPrefix(path, strings.TrimSuffix(class.Path, "*")) {
				bound = max(bound, class.Retries)
			}
		}
	}
	return retries, bound
}
