package main

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// playChaos: several faults at once, to look for others.
func playChaos(w *World, trouble bool) (broken []string, err error) {
	var fronts []*Node
	var all, pays []*Target
	for _, name := range []string{"front-1", "front-2"} {
		n, t := w.AddMachine(name, "zone-a", "front", 50)
		fronts, all = append(fronts, n), append(all, t)
	}
	for _, name := range []string{"pay-1", "pay-2", "pay-3"} {
		n, pay := w.AddMachine(name, "zone-b", "pay", 12)
		pay.Works = []Work{{Prefix: "/approve/", Time: 60 * time.Millisecond}, {Prefix: "/upload/", Time: 60 * time.Millisecond}, {Prefix: "/report/", Time: 30 * time.Millisecond}}
		if trouble {
			pay.Chaos = 0.1
			pay.CopyShare = func() float64 { return 0.3 }
		}
		all, pays = append(all, pay), append(pays, pay)
		fronts = append(fronts, n)
	}
	w.Configure([]string{"front", "pay"}, []Route{
		{Name: "approve", Prefix: "/approve/", Kind: "unsafe", Service: "pay", Timeout: 2 * time.Second, Objective: 1500 * time.Millisecond, MaxAttempts: 2},
		{Name: "upload", Prefix: "/upload/", Kind: "upload", Service: "pay", Timeout: 2 * time.Second, Objective: 1500 * time.Millisecond, MaxAttempts: 2},
		{Name: "report", Prefix: "/report/", Kind: "safe", Service: "pay", Timeout: 2 * time.Second, Objective: 2 * time.Second, MaxAttempts: 3, Priority: 1},
	})
	if err := w.Start(); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	answers, kinds := map[string]int{}, map[string]string{}
	var group sync.WaitGroup
	end := time.Now().Add(playTime * 2)
	loop := func(mean time.Duration, f func()) {
		group.Go(func() {
			for time.Now().Before(end) {
				time.Sleep(time.Duration(rand.ExpFloat64() * float64(mean)))
				group.Go(f)
			}
		})
	}
	kind := func(method, path string, size func() int) func() {
		return func() {
			id := newID()
			var body []byte
			if size != nil {
				body = []byte(strings.Repeat(id, size()/len(id)+1))
			}
			leave := 3 * time.Second
			if rand.IntN(8) == 0 {
				leave = time.Duration(rand.IntN(150)) * time.Millisecond
			}
			status, content, err := sendAndLeave(fronts[rand.IntN(len(fronts))].Outbound, method, path, id, 2*time.Second, leave, body)
			w.Record.Add("client: %s %s answered %d %v %q", id, path, status, err, strings.TrimSpace(string(content)))
			mu.Lock()
			defer mu.Unlock()
			answers[id], kinds[id] = status, path
			if status == 200 && err == nil && !strings.HasPrefix(string(content), "content of "+id) {
				broken = append(broken, w.note("MIXED %s %q", id, content))
			}
		}
	}
	loop(12*time.Millisecond, kind(http.MethodPost, "/approve/1", func() int { return 300 }))
	loop(40*time.Millisecond, kind(http.MethodPost, "/upload/1", func() int { return 20000 + rand.IntN(300000) }))
	loop(12*time.Millisecond, kind(http.MethodGet, "/report/1", nil))
	if trouble {
		group.Go(func() {
			for time.Now().Before(end.Add(-8 * time.Second)) {
				time.Sleep(time.Duration(500+rand.IntN(2000)) * time.Millisecond)
				n := w.Nodes[rand.IntN(len(w.Nodes))]
				switch rand.IntN(5) {
				case 0, 1:
					w.Record.Add("node %s stands still", n.Name)
					_ = n.command.Process.Signal(syscall.SIGSTOP)
					time.Sleep(time.Duration(100+rand.IntN(3000)) * time.Millisecond)
					_ = n.command.Process.Signal(syscall.SIGCONT)
					w.Record.Add("node %s goes on", n.Name)
				case 2, 3:
					w.Record.Add("node %s is killed", n.Name)
					n.Kill()
					time.Sleep(time.Duration(100+rand.IntN(500)) * time.Millisecond)
					_ = n.Start()
				case 4:
					n.Stop()
					_ = n.Start()
				}
			}
		})
	}
	group.Wait()
	time.Sleep(3 * time.Second)
	counts := map[string]int{}
	for _, pay := range pays {
		for _, run := range pay.Runs() {
			if run.Method == http.MethodPost {
				counts[run.ID]++
			}
		}
	}
	statuses := map[int]int{}
	for id, status := range answers {
		statuses[status]++
		if counts[id] > 1 {
			broken = append(broken, w.note("TWICE: %s %s ran %d times, its client got %d", id, kinds[id], counts[id], status))
		}
		if counts[id] > 0 && (status == 503 || status == 429 || status == 408 || status == 421) {
			broken = append(broken, w.note("REFUSED: %s %s was answered %d and ran %d times", id, kinds[id], status, counts[id]))
		}
	}
	w.note("%v", statuses)
	return broken, nil
}
