package main

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// playTwice: targets are full at times, since they work on for clients that have left, and send copies of
// some of their answers later. No unsafe request may run twice, and none that got 503 may have run.
func playTwice(w *World, trouble bool) (broken []string, err error) {
	front, _ := w.AddMachine("front-1", "zone-a", "front", 50)
	var pays []*Target
	for _, name := range []string{"pay-1", "pay-2"} {
		_, pay := w.AddMachine(name, "zone-a", "pay", 16)
		pay.Works = []Work{{Prefix: "/report/", Time: time.Second}, {Prefix: "/approve/", Time: 50 * time.Millisecond}}
		if trouble {
			pay.CopyShare = func() float64 { return copyShare }
		}
		pays = append(pays, pay)
	}
	w.Configure([]string{"front", "pay"}, []Route{
		{Name: "approve", Prefix: "/approve/", Kind: "unsafe", Service: "pay", Timeout: 3 * time.Second, Objective: 1500 * time.Millisecond, MaxAttempts: 1},
		{Name: "report", Prefix: "/report/", Kind: "safe", Service: "pay", Timeout: 4 * time.Second, Objective: 2 * time.Second, MaxAttempts: 2, Priority: 1},
	})
	if err := w.Start(); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	answers := map[string]int{}
	var group sync.WaitGroup
	end := time.Now().Add(playTime)
	loop := func(mean time.Duration, f func()) {
		group.Go(func() {
			for time.Now().Before(end) {
				time.Sleep(time.Duration(rand.ExpFloat64() * float64(mean)))
				group.Go(f)
			}
		})
	}
	loop(50*time.Millisecond, func() { // clients that leave long before their deadline
		_, _, _ = sendAndLeave(front.Outbound, http.MethodGet, "/report/1", newID(), 4*time.Second, 150*time.Millisecond, nil)
	})
	loop(5*time.Millisecond, func() {
		id := newID()
		w.Record.Add("client sends %s POST /approve/1", id)
		status, content, err := send(front.Outbound, http.MethodPost, "/approve/1", id, 3*time.Second, []byte("amount of "+id))
		w.Record.Add("client: %s answered %d %v %s", id, status, err, strings.TrimSpace(string(content)))
		mu.Lock()
		defer mu.Unlock()
		answers[id] = status
	})
	group.Wait()
	time.Sleep(2 * time.Second)
	counts, refusedRan, twice := map[string]int{}, 0, 0
	for _, pay := range pays {
		for _, run := range pay.Runs() {
			if run.Method == http.MethodPost {
				counts[run.ID]++
			}
		}
	}
	for id, status := range answers {
		if counts[id] > 1 {
			twice++
			broken = append(broken, w.note("TWICE: %s ran %d times, its client got %d", id, counts[id], status))
		}
		if counts[id] > 0 && (status == 503 || status == 429 || status == 408 || status == 421) {
			refusedRan++
			broken = append(broken, w.note("REFUSED: %s was answered %d and ran %d times", id, status, counts[id]))
		}
	}
	w.note("%d unsafe requests, %d ran more than once, %d answered as not run have run", len(answers), twice, refusedRan)
	return broken, nil
}

// copyShare is the share of answers that are sent a second time; the site files play 0.03.
const copyShare = 0.03

// playTime is how long clients send.
const playTime = 45 * time.Second
