package duplex

import (
	"bytes"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/landingmast/landingmast/internal/testbed/memnet"
	. "github.com/onsi/gomega"
)

// logBuffer collects the log output of a server.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(data []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(data)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// opaqueReader hides the type of a body from net/http, which therefore cannot resend it.
type opaqueReader struct{ io.Reader }

// A response sent before the request body was read must not close the connection unannounced:
// the next request on it would fail, and the client could not tell whether it was executed.
func TestConnectionCloseIsAnnounced(t *testing.T) {
	for _, tc := range []struct {
		name      string
		body      string
		length    int64 // -1: unknown
		drain     bool  // the handler calls DrainBody
		wantClose bool  // the response must carry "Connection: close"
	}{
		{"no body", "", 0, false, false},
		{"short and unread", "short", 5, false, true},
		{"long", strings.Repeat("x", maxDrainBytes+1), maxDrainBytes + 1, true, true},
		{"longer than net/http reads by itself", strings.Repeat("x", 1<<20), 1 << 20, true, true},
		{"length unknown", "short", -1, true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			log, client := serve(t, func(w http.ResponseWriter, r *http.Request) {
				writer, _ := Begin(w, r, nil)
				if tc.drain {
					writer.DrainBody()
				}
				writer.WriteHeader(http.StatusServiceUnavailable)
			})
			for range 100 {
				response, err := client.post(tc.body, tc.length)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
				g.Expect(response.Close).To(Equal(tc.wantClose))
			}
			g.Expect(log.String()).To(BeEmpty())
		})
	}
}

// A connection must stay usable after a request with a short body was rejected. In virtual time: on a
// machine without processor time left, drainTimeout passes before a body that has arrived is read, and the
// connection closes, announced, as for one that has not.
func TestConnectionIsKeptAfterAShortBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log, client := serveInMemory(t, func(w http.ResponseWriter, r *http.Request) {
			writer, _ := Begin(w, r, nil)
			writer.DrainBody()
			writer.WriteHeader(http.StatusServiceUnavailable)
		})
		for range 100 {
			response, err := client.post("short", 5)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
			g.Expect(response.Close).To(BeFalse())
		}
		g.Expect(log.String()).To(BeEmpty())
	})
}

// A client that stalls while sending a short body must be rejected without delay.
func TestDrainBodyDoesNotWaitForStalledBody(t *testing.T) {
	g := NewWithT(t)
	log, client := serve(t, func(w http.ResponseWriter, r *http.Request) {
		writer, _ := Begin(w, r, nil)
		writer.DrainBody()
		writer.WriteHeader(http.StatusServiceUnavailable)
	})
	conn, err := net.Dial("tcp", strings.TrimPrefix(client.url, "http://"))
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nsh")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(conn.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	head := make([]byte, 200)
	n, err := conn.Read(head)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(head[:n])).To(And(HavePrefix("HTTP/1.1 503"), ContainSubstring("Connection: close")))
	g.Expect(log.String()).To(BeEmpty())
}

// closeAfter must be evaluated when the header is written: a shutdown that starts after the
// request arrived would otherwise not be announced.
func TestCloseAfterIsEvaluatedWithHeader(t *testing.T) {
	g := NewWithT(t)
	closing := false
	_, client := serve(t, func(w http.ResponseWriter, r *http.Request) {
		writer, _ := Begin(w, r, func() bool { return closing })
		closing = true
		_, _ = io.WriteString(writer, "answer")
	})
	response, err := client.post("", 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.Close).To(BeTrue())
}

type testClient struct {
	client *http.Client
	url    string
}

func serve(t *testing.T, handler http.HandlerFunc) (*logBuffer, *testClient) {
	logged := &logBuffer{}
	server := httptest.NewUnstartedServer(handler)
	server.Config.ErrorLog = log.New(logged, "", 0)
	server.Start()
	t.Cleanup(server.Close)
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return logged, &testClient{client: &http.Client{Transport: transport}, url: server.URL}
}

// serveInMemory is serve over a network in memory, for tests in virtual time.
func serveInMemory(t *testing.T, handler http.HandlerFunc) (*logBuffer, *testClient) {
	network := memnet.New(func(string, string) time.Duration { return time.Millisecond })
	listener, err := network.Listen("10.0.0.1:80")
	if err != nil {
		t.Fatal(err)
	}
	logged := &logBuffer{}
	server := &http.Server{Handler: handler, ErrorLog: log.New(logged, "", 0)}
	go func() { _ = server.Serve(listener) }()
	transport := &http.Transport{DialContext: network.Dialer("10.0.0.2")}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		_ = server.Close()
		network.Close()
	})
	return logged, &testClient{client: &http.Client{Transport: transport}, url: "http://10.0.0.1:80"}
}

func (c *testClient) post(body string, length int64) (*http.Response, error) {
	request, err := http.NewRequest(http.MethodPost, c.url, http.NoBody)
	if err != nil {
		return nil, err
	}
	if length != 0 {
		request.Body, request.ContentLength = io.NopCloser(opaqueReader{strings.NewReader(body)}), length
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response, err
}

// A request whose client left before it was read must not be passed on. Without NoticeDisconnect, 110
// such requests reached targets up to 0.9 s after their clients had left, through nodes whose processor
// had no time left.
func TestNoticeDisconnect(t *testing.T) {
	for _, tc := range []struct{ name, request string }{
		{"no body", "GET / HTTP/1.1\r\nHost: x\r\n\r\n"},
		{"body", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			const requests = 20
			for range requests {
				conn, err := net.Dial("tcp", listener.Addr().String())
				g.Expect(err).NotTo(HaveOccurred())
				_, err = io.WriteString(conn, tc.request)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(conn.Close()).To(Succeed())
			}
			ended := make(chan error, requests)
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, r = Begin(w, r, nil)
				_, _ = io.ReadAll(r.Body)
				NoticeDisconnect()
				ended <- r.Context().Err()
			})}
			go func() { _ = server.Serve(listener) }()
			defer server.Close()
			noticed := 0
			for range requests {
				if <-ended != nil {
					noticed++
				}
			}
			g.Expect(noticed).To(BeNumerically(">=", requests*3/4))
		})
	}
}
