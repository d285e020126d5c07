package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the deployment. The machines have the memory of the small deployments (SYSTEM.md), the uploads are
// those of demands/LATER.md; the doses are at most twice the largest of the site files.
const (
	memoryLimit   = 284_000_000
	maxWindow     = 64 << 10 // links have small windows
	uploadsPerS   = 159.0
	waveSwing     = 0.55
	wavePeriod    = 15 * time.Second
	peakAfter     = 1500 * time.Millisecond // peak of the wave, from the time on at which the target turns slow
	burstFactor   = 3.6                     // largest: 1.8
	slowFactor    = 24.0                    // largest: 12
	uploadWork    = 160 * time.Millisecond
	uploadTime    = 3 * time.Second
	uploadMean    = 60_000.0
	uploadMax     = 360_000
	storeSlots    = 378
	calmTime      = 8 * time.Second
	burstAhead    = 2 * time.Second
	slowTime      = 12 * time.Second
	lookupWork    = 400 * time.Millisecond
	lookupTime    = 5 * time.Second
	lostBound     = 3 // "more than three times"
	lookupClients = 40
	entryMachines = 4
)

// usedBytes returns the memory of a node's process as the platform counts it: what is resident, and the bytes
// that have arrived on its connections and are not read, at most maxWindow of each.
func usedBytes(n *Node) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.command.Process.Pid))
	if err != nil {
		return 0
	}
	_, text, _ := strings.Cut(string(data), "VmRSS:")
	fields := strings.Fields(text)
	if len(fields) == 0 {
		return 0
	}
	kilobytes, _ := strconv.ParseInt(fields[0], 10, 64)
	return kilobytes<<10 + unreadBytes(n.Inbound, n.Outbound)
}

// unreadBytes returns the unread bytes of the open connections to addresses.
func unreadBytes(addresses ...string) (sum int64) {
	ports := map[string]bool{}
	for _, address := range addresses {
		_, port, _ := net.SplitHostPort(address)
		number, _ := strconv.Atoi(port)
		ports[fmt.Sprintf("%04X", number)] = true
	}
	data, _ := os.ReadFile("/proc/net/tcp")
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line) // number, local, remote, state, tx:rx
		if len(fields) < 5 || fields[3] != "01" {
			continue
		}
		_, port, _ := strings.Cut(fields[1], ":")
		_, unread, _ := strings.Cut(fields[4], ":")
		if count, err := strconv.ParseInt(unread, 16, 64); err == nil && ports[port] {
			sum += min(count, maxWindow)
		}
	}
	return sum
}

// uploadSize draws the length of a body, with the mean and the spread of the uploads.
func uploadSize() int {
	const sigma = 0.6
	return min(int(uploadMean*math.Exp(sigma*rand.NormFloat64()-sigma*sigma/2)), uploadMax)
}

