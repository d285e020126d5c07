package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Times of a planned stop, from the SIGTERM on.
const (
	grace         = 6 * time.Second
	clientsNotice = 2 * time.Second // two questions in a row without a 200 take a machine out
)

// playStop: a node is stopped as planned while its clients' requests wait for a slot of a busy target on
// another machine. Requests that were read must get an answer.
func playStop(w *World, trouble bool) (broken []string, err error) {
	stopped, _ := w.AddMachine("front-1", "zone-a", "front", 50)
	other, _ := w.AddMachine("front-2", "zone-a", "front", 50)
	_, pay := w.AddMachine("pay-1", "zone-a", "pay", slowSlots)
	pay.Works = []Work{{Prefix: "/report/", Time: reportWork}, {Prefix: "/approve/", Time: approveWork}}
	w.Configure([]string{"front", "pay"}, []Route{
		{Name: "approve", Prefix: "/approve/", Kind: "unsafe", Service: "pay", Timeout: 6 * time.Second, Objective: 6 * time.Second, MaxAttempts: 2},
		{Name: "report", Prefix: "/report/", Kind: "safe", Service: "pay", Timeout: 6 * time.Second, Objective: 6 * time.Second, Priority: 2, MaxAttempts: 2},
	})
	if err := w.Start(); err != nil {
		return nil, err
	}
	type request struct {
		id            string
		sentAt, endAt time.Time
		status        int
		err           error
	}
	var mu sync.Mutex
	var requests []request // of clients on the stopped machine
	var group sync.WaitGroup
	begun := time.Now()
	interval := func(busy time.Duration) time.Duration {
		if time.Since(begun) < busyAfter {
			return calmFactor * busy
		}
		return busy
	}
	ends := map[*Node]chan struct{}{stopped: make(chan struct{}), other: make(chan struct{})}
	for node, kind := range map[*Node]struct {
		method, path string
		every        time.Duration
	}{stopped: {http.MethodGet, "/report/1", reportEvery}, other: {http.MethodPost, "/approve/1", approveEvery}} {
		group.Go(func() {
			for {
				select {
				case <-ends[node]:
					return
				case <-time.After(interval(kind.every)):
				}
				group.Go(func() {
					sent := request{id: newID(), sentAt: time.Now()}
					w.Record.Add("client on %s sends %s %s %s", node.Name, sent.id, kind.method, kind.path)
					var content []byte
					sent.status, content, sent.err = send(node.Outbound, kind.method, kind.path, sent.id, 6*time.Second, nil)
					sent.endAt = time.Now()
					w.Record.Add("client on %s: %s answered %d %v %s", node.Name, sent.id, sent.status, sent.err, strings.TrimSpace(string(content)))
					if node == stopped {
						mu.Lock()
						defer mu.Unlock()
						requests = append(requests, sent)
					}
				})
			}
		})
	}
	time.Sleep(time.Until(begun.Add(stopAfter)))
	stoppedAt := time.Now()
	if trouble {
		time.AfterFunc(clientsNotice, func() { close(ends[stopped]) })
		stopped.Stop()
	} else {
		time.Sleep(clientsNotice)
		close(ends[stopped])
		time.Sleep(grace - clientsNotice)
	}
	time.Sleep(time.Second)
	close(ends[other])
	group.Wait()
	runs := map[string]Run{}
	for _, run := range pay.Runs() {
		runs[run.ID] = run
	}
	lost := 0
	for _, r := range requests {
		after := r.endAt.Sub(stoppedAt)
		run, ran := runs[r.id]
		if r.err == nil || after < 0 || after > grace+time.Second {
			continue
		}
		text := fmt.Sprintf("%s, sent %.2f s after the SIGTERM, ended without an answer %.2f s after it", r.id, r.sentAt.Sub(stoppedAt).Seconds(), after.Seconds())
		if ran && run.At.Before(r.endAt) {
			w.Record.Add("%s; its target had been at work since %.2f s after it: not counted", text, run.At.Sub(stoppedAt).Seconds())
			continue
		}
		lost++
		w.Record.Add("%s; no target had begun to work on it: counted", text)
	}
	text := w.note("%d requests that the node had read ended with a closed connection, no target being at work on them", lost)
	if lost > 0 {
		broken = append(broken, "LOST: "+text)
	}
	return broken, nil
}

// The busy service: 8 approvals a second can be served. Clients send little at first, and more from busyAfter
// on, which is shortly before the SIGTERM.
const (
	slowSlots    = 5 // of which the node uses 4
	approveWork  = 500 * time.Millisecond
	approveEvery = 127 * time.Millisecond
	reportWork   = 500 * time.Millisecond
	reportEvery  = 150 * time.Millisecond
	calmFactor   = 4
	stopAfter    = 12 * time.Second
	busyAfter    = stopAfter - time.Second
)
