package sidecar

import (
	"io"
	"net/http"
	"time"

	"github.com/landingmast/landingmast/internal/core/outcome"

	"github.com/landingmast/landingmast/internal/core/slots"
	"github.com/landingmast/landingmast/internal/wire"
)

// reply is what became of one sending of a request.
type reply struct {
	outcome     outcome.Outcome
	reason      outcome.Reason
	arrived     bool // the request reached the target
	status      int
	header      http.Header
	body        []byte        // the whole body, when stream is nil
	stream      io.ReadCloser // a long body; it must be closed
	length      int64         // of the stream; -1: unknown
	load        slots.Load
	incarnation string
	version     uint64        // of the configuration at the node that replied
	needs       []wire.Need   // of services further down
	waited      time.Duration // for a slot of the target
}

func notRun(reason outcome.Reason) *reply { return &reply{outcome: outcome.NotRun, reason: reason} }

func unknown(reason outcome.Reason) *reply {
	return &reply{outcome: outcome.Unknown, reason: reason, arrived: true}
}

// bytes is the size of the answer's body; -1: unknown.
func (r *reply) bytes() int64 {
	if r.stream != nil {
		return r.length
	}
	return int64(len(r.body))
}

// unwaited gives what is left of a sending's time without the waits for slots, its own and
// those of the calls below it. Calls side by side wait at the same time, so that a part
// always remains.
func (r *reply) unwaited(took time.Duration) time.Duration {
	waited := r.waited
	for _, need := range r.needs {
		waited += time.Duration(need.Calls) * need.Wait
	}
	return max(took-waited, took/leastUnwaited)
}

// leastUnwaited is the part of a sending's time that is never taken for waiting.
const leastUnwaited = 4

// wasted tells that the target took the request and its answer was lost or spoiled.
// Requests that ran out of time do not count: in a shortage they do so everywhere
// (tried and given up, docs/incidents/inc-d364.md).
func (r *reply) wasted() bool {
	switch r.reason {
	case outcome.ReasonLost, outcome.ReasonTargetEnded, outcome.ReasonSpoiled:
		return r.outcome == outcome.Unknown
	}
	return false
}

// full tells that the gate had no room in time.
func (r *reply) full() bool {
	if r.reason == outcome.ReasonSuspectWaits {
		return true
	}
	switch slots.Reason(r.reason) {
	case slots.ReasonTooLong, slots.ReasonFull, slots.ReasonExpired:
		return true
	}
	return false
}

func (r *reply) close() {
	if r.stream != nil {
		_ = r.stream.Close()
		r.stream = nil
	}
}

// payload is the body of a request: whole, or a stream that can be sent once.
type payload struct {
	data   []byte
	stream io.Reader
	head   []byte // what was read of the stream; sent with it
	length int64
}

// begin gives the body as far as it was read, and its length; -1: unknown.
func (p *payload) begin() ([]byte, int64) {
	if p.stream != nil {
		return p.head, p.length
	}
	return p.data, int64(len(p.data))
}

func (p *payload) replayable() bool { return p.stream == nil }

// keepBytes is the longest body that is read whole before it is passed on, so
// that one that breaks off can be asked for again.
const keepBytes = 64 << 10

// readWhole reads up to keepBytes. When there is more, rest gives all of it and data what was
// read. length is what the sender said, -1 where it did not.
func readWhole(source io.Reader, length int64) (data []byte, rest io.Reader, err error) {
	if length >= 0 && length <= keepBytes {
		// One allocation of the right size; bodies are a good part of what a hop allocates.
		data = make([]byte, length)
		n, err := io.ReadFull(source, data)
		if n == 0 && err == io.EOF {
			return nil, nil, nil // an answer to HEAD tells the length of a body that it has not
		}
		if err != nil {
			return data[:n], nil, err
		}
		// The end of the body is read too, so that its connection can be used again.
		_, err = io.Copy(io.Discard, source)
		return data, nil, err
	}
	data, err = io.ReadAll(io.LimitReader(source, keepBytes+1))
	if err != nil || len(data) <= keepBytes {
		return data, nil, err
	}
	return data, io.MultiReader(newReader(data), source), nil
}

// result writes the head of the reply for the node that asked.
func (r *reply) result() *wire.SidecarResult {
	length := int64(len(r.body))
	if r.stream != nil {
		length = r.length
	}
	return &wire.SidecarResult{
		Outcome: string(r.outcome), Reason: string(r.reason), Arrived: r.arrived, Status: r.status, Length: length,
		Incarnation: r.incarnation, Version: int64(r.version), Slots: r.load.Slots, Running: r.load.Running, Waiting: r.load.Waiting,
		Hold: r.load.Hold.Microseconds(), Below: r.needs,
	}
}

// replyOf reads the head of a reply.
func replyOf(result *wire.SidecarResult) *reply {
	return &reply{
		outcome: outcome.Outcome(result.Outcome), reason: outcome.Reason(result.Reason), arrived: result.Arrived, status: result.Status,
		length: result.Length, incarnation: result.Incarnation, version: uint64(max(result.Version, 0)), needs: result.Below,
		load: slots.Load{Slots: result.Slots, Running: result.Running, Waiting: result.Waiting, Hold: time.Duration(result.Hold) * time.Microsecond},
	}
}

// waitsOf writes the waits of a request and of its calls for the node that asked; empty
// where nothing waited.
func waitsOf(r *reply) string {
	message := &wire.Waits{}
	if r.waited > 0 {
		message.Services = append(message.Services, wire.ServiceWait{Wait: r.waited.Microseconds()})
	}
	for _, need := range r.needs {
		if need.Wait > 0 {
			message.Services = append(message.Services, wire.ServiceWait{Service: need.Service, Wait: need.Wait.Microseconds()})
		}
	}
	if len(message.Services) == 0 {
		return ""
	}
	head, err := wire.WaitsCodec.EncodeHeader(message)
	if err != nil {
		return ""
	}
	return head
}

// takeWaits reads the waits of services; a node of an earlier release sends none.
func (r *reply) takeWaits(head string) {
	if head == "" {
		return
	}
	message, err := wire.WaitsCodec.DecodeHeader(head)
	if err != nil {
		return
	}
	for _, one := range message.Services {
		if one.Service == "" {
			r.waited = time.Duration(one.Wait) * time.Microsecond
		}
		for index := range r.needs {
			if r.needs[index].Service == one.Service {
				r.needs[index].Wait = time.Duration(one.Wait) * time.Microsecond
			}
		}
	}
}
