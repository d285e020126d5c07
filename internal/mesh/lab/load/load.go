// Package load is an open-loop load generator. It sends the traffic mix of a
// deployment and records the response to every attempt.
package load

import (
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/landingmast/landingmast/internal/mesh/lab/deployment"
	"github.com/landingmast/landingmast/internal/mesh/lab/standin"
)

// Answer is the result of one attempt of a request, as its caller saw it.
type Answer struct {
	Class         string
	Token         string // identifies the attempt
	Key           string
	RequestID     string
	Outcome       string // Answered, NotRun, Unknown or Broken
	Reason        string
	Status        int
	Complete      bool   // body complete, with matching digest and token
	Misdelivered  bool   // response to another caller
	ExecutedToken string // token of the attempt whose execution produced the response
	Sent          time.Time
	Latency       time.Duration
}

// Outcomes of an attempt.
const (
	Answered = "answered"
	NotRun   = "not-run"
	Unknown  = "unknown"
	Broken   = "broken" // no complete response
)

// Options configures a run.
type Options struct {
	Deployment *deployment.Deployment
	Entries    []string // IP:port of the entries
	Rate       float64  // new requests per second over all classes
	Duration   time.Duration
	Users      int
	MaxRetries int           // retries of a caller without a complete response, each at another entry
	Backoff    time.Duration // before a retry; at least 20ms
	Seed       uint64
	Progress   func(sent, whole int)
}

// Run sends the traffic and returns the result of every attempt. It stops early if
// ctx is cancelled.
func Run(ctx context.Context, options Options) []Answer {
	runner := &runner{options: options, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512, DisableCompression: true}}}
	random := rand.New(rand.NewPCG(options.Seed, 1))
	var group sync.WaitGroup
	start := time.Now()
	next := start
	for number := 0; time.Since(start) < options.Duration && ctx.Err() == nil; number++ {
		next = next.Add(time.Duration(random.ExpFloat64() / options.Rate * float64(time.Second)))
		time.Sleep(time.Until(next))
		traffic := deployment.PickTraffic(options.Deployment.Mix, random.Float64())
		user := fmt.Sprintf("user-%d", random.IntN(max(options.Users, 1)))
		entry := random.IntN(len(options.Entries))
		group.Go(func() { runner.request(ctx, traffic, user, entry, number) })
		if options.Progress != nil && number%100 == 0 {
			runner.progress()
		}
	}
	group.Wait()
	return runner.answers
}

type runner struct {
	options Options
	client  *http.Client
	mutex   sync.Mutex
	answers []Answer
	whole   int
}

func (r *runner) progress() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.options.Progress(len(r.answers), r.whole)
}

// request sends one user request and retries it with the same key until it gets a
// complete response or has no retries left.
func (r *runner) request(ctx context.Context, traffic *deployment.Traffic, user string, entry, number int) {
	key := ""
	if traffic.Keyed {
		key = fmt.Sprintf("key-%d-%d", r.options.Seed, number)
	}
	for attempt := 0; attempt <= r.options.MaxRetries; attempt++ {
		token := fmt.Sprintf("t%d-%d-%d", r.options.Seed, number, attempt)
		answer := Send(ctx, r.client, r.options.Entries[(entry+attempt)%len(r.options.Entries)], traffic, user, key, token)
		r.mutex.Lock()
		r.answers = append(r.answers, answer)
		if answer.Complete {
			r.whole++
		}
		r.mutex.Unlock()
		if answer.Complete || ctx.Err() != nil {
			return
		}
		time.Sleep(max(r.options.Backoff, minBackoff))
	}
}

// minBackoff is the shortest pause before a retry.
const minBackoff = 20 * time.Millisecond

const clientTimeout = 15 * time.Second

