package eventlog

import (
	"context"
	"io"
	"reflect"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Weight sorts events by what is left out first.
type Weight int

// The weights.
const (
	// State events are changes of what the node believes; they are few.
	State Weight = iota
	// Failure events are of requests that did not end as they should.
	Failure
	// Success events are of requests that did.
	Success
	weights
)

// Bounds of the log.
const flushEvery = 200 * time.Millisecond

// perSecond is how many lines of each weight are written in a second.
var perSecond = [weights]int{State: 200, Failure: 200, Success: 20}

type entry struct {
	at    time.Time
	event Event
}

// Log collects events and writes them from a goroutine of its own. It is safe
// for concurrent use; Add never waits for the output.
type Log struct {
	node   string
	logger *logrus.Logger
	output *lineWriter

	mutex   sync.Mutex
	second  int64
	taken   [weights]int
	entries []entry
	omitted map[string]int
	wake    chan struct{}
}

// New makes the log of a node. Lines go to output once Run was called.
func New(node string, output io.Writer) *Log {
	l := &Log{node: node, logger: logrus.New(), output: newLineWriter(output), omitted: map[string]int{}, wake: make(chan struct{}, 1)}
	l.logger.SetOutput(l.output)
	l.logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000000Z07:00"})
	return l
}

// Wants tells whether an event of the weight would be written now. A caller that
// asks first spares itself the making of an event that is left out.
func (l *Log) Wants(kind string, weight Weight) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.advance(time.Now())
	if l.taken[weight] < perSecond[weight] {
		return true
	}
	l.omitted[kind]++
	return false
}

// Add takes in an event. It is left out when there were too many of its weight
// in this second.
func (l *Log) Add(event Event, weight Weight) {
	now := time.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.advance(now)
	if l.taken[weight] >= perSecond[weight] {
		l.omitted[event.Kind()]++
		return
	}
	l.taken[weight]++
	l.entries = append(l.entries, entry{at: now, event: event})
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// advance begins a new second; the mutex is held. While the output is held up the
// entries of several seconds would gather, so that none are taken then.
func (l *Log) advance(now time.Time) {
	second := now.Unix()
	if second == l.second {
		return
	}
	l.second = second
	if len(l.entries) > maxHeld {
		return
	}
	l.taken = [weights]int{}
	for kind, lines := range l.omitted {
		l.entries = append(l.entries, entry{at: now, event: Omitted{Of: kind, Lines: lines}})
	}
	clear(l.omitted)
}

// maxHeld bounds the entries that wait for the output.
const maxHeld = 1000

// Run writes until ctx ends, and what is left then.
func (l *Log) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			l.flush()
			return
		case <-l.wake:
		}
		timer := time.NewTimer(flushEvery)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
		l.flush()
	}
}

func (l *Log) flush() {
	l.mutex.Lock()
	entries := l.entries
	l.entries = nil
	l.mutex.Unlock()
	for _, one := range entries {
		fields := Fields(one.event)
		fields["node"] = l.node
		l.logger.WithTime(one.at).WithFields(fields).Info(one.event.Kind())
	}
	_ = l.output.Flush()
}

// Fields gives the fields of an event by their names in the log.
func Fields(event Event) logrus.Fields {
	fields := logrus.Fields{}
	value := reflect.ValueOf(event)
	for index := range value.NumField() {
		name, options, _ := strings.Cut(value.Type().Field(index).Tag.Get("json"), ",")
		field := value.Field(index)
		if options == "omitempty" && field.IsZero() {
			continue
		}
		fields[name] = field.Interface()
	}
	return fields
}
