// Package reply holds the result of one attempt to send a request, and the bodies of requests and
// responses. Bodies of up to MaxBuffered bytes are buffered; a longer one is a stream that can be
// read once and must be closed. The package is stateless. Package wire defines how nodes encode the
// head of a reply.
package reply

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/landingmast/landingmast/internal/core/outcome"
	"github.com/landingmast/landingmast/internal/core/retry"
	"github.com/landingmast/landingmast/internal/core/slots"
	"github.com/landingmast/landingmast/internal/wire"
)

// Reply is the result of one attempt to send a request.
type Reply struct {
	Outcome     outcome.Outcome
	Reason      outcome.Reason
	Arrived     bool // whether the request reached the target
	Status      int
	Header      http.Header
	Body        []byte        // complete body if Stream is nil
	Stream      io.ReadCloser // long body; must be closed
	Length      int64         // length of Stream; -1 if unknown
	Load        slots.Load
	Incarnation string
	Version     uint64        // configuration version of the replying node
	Needs       []wire.Need   // demand on downstream services
	Waited      time.Duration // time spent waiting for a slot of the target
	SlotTime    time.Duration // time that the request occupied a slot of the target; a streamed body: up to its first part
	TenantLoad  float64       // slot time that the tenant asks of the target, relative to its fair share; 0: unknown
	// RunPace is the factor of package pace while the request ran; 0: unknown.
	RunPace float64
	// TargetState is the state that the node of the target keeps to; nil: the target states nothing, or
	// the node is of a release that does not read it.
	TargetState *outcome.TargetState
	RetryAfter  time.Duration // time until the target is likely to have room; 0: unknown
}

// NotRun returns the reply to a request that was not and will not be executed.
func NotRun(reason outcome.Reason) *Reply { return &Reply{Outcome: outcome.NotRun, Reason: reason} }

// Unknown returns the reply to a request that reached its target and may have been executed.
func Unknown(reason outcome.Reason) *Reply {
	return &Reply{Outcome: outcome.Unknown, Reason: reason, Arrived: true}
}

// Bytes returns the size of the response body, or -1 if unknown.
func (r *Reply) Bytes() int64 {
	if r.Stream != nil {
		return r.Length
	}
	return int64(len(r.Body))
}

// ServiceTime subtracts the waits for slots, its own and those of its downstream calls, from the
// elapsed time of an attempt. Parallel calls wait at the same time, so their sum may exceed the
// real wait; a minimum share of the elapsed time is therefore kept.
func (r *Reply) ServiceTime(elapsed time.Duration) time.Duration {
	waited := r.Waited
	for _, need := range r.Needs {
		waited += time.Duration(need.Calls) * need.Wait
	}
	return max(elapsed-waited, elapsed/serviceTimeDivisor)
}

// serviceTimeDivisor sets the minimum share of the elapsed time that counts as service time.
const serviceTimeDivisor = 4

// ResendEnd returns the properties of the reply that decide whether the request may be resent.
func (r *Reply) ResendEnd() retry.Result {
	return retry.Result{Outcome: r.Outcome, Reason: r.Reason, ReachedTarget: r.Arrived}
}

// Close closes a streamed body. It may be called more than once.
func (r *Reply) Close() {
	if r.Stream != nil {
		_ = r.Stream.Close()
		r.Stream = nil
	}
}

// Payload is the body of a request: either buffered, or a stream that can be sent once.
type Payload struct {
	Data   []byte
	Stream io.Reader
	Head   []byte // bytes already read from Stream, which returns them again
	Length int64
}

// Prefix returns the buffered prefix of the body and the length of the body, or -1 if unknown.
func (p *Payload) Prefix() ([]byte, int64) {
	if p.Stream != nil {
		return p.Head, p.Length
	}
	return p.Data, int64(len(p.Data))
}

// Replayable reports whether the body can be sent more than once.
func (p *Payload) Replayable() bool { return p.Stream == nil }

// MaxBuffered is the size up to which a body is buffered before it is passed on. A buffered
// response that breaks off can be requested again.
const MaxBuffered = 64 << 10

// ReadBuffered reads up to MaxBuffered bytes. If the source is longer, rest yields the whole body
// and data is its prefix. length is the announced length, or -1.
func ReadBuffered(source io.Reader, length int64) (data []byte, rest io.Reader, err error) {
	if length >= 0 && length <= MaxBuffered {
		// A single allocation of the exact size.
		data = make([]byte, length)
		n := 0
		for n < len(data) && err == nil {
			var count int
			count, err = source.Read(data[n:])
			n += count
		}
		switch {
		case n == 0 && err == io.EOF:
			return nil, nil, nil // a response to HEAD announces a length without sending a body
		case n < len(data) && err == io.EOF:
			return data[:n], nil, io.ErrUnexpectedEOF
		case err == io.EOF:
			return data, nil, nil
		case err != nil:
			return data[:n], nil, err
		}
		// Read up to EOF so that the connection can be reused.
		_, err = io.Copy(io.Discard, source)
		return data, nil, err
	}
	if data, err = readPrefix(source, length); err != nil || len(data) <= MaxBuffered {
		return data, nil, err
	}
	return data, io.MultiReader(bytes.NewReader(data), source), nil
}

// readPrefix reads MaxBuffered+1 bytes, or all if there are fewer.
func readPrefix(source io.Reader, length int64) ([]byte, error) {
	if length <= MaxBuffered {
		return io.ReadAll(io.LimitReader(source, MaxBuffered+1))
	}
	// A single allocation of the exact size.
	data := make([]byte, MaxBuffered+1)
	n, err := io.ReadFull(source, data)
	if n == 0 && err == io.EOF {
		return nil, nil // a response to HEAD
	}
	return data[:n], err
}

