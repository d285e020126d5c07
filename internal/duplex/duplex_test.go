package duplex

import (
	"bytes"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// lines keeps what a server logs.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lines) Write(data []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(data)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// opaque hides from net/http what a body is, so that it sends nothing a second time by itself.
type opaque struct{ io.Reader }

// A handler that answers without having read the request's body: net/http panics behind the
// answer ("invalid concurrent Body.Read call"), the connection closes without a word, and the
// next request that its sender writes to it is lost with an unknown end. Found by approvals that
// ended "unknown reset" beside load: every refused call with a body closed its connection.
func TestNoConnectionClosesUnannouncedBehindAnAnswer(t *testing.T) {
	for _, tc := range []struct {
		name   string
		body   string
		length int64 // -1: unknown
		rest   bool  // the handler reads the rest
		closes bool  // the answer asks to close the connection
	}{
		{"no body", "", 0, false, false},
		{"short and read", "short", 5, true, false},
		{"short and unread", "short", 5, false, true},
		{"long", strings.Repeat("x", restBytes+1), restBytes + 1, true, true},
		{"longer than net/http reads by itself", strings.Repeat("x", 1<<20), 1 << 20, true, true},
		{"length unknown", "short", -1, true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			log, client := serve(t, func(w http.ResponseWriter, r *http.Request) {
				answer, _ := Begin(w, r, nil)
				if tc.rest {
					answer.ReadRest()
				}
				answer.WriteHeader(http.StatusServiceUnavailable)
			})
			for range 100 {
				response, err := client.post(tc.body, tc.length)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
				g.Expect(response.Close).To(Equal(tc.closes))
			}
			g.Expect(log.String()).To(BeEmpty())
		})
	}
}

// A sender that stalls within a short body gets its refusal all the same, at once.
func TestARefusalDoesNotWaitForABodyThatStalls(t *testing.T) {
	g := NewWithT(t)
	log, client := serve(t, func(w http.ResponseWriter, r *http.Request) {
		answer, _ := Begin(w, r, nil)
		answer.ReadRest()
		answer.WriteHeader(http.StatusServiceUnavailable)
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

// Whether the connection ends is asked when the head is written, not when the request came: what
// begins in between, such as a planned stop, would otherwise not be announced.
func TestTheEndIsAskedForWithTheHead(t *testing.T) {
	g := NewWithT(t)
	ends := false
	_, client := serve(t, func(w http.ResponseWriter, r *http.Request) {
		answer, _ := Begin(w, r, func() bool { return ends })
		ends = true
		_, _ = io.WriteString(answer, "answer")
	})
	response, err := client.post("", 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.Close).To(BeTrue())
}

type sender struct {
	client *http.Client
	url    string
}

func serve(t *testing.T, handler http.HandlerFunc) (*lines, *sender) {
	logged := &lines{}
	server := httptest.NewUnstartedServer(handler)
	server.Config.ErrorLog = log.New(logged, "", 0)
	server.Start()
	t.Cleanup(server.Close)
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return logged, &sender{client: &http.Client{Transport: transport}, url: server.URL}
}

func (s *sender) post(body string, length int64) (*http.Response, error) {
	request, err := http.NewRequest(http.MethodPost, s.url, http.NoBody)
	if err != nil {
		return nil, err
	}
	if length != 0 {
		request.Body, request.ContentLength = io.NopCloser(opaque{strings.NewReader(body)}), length
	}
	response, err := s.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response, err
}
