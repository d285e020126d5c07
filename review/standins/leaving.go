package main

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

// Bounds of the pages for a small deployment.
const (
	drainBound = 2 * time.Second
	contact    = 3 * time.Second
)

// Times of playLeaving, from the acknowledgement of the target's DELETE on.
const (
	leavingServesOn = 4900 * time.Millisecond // "at times many seconds"
	restartDelay    = 300 * time.Millisecond  // of a process that was killed
	heartbeatLate   = 2500 * time.Millisecond
	outage          = 5 * time.Second // of the store
)

// playLeaving: a target leaves with DELETE, which its node acknowledges, and serves on for a while. The store
// goes down, the node is killed and started again, and a heartbeat that the target sent before its DELETE
// arrives late. The machine that acknowledged the leaving must pass the target no request later than the
// drain bound, also while the store is down.
func playLeaving(w *World, trouble bool) (broken []string, err error) {
	front, _ := w.AddMachine("front-1", "zone-a", "front", 50)
	leavingNode, leaving := w.AddMachine("pay-1", "zone-a", "pay", 16)
	_, staying := w.AddMachine("pay-2", "zone-a", "pay", 16)
	for _, pay := range []*Target{leaving, staying} {
		pay.Works = []Work{{Prefix: "/approve/", Time: 400 * time.Millisecond}}
	}
	w.Configure([]string{"front", "pay"}, []Route{
		{Name: "approve", Prefix: "/approve/", Kind: "unsafe", Service: "pay", Timeout: 3 * time.Second, Objective: 1500 * time.Millisecond, MaxAttempts: 2},
	})
	if err := w.Start(); err != nil {
		return nil, err
	}
	var group sync.WaitGroup
	stop := make(chan struct{})
	var mu sync.Mutex
	answers, origin := map[string]int{}, map[string]string{}
	for _, node := range []*Node{front, leavingNode} {
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				group.Go(func() {
					id := newID()
					w.Record.Add("client on %s sends %s POST /approve/1", node.Name, id)
					status, content, err := send(node.Outbound, http.MethodPost, "/approve/1", id, 3*time.Second, []byte("amount of "+id))
					w.Record.Add("client on %s: %s answered %d %v %s", node.Name, id, status, err, strings.TrimSpace(string(content)))
					mu.Lock()
					defer mu.Unlock()
					answers[id], origin[id] = status, node.Name
				})
			}
		})
	}
	time.Sleep(3 * time.Second)
	late := leaving.NextBeat() // sent now; arrives later
	w.Record.Add("target %s sends heartbeat %d, state %s, which is delayed on its way", leaving.ID, late.Sequence, late.State)
	if !leaving.Leave() {
		return nil, errNotAcknowledged
	}
	left := leaving.LeftAt()
	if trouble {
		w.Record.Add("the store is down")
		w.Store.SetDown(true)
		w.Record.Add("node %s is killed", leavingNode.Name)
		leavingNode.Kill()
		time.Sleep(restartDelay)
		if err := leavingNode.Start(); err != nil {
			return nil, err
		}
	}
	restarted := time.Now()
	time.Sleep(time.Until(left.Add(heartbeatLate)))
	acked := leaving.Deliver(late)
	w.Record.Add("heartbeat %d of target %s arrives %.1f s late; acknowledged: %v", late.Sequence, leaving.ID, time.Since(left).Seconds(), acked)
	time.Sleep(time.Until(left.Add(leavingServesOn)))
	w.Record.Add("target %s ends", leaving.ID)
	leaving.Stop()
	time.Sleep(time.Until(left.Add(outage)))
	w.Record.Add("the store is up")
	w.Store.SetDown(false)
	time.Sleep(2 * time.Second)
	close(stop)
	group.Wait()
	bound, unknown, other := 0, 0, 0
	for _, run := range leaving.Runs() {
		switch {
		case run.At.Sub(left) <= drainBound:
		case origin[run.ID] == leavingNode.Name && run.At.Sub(restarted) > contact:
			bound++
			if answers[run.ID] != http.StatusOK {
				unknown++
			}
		default:
			other++
		}
	}
	text := w.note("of the requests that reached %s later than %s after its DELETE was acknowledged, %d were taken and passed on by the machine that had acknowledged it, more than %s after its restart (%d of them got no success, as the target ended); %d others are not counted",
		leaving.ID, drainBound, bound, contact, unknown, other)
	if bound > 0 {
		broken = append(broken, "DRAIN: "+text)
	}
	return broken, nil
}
