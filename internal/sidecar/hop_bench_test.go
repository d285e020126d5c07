package sidecar_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/clock"
	"github.com/landingmast/landingmast/internal/core/roster"
	"github.com/landingmast/landingmast/internal/sidecar"
	"github.com/landingmast/landingmast/internal/sidecar/settings"
	"github.com/landingmast/landingmast/internal/testbed/deployment"
	"github.com/landingmast/landingmast/internal/testbed/store"
	"github.com/landingmast/landingmast/platform"
)

// BenchmarkHop measures one call over loopback: a client sends it to its node, that one to the node
// of the target, and that one to the target. Client and target write prepared bytes, so that nearly
// all of the time is that of the two nodes. user-us/op and sys-us/op are the CPU times of the process.
func BenchmarkHop(b *testing.B) {
	for _, kind := range []string{deployment.Safe, deployment.Unsafe} {
		b.Run(kind, func(b *testing.B) {
			outbound := startHop(b, kind, shortBody)
			client, err := net.Dial("tcp", outbound)
			if err != nil {
				b.Fatal(err)
			}
			defer client.Close()
			reader := bufio.NewReader(client)
			awaitServed(b, client, reader, kind)
			b.ReportAllocs()
			user, system := cpuTime()
			b.ResetTimer()
			for index := range b.N {
				if status := call(b, client, reader, kind, strconv.Itoa(index)); status != http.StatusOK {
					b.Fatalf("status %d", status)
				}
			}
			b.StopTimer()
			userEnd, systemEnd := cpuTime()
			b.ReportMetric(float64((userEnd-user).Microseconds())/float64(b.N), "user-us/op")
			b.ReportMetric(float64((systemEnd-system).Microseconds())/float64(b.N), "sys-us/op")
		})
	}
}

// BenchmarkParallelHop is BenchmarkHop with 8 clients at a time.
func BenchmarkParallelHop(b *testing.B) {
	outbound := startHop(b, deployment.Safe, shortBody)
	first, err := net.Dial("tcp", outbound)
	if err != nil {
		b.Fatal(err)
	}
	defer first.Close()
	awaitServed(b, first, bufio.NewReader(first), deployment.Safe)
	b.SetParallelism(8)
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		client, err := net.Dial("tcp", outbound)
		if err != nil {
			b.Error(err)
			return
		}
		defer client.Close()
		reader := bufio.NewReader(client)
		for index := 0; pb.Next(); index++ {
			call(b, client, reader, deployment.Safe, strconv.Itoa(index)+client.LocalAddr().String())
		}
	})
}

// evictedBytes exceeds the caches of a core.
const evictedBytes = 16 << 20

// BenchmarkColdHop is BenchmarkHop with caches that other work has filled before each call, as on a
// machine with many processes. The time of filling them is not counted.
func BenchmarkColdHop(b *testing.B) {
	for _, kind := range []string{deployment.Safe, deployment.Unsafe} {
		b.Run(kind, func(b *testing.B) {
			outbound := startHop(b, kind, shortBody)
			client, err := net.Dial("tcp", outbound)
			if err != nil {
				b.Fatal(err)
			}
			defer client.Close()
			reader := bufio.NewReader(client)
			awaitServed(b, client, reader, kind)
			other := make([]byte, evictedBytes)
			var total time.Duration
			b.ResetTimer()
			for index := range b.N {
				for at := 0; at < len(other); at += 64 {
					other[at]++
				}
				started := time.Now()
				if status := call(b, client, reader, kind, strconv.Itoa(index)); status != http.StatusOK {
					b.Fatalf("status %d", status)
				}
				total += time.Since(started)
			}
			b.ReportMetric(float64(total.Microseconds())/float64(b.N), "us/call")
		})
	}
}

// awaitServed sends requests until one is served.
func awaitServed(b testing.TB, conn net.Conn, reader *bufio.Reader, kind string) {
	b.Helper()
	for attempts := 0; call(b, conn, reader, kind, "warmup") != http.StatusOK; attempts++ {
		if attempts > 100 {
			b.Fatal("the hop does not serve requests")
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func cpuTime() (user, system time.Duration) {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano()), time.Duration(usage.Stime.Nano())
}

// call sends a request and returns the status of the response.
func call(b testing.TB, conn net.Conn, reader *bufio.Reader, kind, id string) int {
	b.Helper()
	_, err := io.WriteString(conn, "GET /"+kind+"/item/42?lang=en HTTP/1.1\r\nHost: "+deployment.Host+"\r\nX-Request-Id: "+id+"\r\nX-Deadline-Ms: 2000\r\nAccept: application/json\r\nUser-Agent: client/1.0\r\nX-Trace-Id: 0123456789abcdef\r\n\r\n")
	if err != nil {
		b.Fatal(err)
	}
	status, length := 0, 0
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			b.Fatal(err)
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			break
		}
		if status == 0 {
			status, _ = strconv.Atoi(string(line[9:12]))
		}
		if text, found := bytes.CutPrefix(line, []byte("Content-Length: ")); found {
			length, _ = strconv.Atoi(string(text))
		}
	}
	if _, err := reader.Discard(length); err != nil {
		b.Fatal(err)
	}
	return status
}

