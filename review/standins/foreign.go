package main

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

// playForeignBeat: another writer sends heartbeats with the id of a target that name no service of the
// configuration. Requests that begin on the target's machine must still carry the machine's service.
func playForeignBeat(w *World, trouble bool) (broken []string, err error) {
	front, target := w.AddMachine("front-1", "zone-a", "front", 50)
	_, pay := w.AddMachine("pay-1", "zone-a", "pay", 16)
	pay.Works = []Work{{Prefix: "/approve/", Time: 40 * time.Millisecond}}
	w.Configure([]string{"front", "pay"}, []Route{
		{Name: "approve", Prefix: "/approve/", Kind: "unsafe", Service: "pay", Timeout: 3 * time.Second, Objective: 1500 * time.Millisecond, MaxAttempts: 2},
		{Name: "view", Prefix: "/view/", Kind: "safe", Service: "front", Timeout: 3 * time.Second, Objective: 1500 * time.Millisecond, MaxAttempts: 2},
	})
	if err := w.Start(); err != nil {
		return nil, err
	}
	var group sync.WaitGroup
	stop := make(chan struct{})
	every := func(interval time.Duration, f func()) {
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(interval):
					group.Go(f)
				}
			}
		})
	}
	request := func(method, path string) func() {
		return func() {
			id := newID()
			w.Record.Add("client on front-1 sends %s %s %s", id, method, path)
			status, content, err := send(front.Outbound, method, path, id, 3*time.Second, nil)
			w.Record.Add("client: %s answered %d %v %s", id, status, err, strings.TrimSpace(string(content)))
		}
	}
	every(50*time.Millisecond, request(http.MethodPost, "/approve/1"))
	every(100*time.Millisecond, request(http.MethodGet, "/view/1"))
	for range 5 {
		time.Sleep(3 * time.Second)
		if trouble {
			beat := target.lastBeat()
			beat.Sequence++
			beat.Service = "not-in-any-configuration"
			w.Record.Add("another writer sends a heartbeat with id %s, sequence %d, service %s; acknowledged: %v", target.ID, beat.Sequence, beat.Service, target.Deliver(beat))
		}
	}
	time.Sleep(3 * time.Second)
	close(stop)
	group.Wait()
	runs, wrong := 0, 0
	for _, known := range []*Target{target, pay} {
		for _, run := range known.Runs() {
			runs++
			if run.Caller != "front" {
				wrong++
			}
		}
	}
	text := w.note("%d of %d requests that began on front-1, whose target is of service front, ran with another X-Caller-Service", wrong, runs)
	if wrong > 0 {
		broken = append(broken, "UNASKED: "+text)
	}
	return broken, nil
}

// lastBeat returns the last heartbeat that the target sent.
func (t *Target) lastBeat() Beat {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Beat{Sequence: t.sequence, Service: t.Service, State: t.state, Zone: t.Zone, Slots: t.Slots}
}