// Result encodes the head of the reply.
func (r *Reply) Result() *wire.SidecarResult {
	length := int64(len(r.Body))
	if r.Stream != nil {
		length = r.Length
	}
	return &wire.SidecarResult{
		Outcome: string(r.Outcome), Reason: string(r.Reason), Arrived: r.Arrived, Status: r.Status, Length: length,
		Incarnation: r.Incarnation, Version: int64(r.Version), Slots: r.Load.Slots, Running: r.Load.Running, Waiting: r.Load.Waiting,
		Hold: r.Load.ServiceTime.Microseconds(), Downstream: r.Needs, RetryAfter: r.RetryAfter.Milliseconds(),
	}
}

// FromResult decodes the head of a reply.
func FromResult(result *wire.SidecarResult) *Reply {
	return &Reply{
		Outcome: outcome.Outcome(result.Outcome), Reason: outcome.Reason(result.Reason), Arrived: result.Arrived, Status: result.Status,
		RetryAfter: time.Duration(max(result.RetryAfter, 0)) * time.Millisecond,
		Length:     result.Length, Incarnation: result.Incarnation, Version: uint64(max(result.Version, 0)), Needs: result.Downstream,
		Load: slots.Load{Slots: result.Slots, Running: result.Running, Waiting: result.Waiting, ServiceTime: time.Duration(result.Hold) * time.Microsecond},
	}
}

// EncodeWaits encodes the slot waits of a request and of its calls; it returns an empty string if
// nothing waited. Encoding errors are ignored: the reply is valid without waits, and nodes of
// earlier releases send none.
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

// SetWaits decodes the slot waits of services into the reply. It ignores waits that cannot be
// decoded.
func (r *Reply) SetWaits(head string) {
	if head == "" {
		return
	}
	message, err := wire.WaitsCodec.DecodeHeader(head)
	if err != nil {
		return
	}
	for _, service := range message.Services {
		if service.Service == "" {
			r.Waited = time.Duration(service.Wait) * time.Microsecond
		}
		for index := range r.Needs {
			if r.Needs[index].Service == service.Service {
				r.Needs[index].Wait = time.Duration(service.Wait) * time.Microsecond
			}
		}
	}
}

// EncodeUsage encodes the slot time that the request and its calls took and the load offered to the
// targets that they reached; it returns an empty string if none is known. Encoding errors are ignored:
// the reply is valid without usage, and nodes of earlier releases send none.
func EncodeUsage(r *Reply) string {
	message := &wire.Usage{Services: make([]wire.ServiceUsage, 0, len(r.Needs)+1)}
	if r.Load.Slots > 0 && r.Load.Offered > 0 {
		message.Services = append(message.Services, encodeServiceUsage("", r.SlotTime, r.Load.Offered, r.TenantLoad))
	}
	for _, need := range r.Needs {
		if need.Offered > 0 {
			message.Services = append(message.Services, encodeServiceUsage(need.Service, need.SlotTime, need.Offered, need.TenantLoad))
		}
	}
	if len(message.Services) == 0 {
		return ""
	}
	head, err := wire.UsageCodec.EncodeHeader(message)
	if err != nil {
		return ""
	}
	return head
}

// encodeServiceUsage rounds small loads up, since 0 means unknown.
func encodeServiceUsage(service string, slotTime time.Duration, offered, tenantLoad float64) wire.ServiceUsage {
	usage := wire.ServiceUsage{Service: service, SlotTime: slotTime.Microseconds(), Offered: max(int(offered*wire.OccupancyScale), 1)}
	if tenantLoad > 0 {
		usage.TenantLoad = max(int(tenantLoad*wire.OccupancyScale), 1)
	}
	return usage
}

// SetUsage decodes the usage of services into the reply. It ignores usage that cannot be decoded or
// is not positive.
func (r *Reply) SetUsage(head string) {
	if head == "" {
		return
	}
	message, err := wire.UsageCodec.DecodeHeader(head)
	if err != nil {
		return
	}
	for _, usage := range message.Services {
		if usage.SlotTime < 0 || usage.Offered <= 0 {
			continue
		}
		slotTime, offered := time.Duration(usage.SlotTime)*time.Microsecond, float64(usage.Offered)/wire.OccupancyScale
		tenantLoad := float64(max(usage.TenantLoad, 0)) / wire.OccupancyScale
		if usage.Service == "" {
			r.SlotTime, r.Load.Offered, r.TenantLoad = slotTime, offered, tenantLoad
		}
		for index := range r.Needs {
			if r.Needs[index].Service == usage.Service {
				r.Needs[index].SlotTime, r.Needs[index].Offered, r.Needs[index].TenantLoad = slotTime, offered, tenantLoad
			}
		}
	}
}

// ErrStopping is the cause of contexts that end because the node ends the requests that are left when it
// stops.
const ErrStopping = errors.ConstError("the node is stopping (remedy: send the request to another node)")

// Stopped reports whether a context has ended with ErrStopping.
func Stopped(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrStopping) }

// CancelReason tells whether a request timed out, was cancelled by its sender or ended by the stop of the
// node. The sender applies the same timeout and may close its connection slightly earlier than it expires
// here.
func CancelReason(ctx context.Context) outcome.Reason {
	if Stopped(ctx) {
		return outcome.ReasonStopping
	}
	deadline, bounded := ctx.Deadline()
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || bounded && time.Until(deadline) < deadlineMargin {
		return outcome.ReasonTimeout
	}
	return outcome.ReasonCancelled
}

// deadlineMargin is how long before the deadline a closed connection counts as a timeout.
const deadlineMargin = 25 * time.Millisecond
