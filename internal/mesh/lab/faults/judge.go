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
	// lateWork is how long work that callers gave up on may still go on.
	lateWork = 1500 * time.Millisecond
)

// judge heals nothing itself: every fault has ended when it is called.
func (r *Result) judge(ctx context.Context, inject *injector, watch *watch, answers []load.Answer, stopWatching func()) error {
	if err := inject.cluster.WaitReady(ctx); err != nil {
		return err
	}
	converged := inject.converge(ctx)
	time.Sleep(lateWork)
	stopWatching()
	watch.group.Wait()
	executions, err := inject.cluster.Executions()
	if err != nil {
		return err
	}
	r.Answers = len(answers)
	for _, answer := range answers {
		switch {
		case answer.Whole:
			r.Whole++
		case answer.Outcome == load.NotRun:
			r.NotRun++
		default:
			r.Unknown++
		}
	}
	r.Checks = append(check.All(inject.cluster.Deployment, answers, executions), History(answers), converged, watch.verdict())
	return nil
}

// converge waits until every node has the newest rolled bundle in force.
func (i *injector) converge(ctx context.Context) check.Check {
	began := time.Now()
	behind := ""
	for time.Since(began) < convergeLimit {
		behind = ""
		for _, process := range i.cluster.Nodes {
			status, err := adminapi.New(process.Admin).Status(ctx)
			if err != nil || status.BundleVersion < i.rolled {
				behind += " " + process.Name
			}
		}
		if behind == "" {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	detail := fmt.Sprintf("version %d after %s", i.rolled, time.Since(began).Round(time.Millisecond))
	if behind != "" {
		detail = "behind:" + behind
	}
	return check.Check{Name: "rolled bundle in force everywhere within 5s of the last fault", Held: behind == "", Detail: detail}
}

func (w *watch) verdict() check.Check {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	detail := fmt.Sprintf("%d looks", w.looks)
	if len(w.reverted) > 0 {
		detail += ": " + strings.Join(w.reverted, "; ")
	}
	return check.Check{Name: "no node goes back to an older bundle", Held: len(w.reverted) == 0 && w.looks > 0, Detail: detail}
}

// sending is the input of one operation of the history of a key.
type sending struct{ key, token string }

// came is its output.
type came struct {
	outcome string
	run     string // token of the sending whose run the answer is of
	about   string // for people
}

// keyModel is what the callers of one key may see: at most one sending is ever
// run, every answer is the answer of that run, a sending that came back as "not
// run" has not run, and one that came back unknown may have, then or later.
var keyModel = porcupine.NondeterministicModel{
	Partition: partitionByKey,
	Init:      func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		run := state.(string)
		sent := input.(sending)
		result := output.(came)
		switch {
		case result.outcome == load.Answered && run == "" && result.run == sent.token:
			return []any{sent.token}
		case result.outcome == load.Answered && run == result.run && run != "":
			return []any{run}
		case result.outcome == load.Answered:
			return nil
		case result.outcome == load.NotRun && run == sent.token:
			return nil
		case result.outcome == load.NotRun:
			return []any{run}
		case run == "":
			return []any{"", sent.token}
		default:
			return []any{run}
		}
	},
}

func partitionByKey(history []porcupine.Operation) [][]porcupine.Operation {
	byKey := map[string][]porcupine.Operation{}
	var order []string
	for _, operation := range history {
		key := operation.Input.(sending).key
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

// History checks with porcupine that what the callers of each key saw fits one
// order of events in which the key was run at most once.
func History(answers []load.Answer) check.Check {
	var history []porcupine.Operation
	for index, answer := range answers {
		if answer.Key == "" {
			continue
		}
		result := came{outcome: answer.Outcome, run: answer.Run, about: fmt.Sprintf("%d %s %s", answer.Status, answer.Reason, answer.RequestID)}
		ended := answer.Sent.Add(answer.Took).UnixNano()
		if answer.Outcome != load.Answered && answer.Outcome != load.NotRun {
			ended = math.MaxInt64 // it may still take effect
		}
		history = append(history, porcupine.Operation{
			ClientId: index, Input: sending{answer.Key, answer.Token}, Call: answer.Sent.UnixNano(), Output: result, Return: ended,
		})
	}
	var illegal []string
	for _, partition := range partitionByKey(history) {
		if verdict := porcupine.CheckOperationsTimeout(keyModel.ToModel(), partition, historyTimeout); verdict != porcupine.Ok {
			illegal = append(illegal, fmt.Sprintf("%s: %s", verdict, describe(partition)))
		}
	}
	detail := fmt.Sprintf("%d sendings", len(history))
	if len(illegal) > 0 {
		detail += ": " + strings.Join(illegal, " | ")
	}
	return check.Check{Name: "history of each key fits one run of it", Held: len(illegal) == 0, Detail: detail}
}

func describe(history []porcupine.Operation) string {
	parts := make([]string, 0, len(history))
	for _, operation := range history {
		parts = append(parts, fmt.Sprintf("%+v -> %+v", operation.Input, operation.Output))
	}
	return strings.Join(parts, ", ")
}
