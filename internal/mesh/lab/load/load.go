// Package load sends a deployment's mixed traffic as an open loop of outside
// callers and keeps what every caller saw, for later checks.
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

// Answer is what one sending of a request came to, as its caller saw it.
type Answer struct {
	Class     string
	Token     string // of this sending
	Key       string
	RequestID string
	Outcome   string // answered, not-run, unknown, or broken when the connection was cut
	Reason    string
	Status    int
	Whole     bool   // body complete, matching its digest and this caller's token
	Foreign   bool   // body of another caller
	Run       string // token of the sending that the answer was made for
	Sent      time.Time
	Took      time.Duration
}

// Outcomes as callers see them.
const (
	Answered = "answered"
	NotRun   = "not-run"
	Unknown  = "unknown"
	Broken   = "broken"
)

// Options set a run.
type Options struct {
	Deployment *deployment.Deployment
	Entries    []string // IP:port of the entries
	Rate       float64  // new requests a second, over all classes
	Duration   time.Duration
	Users      int
	Resend     int           // a caller without an answer sends again so many times, at another entry
	Backoff    time.Duration // before that; default 20ms
	Seed       uint64
	Progress   func(sent, whole int)
}

// Run sends the traffic and gives every answer. It stops early with ctx.
func Run(ctx context.Context, options Options) []Answer {
	runner := &runner{options: options, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512, DisableCompression: true}}}
	random := rand.New(rand.NewPCG(options.Seed, 1))
	var group sync.WaitGroup
	started := time.Now()
	due := started
	for number := 0; time.Since(started) < options.Duration && ctx.Err() == nil; number++ {
		due = due.Add(time.Duration(random.ExpFloat64() / options.Rate * float64(time.Second)))
		time.Sleep(time.Until(due))
		traffic := deployment.Pick(options.Deployment.Mix, random.Float64())
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

// request sends one user request, and sends it again with the same key when it
// got no whole answer.
func (r *runner) request(ctx context.Context, traffic *deployment.Traffic, user string, entry, number int) {
	key := ""
	if traffic.Keyed {
		key = fmt.Sprintf("key-%d-%d", r.options.Seed, number)
	}
	for sending := 0; sending <= r.options.Resend; sending++ {
		token := fmt.Sprintf("t%d-%d-%d", r.options.Seed, number, sending)
		answer := Send(ctx, r.client, r.options.Entries[(entry+sending)%len(r.options.Entries)], traffic, user, key, token)
		r.mutex.Lock()
		r.answers = append(r.answers, answer)
		if answer.Whole {
			r.whole++
		}
		r.mutex.Unlock()
		if answer.Whole || ctx.Err() != nil {
			return
		}
		time.Sleep(max(r.options.Backoff, minBackoff))
	}
}

// minBackoff is a caller's shortest pause before it sends again.
const minBackoff = 20 * time.Millisecond

const clientTimeout = 15 * time.Second

// Send sends one request to an entry and checks the answer.
func Send(ctx context.Context, client *http.Client, entry string, traffic *deployment.Traffic, user, key, token string) Answer {
	answer := Answer{Class: traffic.Class, Token: token, Key: key, Outcome: Broken, Sent: time.Now()}
	defer func() { answer.Took = time.Since(answer.Sent) }()
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
		// Lower case keeps net/http from sending it again by itself.
		request.Header["idempotency-key"] = []string{key}
	}
	response, err := client.Do(request)
	if err != nil {
		answer.Reason = err.Error()
		return answer
	}
	defer response.Body.Close()
	answer.read(response, token)
	answer.Took = time.Since(answer.Sent)
	return answer
}

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
	a.Run = response.Header.Get(standin.HeaderEcho)
	if outcome != Answered || response.StatusCode != http.StatusOK {
		return
	}
	kept := a.Reason == "kept_answer" // belongs to an earlier sending of the same key
	a.Foreign = a.Run != token && !(kept && sameRequest(a.Run, token))
	a.Whole = response.Header.Get(standin.HeaderDigest) != "" && !a.Foreign
}

// Request names the user request that the answer's sending belongs to.
func (a *Answer) Request() string {
	return a.Token[:max(strings.LastIndexByte(a.Token, '-'), 0)]
}

// sameRequest tells whether two tokens are of sendings of one request.
func sameRequest(left, right string) bool {
	return left[:max(strings.LastIndexByte(left, '-'), 0)] == right[:max(strings.LastIndexByte(right, '-'), 0)]
}

// Summary sums up the answers of one class.
type Summary struct {
	Class   string
	Sent    int
	Whole   int
	Failed  int // answered, but not with 200
	NotRun  int
	Unknown int
	Broken  int
	Foreign int
	P50     time.Duration
	P99     time.Duration
}

// Summarize sums up answers by class, in the order of the mix.
func Summarize(d *deployment.Deployment, answers []Answer) []Summary {
	summaries := make([]Summary, len(d.Mix))
	histograms := make([]*hdrhistogram.Histogram, len(d.Mix))
	place := map[string]int{}
	for index, traffic := range d.Mix {
		place[traffic.Class] = index
		summaries[index].Class = traffic.Class
		histograms[index] = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	}
	for _, answer := range answers {
		index := place[answer.Class]
		summaries[index].add(answer)
		if answer.Whole {
			_ = histograms[index].RecordValue(int64(answer.Took / time.Microsecond))
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
	case answer.Foreign:
		s.Foreign++
	case answer.Whole:
		s.Whole++
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

// BaseID gives the request id without the call id that nodes add for targets.
func BaseID(targetID string) string {
	if dot := strings.LastIndexByte(targetID, '.'); dot >= 0 {
		return targetID[:dot]
	}
	return targetID
}

// Ports hands out loopback addresses in sequence.
type Ports struct{ next int }

// NewPorts begins at a port.
func NewPorts(first int) *Ports { return &Ports{next: first} }

// Next gives the next address.
func (p *Ports) Next() string {
	p.next++
	return "127.0.0.1:" + strconv.Itoa(p.next-1)
}
