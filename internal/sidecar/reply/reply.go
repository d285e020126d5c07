// Package reply holds what becomes of one sending of a request, and the bodies of
// requests and answers. A body of up to KeepBytes is read whole before it is passed on;
// a longer one is a stream that is read once and must be closed. The package owns no
// state. It relies on package wire for the form in which nodes send each other the head
// of a reply.
package reply

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/landingmast/landingmast/internal/core/outcome"
	"github.com/landingmast/landingmast/internal/core/resend"
	"github.com/landingmast/landingmast/internal/core/slots"
	"github.com/landingmast/landingmast/internal/wire"
)

// Reply is what became of one sending of a request.
type Reply struct {
	Outcome     outcome.Outcome
	Reason      outcome.Reason
	Arrived     bool // the request reached the target
	Status      int
	Header      http.Header
	Body        []byte        // the whole body, when Stream is nil
	Stream      io.ReadCloser // a long body; it must be closed
	Length      int64         // of the stream; -1: unknown
	Load        slots.Load
	Incarnation string
	Version     uint64        // of the configuration at the node that replied
	Needs       []wire.Need   // of services further down
	Waited      time.Duration // for a slot of the target
}

// NotRun gives the reply to a request that was not run and never will be.
func NotRun(reason outcome.Reason) *Reply { return &Reply{Outcome: outcome.NotRun, Reason: reason} }

// Unknown gives the reply to a request that reached its target and may have run.
func Unknown(reason outcome.Reason) *Reply {
	return &Reply{Outcome: outcome.Unknown, Reason: reason, Arrived: true}
}

// Bytes is the size of the answer's body; -1: unknown.
func (r *Reply) Bytes() int64 {
	if r.Stream != nil {
		return r.Length
	}
	return int64(len(r.Body))
}

// ServiceTime gives what is left of a sending's time without the waits for slots, its own and
// those of the calls below it. Calls side by side wait at the same time, so that a part
// always remains.
func (r *Reply) ServiceTime(took time.Duration) time.Duration {
	waited := r.Waited
	for _, need := range r.Needs {
		waited += time.Duration(need.Calls) * need.Wait
	}
	return max(took-waited, took/leastUnwaited)
}

// leastUnwaited is the part of a sending's time that is never taken for waiting.
const leastUnwaited = 4

// ResendEnd is what the decision on another sending needs of the reply.
func (r *Reply) ResendEnd() resend.End {
	return resend.End{Outcome: r.Outcome, Reason: r.Reason, Arrived: r.Arrived}
}

// Close ends the reading of a long body; it may be called more than once.
func (r *Reply) Close() {
	if r.Stream != nil {
		_ = r.Stream.Close()
		r.Stream = nil
	}
}

// Payload is the body of a request: whole, or a stream that can be sent once.
type Payload struct {
	Data   []byte
	Stream io.Reader
	Head   []byte // what was read of the stream; sent with it
	Length int64
}

// Begin gives the body as far as it was read, and its length; -1: unknown.
func (p *Payload) Begin() ([]byte, int64) {
	if p.Stream != nil {
		return p.Head, p.Length
	}
	return p.Data, int64(len(p.Data))
}

// Replayable tells whether the body can be sent a second time.
func (p *Payload) Replayable() bool { return p.Stream == nil }

// MaxBuffered is the longest body that is read whole before it is passed on, so
// that one that breaks off can be asked for again.
const MaxBuffered = 64 << 10

// ReadBuffered reads up to KeepBytes. When there is more, rest gives all of it and data what was
// read. length is what the sender said, -1 where it did not.
func ReadBuffered(source io.Reader, length int64) (data []byte, rest io.Reader, err error) {
	if length >= 0 && length <= MaxBuffered {
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
	data, err = io.ReadAll(io.LimitReader(source, MaxBuffered+1))
	if err != nil || len(data) <= MaxBuffered {
		return data, nil, err
	}
	return data, io.MultiReader(bytes.NewReader(data), source), nil
}

// Result writes the head of the reply for the node that asked.
func (r *Reply) Result() *wire.SidecarResult {
	length := int64(len(r.Body))
	if r.Stream != nil {
		length = r.Length
	}
	return &wire.SidecarResult{
		Outcome: string(r.Outcome), Reason: string(r.Reason), Arrived: r.Arrived, Status: r.Status, Length: length,
		Incarnation: r.Incarnation, Version: int64(r.Version), Slots: r.Load.Slots, Running: r.Load.Running, Waiting: r.Load.Waiting,
		Hold: r.Load.Hold.Microseconds(), Below: r.Needs,
	}
}

// FromResult reads the head of a reply.
func FromResult(result *wire.SidecarResult) *Reply {
	return &Reply{
		Outcome: outcome.Outcome(result.Outcome), Reason: outcome.Reason(result.Reason), Arrived: result.Arrived, Status: result.Status,
		Length: result.Length, Incarnation: result.Incarnation, Version: uint64(max(result.Version, 0)), Needs: result.Below,
		Load: slots.Load{Slots: result.Slots, Running: result.Running, Waiting: result.Waiting, Hold: time.Duration(result.Hold) * time.Microsecond},
	}
}

// EncodeWaits writes the waits of a request and of its calls for the node that asked; empty
// where nothing waited. Waits that cannot be written are left out, as by a node of an earlier
// release: they sharpen what is learned of a chain, and the reply stands without them.
func EncodeWaits(r *Reply) string {
	message := &wire.Waits{}
	if r.Waited > 0 {
		message.Services = append(message.Services, wire.ServiceWait{Wait: r.Waited.Microseconds()})
	}
	for _, need := range r.Needs {
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

// SetWaits reads the waits of services; a node of an earlier release sends none. Waits that
// cannot be read count as none for the same reason.
func (r *Reply) SetWaits(head string) {
	if head == "" {
		return
	}
	message, err := wire.WaitsCodec.DecodeHeader(head)
	if err != nil {
		return
	}
	for _, one := range message.Services {
		if one.Service == "" {
			r.Waited = time.Duration(one.Wait) * time.Microsecond
		}
		for index := range r.Needs {
			if r.Needs[index].Service == one.Service {
				r.Needs[index].Wait = time.Duration(one.Wait) * time.Microsecond
			}
		}
	}
}

// WithoutHeader gives the reply without a header. A reply that is kept for a sender that asks
// again stays as it is.
func (r *Reply) WithoutHeader(name string) *Reply {
	if r.Header.Get(name) == "" {
		return r
	}
	short := *r
	short.Header = r.Header.Clone()
	short.Header.Del(name)
	return &short
}

// CancelReason tells the end of a request's time from the end of its sender's interest.
// The sender counts the same time and may close its connection a little before the
// time is up here.
func CancelReason(ctx context.Context) outcome.Reason {
	deadline, bounded := ctx.Deadline()
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || bounded && time.Until(deadline) < closeMargin {
		return outcome.ReasonTimeout
	}
	return outcome.ReasonCancelled
}

// closeMargin is how long before the end of a request's time a close of its
// connection counts as that end.
const closeMargin = 25 * time.Millisecond