// startHop starts a store, a target and two nodes, and returns the address to which clients of the
// node without the target send requests.
func startHop(b testing.TB, kind string, bodyBytes int) (outbound string) {
	return startHopTo(b, kind, func(listener net.Listener) { serveTarget(listener, bodyBytes) }, io.Discard).front
}

// hop holds the addresses to which clients of the two nodes send requests. The target is beside back.
type hop struct{ front, back string }

// startHopTo is startHop with targets that serve accepts connections for. The nodes log to output.
func startHopTo(b testing.TB, kind string, serve func(net.Listener), output io.Writer) hop {
	outbound := map[string]string{}
	listeners := map[string]net.Listener{}
	listen := func() string {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		listeners[listener.Addr().String()] = listener
		return listener.Addr().String()
	}
	plan := deployment.Plan{
		Services: map[string]deployment.Service{"front": {}, "back": {}},
		Routes:   []deployment.Route{{Prefix: "/" + kind + "/", Kind: kind, Service: "back", MaxAttempts: 2, Timeout: 2 * time.Second, Objective: time.Second}},
	}
	storage := store.New()
	storage.Write(platform.ConfigurationKey, plan.Configuration(2))
	storeAddress := listen()
	server := &http.Server{Handler: storage}
	storeListener := listeners[storeAddress]
	go func() { _ = server.Serve(storeListener) }()
	b.Cleanup(func() { _ = server.Close() })
	clk, err := clock.NewSystem()
	if err != nil {
		b.Fatal(err)
	}
	for _, service := range []string{"front", "back"} {
		target := listen()
		targetListener := listeners[target]
		go serve(targetListener)
		b.Cleanup(func() { _ = targetListener.Close() })
		chosen := &settings.Settings{
			Node: "node-" + service, Zone: "a", FirstStart: true, Target: settings.Target{Service: service, Address: target},
			Listen: settings.Listen{Outbound: listen(), Inbound: listen(), Ready: listen(), Control: listen()},
			Store:  settings.Store{Address: storeAddress},
		}
		chosen.SetDefaults()
		outbound[service] = chosen.Listen.Outbound
		startNode(b, chosen, listeners, clk, output)
	}
	time.Sleep(500 * time.Millisecond) // lets the nodes find each other
	return hop{front: outbound["front"], back: outbound["back"]}
}

func startNode(b testing.TB, chosen *settings.Settings, listeners map[string]net.Listener, clk clock.Source, output io.Writer) {
	client := platform.NewStore(chosen.Store.Address, (&net.Dialer{}).DialContext)
	var targets *sidecar.Targets
	node, err := sidecar.New(chosen, sidecar.Options{
		Headers: platform.Headers(), Store: client, ConfigurationKey: platform.ConfigurationKey, RecordPrefix: platform.RecordPrefix, DeparturePrefix: platform.DeparturePrefix,
		NodePrefix: platform.NodePrefix, QuotaPrefix: platform.QuotaPrefix, CrashKey: platform.CrashesKey, ParseIntent: platform.ParseConfiguration,
		Control: func(local *sidecar.Targets) http.Handler { targets = local; return http.NotFoundHandler() },
		Ready:   platform.ReadinessHandler, Output: output, Clock: clk,
		Listen: func(address string) (net.Listener, error) {
			if listener := listeners[address]; listener != nil {
				return listener, nil
			}
			return nil, fmt.Errorf("%s is not reserved", address)
		},
	})
	if err != nil {
		b.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = node.Run(ctx, ctx)
		client.Close()
	}()
	b.Cleanup(func() { stop(); <-stopped })
	if err := targets.Heartbeat(roster.Report{Instance: "i-" + chosen.Node, Service: chosen.Target.Service, Address: chosen.Target.Address, Zone: "a", Slots: 50, Sequence: 1}); err != nil {
		b.Fatal(err)
	}
}

// shortBody is the size of the response bodies in benchmarks.
const shortBody = 16

// serveTarget answers every request with a body of the given size and echoes the request id.
func serveTarget(listener net.Listener, bodyBytes int) {
	body := bytes.Repeat([]byte("x"), bodyBytes)
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			reader := bufio.NewReader(conn)
			var response []byte
			for {
				var id []byte
				for {
					line, err := reader.ReadSlice('\n')
					if err != nil {
						return
					}
					line = bytes.TrimRight(line, "\r\n")
					if len(line) == 0 {
						break
					}
					if value, found := bytes.CutPrefix(line, []byte("X-Request-Id: ")); found {
						id = append(id[:0], value...)
					}
				}
				response = append(response[:0], "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Response-Signature: 8d5a\r\nX-Instance-Id: target-1\r\nX-Server-Load: 3,0,50\r\nDate: Thu, 01 Jan 2026 00:00:00 GMT\r\nX-Request-Id: "...)
				response = append(append(response, id...), "\r\nContent-Length: "...)
				response = append(strconv.AppendInt(response, int64(bodyBytes), 10), "\r\n\r\n"...)
				response = append(response, body...)
				if _, err := conn.Write(response); err != nil {
					return
				}
			}
		}()
	}
}
