package faults

import (
	"context"
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/landingmast/landingmast/internal/mesh/adminapi"
	"github.com/landingmast/landingmast/internal/mesh/lab/check"
	"github.com/landingmast/landingmast/internal/mesh/lab/load"
)

const (
	convergeLimit = 5 * time.Second
	// abandonedWorkGrace is the time for requests that callers gave up on to finish.
	abandonedWorkGrace = 1500 * time.Millisecond
)

// evaluate runs the checks. All faults must have ended before.
func (r *Result) evaluate(ctx context.Context, faultInjector *injector, monitor *versionMonitor, answers []load.Answer, stopMonitor func()) error {
	if err := faultInjector.cluster.WaitReady(ctx); err != nil {
		return err
	}
	converged := faultInjector.converge(ctx)
	time.Sleep(abandonedWorkGrace)
	stopMonitor()
	monitor.group.Wait()
	executions, err := faultInjector.cluster.Executions()
	if err != nil {
		return err
	}
	r.Answers = len(answers)
	for _, answer := range answers {
		switch {
		case answer.Complete:
			r.Complete++
		case answer.Outcome == load.NotRun:
			r.NotRun++
		default:
			r.Unknown++
		}
	}
	r.Checks = append(check.All(faultInjector.cluster.Deployment, answers, executions), History(answers), converged, monitor.checkRollbacks())
	return nil
}

// converge waits until every node applies the latest acknowledged bundle.
func (i *injector) converge(ctx context.Context) check.Check {
	began := time.Now()
	behind := ""
	for time.Since(began) < convergeLimit {
		behind = ""
		for _, process := range i.cluster.Nodes {
			status, err := adminapi.New(process.Admin).Status(ctx)
			if err != nil || status.BundleVersion < i.rolledVersion {
				behind += " " + process.Name
			}
		}
		if behind == "" {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	detail := fmt.Sprintf("version %d after %s", i.rolledVersion, time.Since(began).Round(time.Millisecond))
	if behind != "" {
		detail = "behind:" + behind
	}
	return check.Check{Name: "rolled bundle in force everywhere within 5s of the last fault", Passed: behind == "", Detail: detail}
}

func (m *versionMonitor) checkRollbacks() check.Check {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	detail := fmt.Sprintf("%d observations", m.observations)
	if len(m.reverted) > 0 {
		detail += ": " + strings.Join(m.reverted, "; ")
	}
	return check.Check{Name: "no node goes back to an older bundle", Passed: len(m.reverted) == 0 && m.observations > 0, Detail: detail}
}

// attemptInput is the input of an operation in the history of a key.
type attemptInput struct{ key, token string }

// attemptOutput is the output of an operation in the history of a key.
type attemptOutput struct {
	outcome       string
	executedToken string // token of the attempt that produced the answer
	detail        string // for failure messages
}

// atMostOnceModel specifies the allowed results of the attempts of one key: at
// most one attempt is executed and every answer comes from that execution. An
// attempt reported as "not run" is never executed; one with an unknown outcome may
// be, at any later time.
var atMostOnceModel = porcupine.NondeterministicModel{
	Partition: partitionByKey,
	Init:      func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		executed := state.(string)
		sent := input.(attemptInput)
		result := output.(attemptOutput)
		switch {
		case result.outcome == load.Answered && executed == "" && result.executedToken == sent.token:
			return []any{sent.token}
		case result.outcome == load.Answered && executed == result.executedToken && executed != "":
			return []any{executed}
		case result.outcome == load.Answered:
			return nil
		case result.outcome == load.NotRun && executed == sent.token:
			return nil
		case result.outcome == load.NotRun:
			return []any{executed}
		case executed == "":
			return []any{"", sent.token}
		default:
			return []any{executed}
		}
	},
}

func partitionByKey(history []porcupine.Operation) [][]porcupine.Operation {
	byKey := map[string][]porcupine.Operation{}
	var order []string
	for _, operation := range history {
		key := operation.Input.(attemptInput).key
		if _, known := byKey[key]; !known {
			order = append(order, key)
		}
		byKey[key] = append(byKey[key], operation)
	}
	partitions := make([][]porcupine.Operation, 0, len(order))
	for _, key := range order {
		partitions = append(partitions, byKey[key])
	}
	return partitions
}

const historyTimeout = 30 * time.Second

// History checks with porcupine that the results of each key are linearizable
// with at most one execution.
func History(answers []load.Answer) check.Check {
	var history []porcupine.Operation
	for index, answer := range answers {
		if answer.Key == "" {
			continue
		}
		result := attemptOutput{outcome: answer.Outcome, executedToken: answer.ExecutedToken, detail: fmt.Sprintf("%d %s %s", answer.Status, answer.Reason, answer.RequestID)}
		ended := answer.Sent.Add(answer.Latency).UnixNano()
		if answer.Outcome != load.Answered && answer.Outcome != load.NotRun {
			ended = math.MaxInt64 // may still be executed later
		}
		history = append(history, porcupine.Operation{
			ClientId: index, Input: attemptInput{answer.Key, answer.Token}, Call: answer.Sent.UnixNano(), Output: result, Return: ended,
		})
	}
	var illegal []string
	for _, partition := range partitionByKey(history) {
		if verdict := porcupine.CheckOperationsTimeout(atMostOnceModel.ToModel(), partition, historyTimeout); verdict != porcupine.Ok {
			illegal = append(illegal, fmt.Sprintf("%s: %s", verdict, formatHistory(partition)))
		}
	}
	detail := fmt.Sprintf("%d attempts", len(history))
	if len(illegal) > 0 {
		detail += ": " + strings.Join(illegal, " | ")
	}
	return check.Check{Name: "history of each key fits one run of it", Passed: len(illegal) == 0, Detail: detail}
}

func formatHistory(history []porcupine.Operation) string {
	parts := make([]string, 0, len(history))
	for _, operation := range history {
		parts = append(parts, fmt.Sprintf("%+v -> %+v", operation.Input, operation.Output))
	}
	return strings.Join(parts, ", ")
}