// Send sends one request to an entry and verifies the response.
func Send(ctx context.Context, client *http.Client, entry string, traffic *deployment.Traffic, user, key, token string) Answer {
	answer := Answer{Class: traffic.Class, Token: token, Key: key, Outcome: Broken, Sent: time.Now()}
	defer func() { answer.Latency = time.Since(answer.Sent) }()
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	var body io.Reader
	if traffic.Method == http.MethodPost {
		body = strings.NewReader(hex.EncodeToString([]byte(token)))
	}
	request, err := http.NewRequestWithContext(ctx, traffic.Method, "http://"+entry+traffic.Path, body)
	if err != nil {
		answer.Reason = err.Error()
		return answer
	}
	request.GetBody = nil
	request.Host = traffic.Service
	request.Header.Set("X-User", user)
	request.Header.Set(standin.HeaderEcho, token)
	if key != "" {
		// net/http retries requests that have a canonical Idempotency-Key header; the
		// lower-case key prevents that.
		request.Header["idempotency-key"] = []string{key}
	}
	response, err := client.Do(request)
	if err != nil {
		answer.Reason = err.Error()
		return answer
	}
	defer response.Body.Close()
	answer.read(response, token)
	answer.Latency = time.Since(answer.Sent)
	return answer
}

// read fills the answer from a response and verifies its body.
func (a *Answer) read(response *http.Response, token string) {
	a.Status = response.StatusCode
	a.RequestID = response.Header.Get("X-Request-Id")
	outcome := response.Header.Get("Landingmast-Outcome")
	a.Reason = response.Header.Get("Landingmast-Reason")
	if err := standin.CheckBody(response); err != nil {
		a.Reason = err.Error()
		return
	}
	if outcome == "" {
		outcome = Answered
	}
	a.Outcome = outcome
	a.ExecutedToken = response.Header.Get(standin.HeaderEcho)
	if outcome != Answered || response.StatusCode != http.StatusOK {
		return
	}
	stored := a.Reason == "kept_answer" // belongs to an earlier attempt with the same key
	a.Misdelivered = a.ExecutedToken != token && !(stored && sameRequest(a.ExecutedToken, token))
	a.Complete = response.Header.Get(standin.HeaderDigest) != "" && !a.Misdelivered
}

// Request returns the token of the attempt without the attempt number, which
// identifies the user request.
func (a *Answer) Request() string {
	return a.Token[:max(strings.LastIndexByte(a.Token, '-'), 0)]
}

// sameRequest reports whether two tokens belong to attempts of the same request.
func sameRequest(left, right string) bool {
	return left[:max(strings.LastIndexByte(left, '-'), 0)] == right[:max(strings.LastIndexByte(right, '-'), 0)]
}

// Summary aggregates the answers of one class.
type Summary struct {
	Class        string
	Sent         int
	Complete     int
	Failed       int // answered with a status other than 200 or without a digest
	NotRun       int
	Unknown      int
	Broken       int
	Misdelivered int
	P50          time.Duration
	P99          time.Duration
}

// Summarize aggregates answers by class, in the order of the mix.
func Summarize(d *deployment.Deployment, answers []Answer) []Summary {
	summaries := make([]Summary, len(d.Mix))
	histograms := make([]*hdrhistogram.Histogram, len(d.Mix))
	positions := map[string]int{}
	for index, traffic := range d.Mix {
		positions[traffic.Class] = index
		summaries[index].Class = traffic.Class
		histograms[index] = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	}
	for _, answer := range answers {
		index := positions[answer.Class]
		summaries[index].add(answer)
		if answer.Complete {
			_ = histograms[index].RecordValue(int64(answer.Latency / time.Microsecond))
		}
	}
	for index := range summaries {
		summaries[index].P50 = time.Duration(histograms[index].ValueAtQuantile(50)) * time.Microsecond
		summaries[index].P99 = time.Duration(histograms[index].ValueAtQuantile(99)) * time.Microsecond
	}
	return summaries
}

func (s *Summary) add(answer Answer) {
	s.Sent++
	switch {
	case answer.Misdelivered:
		s.Misdelivered++
	case answer.Complete:
		s.Complete++
	case answer.Outcome == NotRun:
		s.NotRun++
	case answer.Outcome == Unknown:
		s.Unknown++
	case answer.Outcome == Broken:
		s.Broken++
	default:
		s.Failed++
	}
}

// BaseID returns the request id without the call id that nodes append to it.
func BaseID(targetID string) string {
	if dot := strings.LastIndexByte(targetID, '.'); dot >= 0 {
		return targetID[:dot]
	}
	return targetID
}

// Ports allocates loopback addresses with consecutive ports.
type Ports struct{ next int }

// NewPorts returns an allocator that starts at the given port.
func NewPorts(first int) *Ports { return &Ports{next: first} }

// Next returns the next address.
func (p *Ports) Next() string {
	p.next++
	return "127.0.0.1:" + strconv.Itoa(p.next-1)
}
