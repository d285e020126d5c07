package node_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/landingmast/landingmast/internal/failure"
	"github.com/landingmast/landingmast/internal/mesh/control"
	"github.com/landingmast/landingmast/internal/mesh/core/bundle"
	"github.com/landingmast/landingmast/internal/mesh/dataplane"
	"github.com/landingmast/landingmast/internal/mesh/lab/standin"
	"github.com/landingmast/landingmast/internal/mesh/platform"
	"github.com/landingmast/landingmast/internal/mesh/roll"
	"github.com/landingmast/landingmast/internal/mesh/security"
	"github.com/landingmast/landingmast/internal/mesh/telemetry"
	"github.com/landingmast/landingmast/internal/mesh/wire"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a mesh of nodes", func() {
	var m *mesh

	BeforeEach(func() {
		m = newMesh()
		m.front = func(w http.ResponseWriter, r *http.Request) { _, _ = fmt.Fprint(w, "front") }
		m.back = func(w http.ResponseWriter, r *http.Request) { _, _ = fmt.Fprint(w, "back") }
		m.start()
	})

	It("serves a request through two services and explains it at every hop", func() {
		m.front = func(w http.ResponseWriter, r *http.Request) {
			response, err := m.call(r, "back", "/deeper")
			Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			_, _ = io.Copy(w, response.Body)
		}
		response, body, err := m.send("entry-1", "GET", "/x", nil, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("back"))
		Expect(response.Header.Get("Landingmast-Outcome")).To(Equal("answered"))
		decisions, err := m.admin("back-2").Explain(context.Background(), response.Header.Get("X-Request-Id"))
		Expect(err).NotTo(HaveOccurred())
		depths := map[int]bool{}
		actions := map[string]bool{}
		for _, decision := range decisions {
			depths[decision.Depth] = true
			actions[decision.Action] = true
		}
		Expect(depths).To(HaveKey(0))
		Expect(actions).To(And(HaveKey("route"), HaveKey("admit"), HaveKey("answer")))
	})

	It("passes methods, statuses and headers through and strips reserved headers", func() {
		m.front = func(w http.ResponseWriter, r *http.Request) {
			for name := range r.Header {
				Expect(name).NotTo(HavePrefix("Landingmast-"))
			}
			w.Header().Set("X-Method", r.Method)
			w.Header().Set("X-Query", r.URL.RawQuery)
			w.Header().Set("Landingmast-Forged", "1")
			w.WriteHeader(http.StatusNoContent)
		}
		for _, method := range []string{"HEAD", "GET", "DELETE", "PUT"} {
			response, _, err := m.send("entry-1", method, "/x?a=%20b", nil, http.Header{"Landingmast-Call": {"forged"}})
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(http.StatusNoContent))
			Expect(response.Header.Get("X-Method")).To(Equal(method))
			Expect(response.Header.Get("X-Query")).To(Equal("a=%20b"))
			Expect(response.Header).NotTo(HaveKey("Landingmast-Forged"))
		}
	})

	It("rejects connections to the peer port without a client certificate", func() {
		client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
		_, err := client.Get("https://" + m.settings["front-1"].Listen.Peers + "/")
		Expect(err).To(HaveOccurred())
		response, err := http.Get("http://" + m.settings["front-1"].Listen.Peers + "/")
		if err == nil {
			Expect(response.StatusCode).To(Equal(http.StatusBadRequest)) // "client sent an HTTP request to an HTTPS server"
		}
	})

	It("streams request and response bodies concurrently", func() {
		m.front = func(w http.ResponseWriter, r *http.Request) {
			Expect(http.NewResponseController(w).EnableFullDuplex()).To(Succeed())
			lines := bufio.NewScanner(r.Body)
			for lines.Scan() {
				_, _ = fmt.Fprintln(w, "echo "+lines.Text())
				_ = http.NewResponseController(w).Flush()
			}
		}
		reader, writer := io.Pipe()
		go func() { _, _ = fmt.Fprintln(writer, "one") }()
		request, _ := http.NewRequest("POST", "http://"+m.settings["entry-1"].Listen.Callers+"/stream", reader)
		request.Host = "front"
		response, err := http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		answers := bufio.NewReader(response.Body)
		Expect(answers.ReadString('\n')).To(Equal("echo one\n"))
		_, _ = fmt.Fprintln(writer, "two")
		Expect(answers.ReadString('\n')).To(Equal("echo two\n"))
		_ = writer.Close()
	})

	DescribeTable("propagates a truncated response to the caller as an error", func(contentLength bool) {
		m.front = func(w http.ResponseWriter, r *http.Request) {
			if contentLength {
				w.Header().Set("Content-Length", "100000")
			}
			_, _ = w.Write(make([]byte, 60000))
			panic(http.ErrAbortHandler)
		}
		_, body, err := m.send("entry-1", "GET", "/x", nil, nil)
		Expect(err).To(HaveOccurred())
		Expect(len(body)).To(BeNumerically("<", 100000))
	}, Entry("with Content-Length", true), Entry("with chunked encoding", false))

	It("propagates a truncated response without a length to a caller of HTTP/1.0 as an error", func() {
		m.front = func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(make([]byte, 60000))
			panic(http.ErrAbortHandler)
		}
		conn, err := net.Dial("tcp", m.settings["entry-1"].Listen.Callers)
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, err = io.WriteString(conn, "GET /x HTTP/1.0\r\nHost: front\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(conn)
		Expect(err).To(HaveOccurred())
	})

	DescribeTable("does not take an invalid response of a target for its answer", func(response, reason string) {
		response = strings.Replace(response, "\r\n", "\r\nConnection: close\r\n", 1) // a later call must not meet the end of a reused connection
		m.front = func(w http.ResponseWriter, _ *http.Request) { writeRaw(w, response) }
		for _, send := range []struct {
			method, path string
			header       http.Header
		}{
			{method: "GET", path: "/x"},
			{method: "POST", path: "/once", header: http.Header{"Idempotency-Key": {"k"}}},
		} {
			m.waitVoters()
			answer, body, err := m.send("entry-1", send.method, send.path, nil, send.header)
			if reason == "" { // the head was passed on before
				Expect(err).To(HaveOccurred(), "%s %q", send.path, body)
				continue
			}
			Expect(err).NotTo(HaveOccurred())
			Expect(answer.Header.Get("Landingmast-Outcome")).To(Equal("unknown"), "status %d, body %q", answer.StatusCode, body)
			Expect(answer.StatusCode).To(Equal(http.StatusBadGateway))
			if send.header != nil { // the other call is sent to further targets
				Expect(answer.Header.Get("Landingmast-Reason")).To(Equal(reason))
			}
		}
	},
		Entry("status 000", "HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\nbody", "invalid_response"),
		Entry("status 600", "HTTP/1.1 600 High\r\nContent-Length: 4\r\n\r\nbody", "invalid_response"),
		Entry("declined with status 000", "HTTP/1.1 000 Full\r\nX-Shed: 1\r\nContent-Length: 4\r\n\r\nbody", "invalid_response"),
		Entry("switched protocol", "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\nbody", "invalid_response"),
		Entry("major version 2", "HTTP/2.0 200 OK\r\nContent-Length: 4\r\n\r\nbody", "invalid_response"),
		Entry("blank in a field name", "HTTP/1.1 200 OK\r\nA B: c\r\nContent-Length: 4\r\n\r\nbody", "invalid_response"),
		Entry("blank in the name of the length", "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbody and more", "invalid_response"),
		Entry("declined with a blank in a field name", "HTTP/1.1 503 Full\r\nX-Shed: 1\r\nA B: c\r\nContent-Length: 4\r\n\r\nbody", "invalid_response"),
		Entry("control byte in a field name", "HTTP/1.1 200 OK\r\nA\x01B: c\r\nContent-Length: 4\r\n\r\nbody", "reset"),
		Entry("blank in a trailer field", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nA B: c\r\n\r\n", ""),
	)

	It("does not take a response that was reset during an upload for a complete one", func() {
		m.front = func(w http.ResponseWriter, _ *http.Request) {
			conn := writeRaw(w, "HTTP/1.1 200 OK\r\n\r\npart")
			time.Sleep(time.Duration(rand.IntN(50)) * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
		var group sync.WaitGroup
		var complete atomic.Int64
		for range 10 {
			group.Go(func() {
				for range 20 {
					upload, sender := io.Pipe()
					go func() {
						for range 100 {
							if _, err := sender.Write(make([]byte, 8<<10)); err != nil {
								break
							}
							time.Sleep(time.Millisecond)
						}
						_ = sender.Close()
					}()
					response, _, err := m.send("entry-1", "POST", "/x", upload, nil)
					_ = upload.Close()
					if err == nil && response.StatusCode < http.StatusBadRequest {
						complete.Add(1)
					}
				}
			})
		}
		group.Wait()
		Expect(complete.Load()).To(BeZero())
	})

	It("does not resend an at-most-once request when a reused connection breaks", func() {
		var received atomic.Int64
		m.front = func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			if r.URL.Path == "/once" {
				received.Add(1)
				panic(http.ErrAbortHandler)
			}
		}
		m.waitVoters()
		for range 20 { // establish reusable connections between all nodes
			_, _, err := m.send("entry-1", "GET", "/warm", nil, nil)
			Expect(err).NotTo(HaveOccurred())
		}
		for number := range 10 {
			header := http.Header{"Idempotency-Key": {fmt.Sprint("k", number)}}
			response, _, err := m.send("entry-1", "POST", "/once", nil, header)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Header.Get("Landingmast-Outcome")).To(Equal("unknown"))
		}
		Expect(received.Load()).To(Equal(int64(10)))
	})

	It("retries a repeatable request up to the limit of its class", func() {
		var received atomic.Int64
		m.front = func(w http.ResponseWriter, r *http.Request) {
			received.Add(1)
			panic(http.ErrAbortHandler)
		}
		response, _, err := m.send("entry-1", "GET", "/x", nil, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Header.Get("Landingmast-Outcome")).To(Equal("unknown"))
		Expect(received.Load()).To(BeNumerically("<=", 3))
		Expect(received.Load()).To(BeNumerically(">=", 2))
	})

	It("executes an idempotency key once across concurrent requests to several entries", func() {
		var runs atomic.Int64
		m.front = func(w http.ResponseWriter, r *http.Request) {
			runs.Add(1)
			time.Sleep(50 * time.Millisecond)
			_, _ = fmt.Fprint(w, "done")
		}
		m.waitVoters()
		header := http.Header{"Idempotency-Key": {"one"}}
		var group sync.WaitGroup
		for number := range 10 {
			group.Go(func() {
				defer GinkgoRecover()
				response, _, err := m.send(fmt.Sprintf("entry-%d", number%2+1), "POST", "/once", strings.NewReader("x"), header)
				Expect(err).NotTo(HaveOccurred())
				Expect(response.Header.Get("Landingmast-Outcome")).To(Or(Equal("answered"), Equal("unknown")))
			})
		}
		group.Wait()
		Expect(runs.Load()).To(Equal(int64(1)))
		response, body, err := m.send("entry-2", "POST", "/once", nil, header)
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("done"))
		Expect(response.Header.Get("Landingmast-Reason")).To(Equal("kept_answer"))
	})

	It("reports a declared refusal of a target as not run unless the target made calls", func() {
		m.front = func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/deeper" {
				response, err := m.call(r, "back", "/x")
				Expect(err).NotTo(HaveOccurred())
				_ = response.Body.Close()
			}
			w.Header().Set("X-Shed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		response, _, err := m.send("entry-1", "GET", "/plain", nil, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Header.Get("Landingmast-Outcome")).To(Equal("not-run"))
		Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
		response, _, err = m.send("entry-1", "GET", "/deeper", nil, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Header.Get("Landingmast-Outcome")).To(Equal("answered"))
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
	})

	It("serves a call chain of the maximum depth and refuses a deeper one", func() {
		other := map[string]string{"front": "back", "back": "front"}
		hop := func(w http.ResponseWriter, r *http.Request) {
			remaining, err := strconv.Atoi(strings.TrimPrefix(r.URL.Path, "/"))
			Expect(err).NotTo(HaveOccurred())
			if remaining == 0 {
				_, _ = fmt.Fprint(w, "bottom")
				return
			}
			response, err := m.call(r, other[r.Host], fmt.Sprint("/", remaining-1))
			Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			w.WriteHeader(response.StatusCode)
			_, _ = io.Copy(w, response.Body)
		}
		m.front, m.back = hop, hop
		response, body, err := m.send("entry-1", "GET", "/8", nil, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("bottom"))
		decisions, err := m.admin("entry-2").Explain(context.Background(), response.Header.Get("X-Request-Id"))
		Expect(err).NotTo(HaveOccurred())
		maxDepth := 0
		for _, decision := range decisions {
			maxDepth = max(maxDepth, decision.Depth)
		}
		Expect(maxDepth).To(Equal(8))
		response, body, err = m.send("entry-1", "GET", "/9", nil, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusLoopDetected))
		Expect(body).To(ContainSubstring("too_deep"))
	})

	It("refuses requests that match no class and names the remedy", func() {
		response, body, err := m.send("entry-1", "POST", "/once", nil, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusBadRequest))
		Expect(body).To(ContainSubstring("remedy"))
		Expect(response.Header.Get("Landingmast-Outcome")).To(Equal("not-run"))
		request, _ := http.NewRequest("GET", "http://"+m.settings["entry-1"].Listen.Callers+"/", nil)
		request.Host = "nowhere"
		response, err = http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusNotFound))
	})

	It("routes no new calls to a draining target", func() {
		var seen sync.Map
		m.front = func(w http.ResponseWriter, r *http.Request) { seen.Store(r.Host+r.Header.Get("X-Request-Id"), true) }
		_, err := m.admin("front-1").Drain(context.Background())
		Expect(err).NotTo(HaveOccurred())
		for range 30 {
			response, _, err := m.send("entry-1", "GET", "/x", nil, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(http.StatusOK))
		}
		status, err := m.admin("front-1").Status(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(status.State).To(Equal("draining"))
		Expect(status.Admitted).To(BeZero())
	})

	It("installs a rolled bundle on all nodes and rejects forged releases", func() {
		next := *m.bundle
		next.Version = 2
		m.roll(&next)
		for name := range m.settings {
			Eventually(func() int64 {
				status, err := m.admin(name).Status(context.Background())
				Expect(err).NotTo(HaveOccurred())
				return status.BundleVersion
			}, "5s", "20ms").Should(Equal(int64(2)))
		}
		forged := next
		forged.Version = 3
		release, err := bundle.Sign(&forged, "op", m.private)
		Expect(err).NotTo(HaveOccurred())
		release.Signer = "unknown"
		_, err = roll.Roll(context.Background(), platform.NewConsul(m.storeAddr, time.Second), release)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() uint64 {
			status, err := m.admin("entry-1").Status(context.Background())
			Expect(err).NotTo(HaveOccurred())
			Expect(status.BundleVersion).To(Equal(int64(2)))
			return status.BundlesRejected
		}, "10s", "50ms").Should(BeNumerically(">", 0))
	})

	It("does not install a bundle from a single peer after a restart", func() {
		m.store.SetFaults(standin.Faults{Down: true})
		for name := range m.settings {
			if name != "entry-1" {
				m.running[name]()
				Eventually(m.stopped[name], "5s").Should(Receive(BeNil()))
			}
		}
		m.startNode("front-1") // one of its six seed peers is running: no majority
		peer := m.settings["entry-1"]
		identity, err := security.LoadIdentity(peer.TLS.Certificate, peer.TLS.Key, peer.TLS.Authorities)
		Expect(err).NotTo(HaveOccurred())
		client := control.NewClient(&http.Transport{TLSClientConfig: identity.Client()}, telemetry.NewMetrics())
		_, err = client.ExchangeVersions(context.Background(), m.settings["front-1"].Listen.Peers, &wire.VersionMessage{From: "entry-1", Topic: wire.TopicBundle, Version: 1})
		Expect(err).NotTo(HaveOccurred())
		Consistently(func() int64 {
			status, err := m.admin("front-1").Status(context.Background())
			Expect(err).NotTo(HaveOccurred())
			return status.BundleVersion
		}, "1s", "50ms").Should(BeZero())
		m.store.SetFaults(standin.Faults{})
		m.waitReady("front-1")
	})

	It("names the winning signer to an operator whose roll conflicts", func() {
		next := *m.bundle
		next.Version = 2
		m.roll(&next)
		release, err := bundle.Sign(&next, "op", m.private)
		Expect(err).NotTo(HaveOccurred())
		_, err = roll.Roll(context.Background(), platform.NewConsul(m.storeAddr, time.Second), release)
		Expect(failure.Is(err, failure.Conflict)).To(BeTrue())
		Expect(err.Error()).To(ContainSubstring("signed by op"))
	})

	It("completes requests in flight on a graceful shutdown", func() {
		started := make(chan struct{}, 1)
		m.front = func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/slow" {
				started <- struct{}{}
				time.Sleep(300 * time.Millisecond)
			}
			_, _ = fmt.Fprint(w, "whole")
		}
		answers := make(chan string, 1)
		go func() {
			defer GinkgoRecover()
			_, body, err := m.send("entry-1", "GET", "/slow", nil, nil)
			Expect(err).NotTo(HaveOccurred())
			answers <- body
		}()
		<-started
		m.running["front-1"]()
		m.running["front-2"]()
		Expect(<-answers).To(Equal("whole"))
		Eventually(m.stopped["front-1"], "5s").Should(Receive(BeNil()))
	})

	It("sets Connection: close on responses sent during a graceful shutdown", func() {
		started := make(chan struct{}, 1)
		m.front = func(w http.ResponseWriter, r *http.Request) {
			started <- struct{}{}
			time.Sleep(300 * time.Millisecond)
			_, _ = fmt.Fprint(w, "whole")
		}
		closes := make(chan bool, 1)
		go func() {
			defer GinkgoRecover()
			response, body, err := m.send("entry-1", "GET", "/slow", nil, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal("whole"))
			closes <- response.Close
		}()
		<-started
		m.running["entry-1"]()
		Expect(<-closes).To(BeTrue())
	})

	// The headers of the stream are sent before the shutdown and can't carry Connection: close.
	// Closing its connection right after the stream would lose the next request of the caller.
	It("serves the next request on the connection of a stream that outlasts the drain grace period", func() {
		started, end := make(chan struct{}, 1), make(chan struct{})
		m.front = func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/next" {
				_, _ = fmt.Fprint(w, "next")
				return
			}
			_, _ = fmt.Fprint(w, "begun")
			_ = http.NewResponseController(w).Flush()
			started <- struct{}{}
			<-end
		}
		transport := &http.Transport{MaxConnsPerHost: 1}
		defer transport.CloseIdleConnections()
		ask := func(path string) (*http.Response, error) {
			request, err := http.NewRequest(http.MethodPost, "http://"+m.settings["entry-1"].Listen.Callers+path, strings.NewReader("body"))
			Expect(err).NotTo(HaveOccurred())
			request.Host, request.GetBody = "front", nil
			return transport.RoundTrip(request)
		}
		stream, err := ask("/stream")
		Expect(err).NotTo(HaveOccurred())
		<-started
		m.running["entry-1"]()
		time.Sleep(dataplane.DrainGrace + 200*time.Millisecond)
		close(end)
		body, err := io.ReadAll(stream.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal("begun"))
		time.Sleep(200 * time.Millisecond)
		next, err := ask("/next")
		Expect(err).NotTo(HaveOccurred())
		defer next.Body.Close()
		Expect(next.Close).To(BeTrue())
		body, err = io.ReadAll(next.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal("next"))
	})
})