// playMemory: many users upload at once (burst) and the target turns slow (srv_slow). Its node keeps the first
// part of each upload that waits or runs. Where its memory exceeds that of its machine, the platform kills it.
func playMemory(w *World, trouble bool) (broken []string, err error) {
	var entries []*Node
	for i := range entryMachines {
		n, t := w.AddMachine(fmt.Sprintf("front-%d", i+1), "zone-a", "front", 50)
		t.Works = []Work{{Prefix: "/list/", Time: lookupWork}}
		entries = append(entries, n)
	}
	storeNode, store := w.AddMachine("store-1", "zone-a", "store", storeSlots)
	store.Works = []Work{{Prefix: "/upload/", Time: uploadWork}}
	w.Configure([]string{"front", "store"}, []Route{
		{Name: "list", Prefix: "/list/", Kind: "safe", Service: "front", Timeout: 5 * time.Second, Objective: 1500 * time.Millisecond, MaxAttempts: 2, Priority: 1},
		{Name: "upload", Prefix: "/upload/", Kind: "upload", Service: "store", Timeout: uploadTime, Objective: 800 * time.Millisecond, MaxAttempts: 2, Priority: 1},
	})
	if err := w.Start(); err != nil {
		return nil, err
	}
	content := bytes.Repeat([]byte("x"), uploadMax)
	var group sync.WaitGroup
	begun := time.Now()
	end := begun.Add(calmTime + slowTime)
	rate := func() float64 {
		phase := (time.Since(begun) - calmTime - peakAfter).Seconds() / wavePeriod.Seconds()
		now := uploadsPerS * (1 + waveSwing*math.Cos(2*math.Pi*phase))
		if trouble && time.Since(begun) > calmTime-burstAhead {
			return now * burstFactor
		}
		return now
	}
	var mu sync.Mutex
	statuses := map[string]int{}
	group.Go(func() {
		for at := time.Now(); at.Before(end); at = at.Add(time.Duration(rand.ExpFloat64() / rate() * float64(time.Second))) {
			time.Sleep(time.Until(at))
			entry := entries[rand.IntN(len(entries))]
			group.Go(func() {
				id := newID()
				w.Record.Add("client on %s sends upload %s", entry.Name, id)
				status, _, err := send(entry.Outbound, http.MethodPost, "/upload/1", id, uploadTime, content[:uploadSize()])
				w.Record.Add("client on %s: upload %s answered %d %v", entry.Name, id, status, err)
				mu.Lock()
				defer mu.Unlock()
				statuses[strconv.Itoa(status)]++
			})
		}
	})
	losses := map[string]string{} // by request id
	for range lookupClients {
		group.Go(func() {
			client := &keptClient{address: storeNode.Outbound}
			defer client.close()
			for time.Now().Before(end) {
				id := newID()
				w.Record.Add("client on %s sends lookup %s", storeNode.Name, id)
				status, sent, err := client.get("/list/1", id, lookupTime)
				w.Record.Add("client on %s: lookup %s answered %d %v", storeNode.Name, id, status, err)
				if err != nil && sent {
					mu.Lock()
					losses[id] = err.Error()
					mu.Unlock()
				}
				time.Sleep(time.Duration(rand.IntN(200)) * time.Millisecond)
			}
		})
	}
	time.AfterFunc(time.Until(begun.Add(calmTime)), func() {
		if trouble {
			w.Record.Add("the target of store works %v times as long", slowFactor)
			store.SetSlow(slowFactor)
		}
	})
	highest, ended := int64(0), time.Time{}
	for time.Now().Before(end) && ended.IsZero() {
		time.Sleep(20 * time.Millisecond)
		used := usedBytes(storeNode)
		if used > highest {
			highest = used
			w.Record.Add("memory of %s: %d MB", storeNode.Name, used/1_000_000)
		}
		if used > memoryLimit {
			ended = time.Now()
			w.Record.Add("node %s uses %d MB, its machine has %d: the platform kills it", storeNode.Name, used/1_000_000, memoryLimit/1_000_000)
			_ = storeNode.command.Process.Signal(syscall.SIGKILL)
			<-storeNode.done
			time.Sleep(300 * time.Millisecond)
			if err := storeNode.Start(); err != nil {
				return nil, err
			}
		}
	}
	group.Wait()
	passed := 0
	for _, target := range w.Targets {
		for _, run := range target.Runs() {
			if why, lost := losses[run.ID]; lost && target.Service == "front" && run.At.Before(ended) {
				passed++
				w.Record.Add("lookup %s was running at %s, a sound target, when the node ended: %s", run.ID, target.ID, why)
			}
		}
	}
	w.note("memory of %s at most %d MB; uploads answered %v; %d lookups were read and ended with a closed connection, %d of them had been passed on to sound targets",
		storeNode.Name, highest/1_000_000, statuses, len(losses), passed)
	if passed > lostBound {
		broken = append(broken, w.note("LOST: a node went over the memory of its machine, without a disruption there, and %d requests from kept connections that it had passed on got no answer", passed))
	}
	return broken, nil
}

// keptClient is a client that keeps its connection for many requests.
type keptClient struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

func (c *keptClient) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// get sends a request and reads the whole answer. sent reports whether the request was written.
func (c *keptClient) get(path, id string, timeout time.Duration) (status int, sent bool, err error) {
	if c.conn == nil {
		if c.conn, err = net.DialTimeout("tcp", c.address, time.Second); err != nil {
			c.conn = nil
			return 0, false, err
		}
		c.reader = bufio.NewReader(c.conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(timeout + time.Second))
	if _, err = fmt.Fprintf(c.conn, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n\r\n", path, Host, id, timeout.Milliseconds()); err != nil {
		c.close()
		return 0, false, err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err == nil {
		status = response.StatusCode
		_, err = io.Copy(io.Discard, response.Body)
	}
	if err != nil || response.Close {
		c.close()
	}
	return status, true, err
}
