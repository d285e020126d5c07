// Package control implements the control protocol between nodes. Messages are Avro-encoded HTTP
// POST bodies and share the mutually authenticated peer port with forwarded calls.
package control

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/landingmast/landingmast/internal/codec"
	"github.com/landingmast/landingmast/internal/failure"
	"github.com/landingmast/landingmast/internal/mesh/core/bundle"
	"github.com/landingmast/landingmast/internal/mesh/core/claim"
	"github.com/landingmast/landingmast/internal/mesh/telemetry"
	"github.com/landingmast/landingmast/internal/mesh/wire"
)

// Request paths.
const (
	prefix          = "/.landingmast/v1/"
	pathTell        = prefix + "tell"
	pathBundle      = prefix + "fetch/bundle"
	pathMachines    = prefix + "fetch/machines"
	pathStatus      = prefix + "status"
	pathExplain     = prefix + "explain"
	pathIncarnation = prefix + "incarnation"
	pathVote        = prefix + "claim/vote"
	pathSeal        = prefix + "claim/seal"
	pathInstall     = prefix + "claim/install"
	pathVoterSet    = prefix + "claim/voter-set"
)

const (
	maxBodyBytes      = 32 << 20
	requestTimeout    = 5 * time.Second
	directionSent     = "sent"
	directionReceived = "received"
)

// Handler handles requests from other nodes. Its methods are called concurrently; an error is
// returned to the sender as an HTTP error status.
type Handler interface {
	ExchangeVersions(*wire.VersionMessage) (*wire.VersionMessage, error)
	FetchBundle(*wire.Fetch) (*bundle.Release, error)
	FetchMachines(*wire.Fetch) (*wire.Machines, error)
	Status() (*wire.JSONDocument, error)
	Explain(*wire.NameMessage) (*wire.JSONDocument, error)
	Incarnation() (*wire.NameMessage, error)
	Vote(*wire.Vote) (*claim.Reply, error)
	Seal(*wire.SealRequest) (*wire.SealReply, error)
	Install(*wire.InstallRequest) (*wire.SealReply, error)
	NotifyVoterSet(*wire.VoterSetNotice) error
}

// NewServer returns an HTTP handler for the control protocol.
func NewServer(handler Handler, metrics *telemetry.Metrics) http.Handler {
	mux := http.NewServeMux()
	empty := &wire.NameMessage{}
	mux.Handle(pathTell, serve(metrics, pathTell, wire.VersionCodec, wire.VersionCodec, handler.ExchangeVersions))
	mux.Handle(pathBundle, serve(metrics, pathBundle, wire.FetchCodec, wire.ReleaseCodec, handler.FetchBundle))
	mux.Handle(pathMachines, serve(metrics, pathMachines, wire.FetchCodec, wire.MachinesCodec, handler.FetchMachines))
	mux.Handle(pathStatus, serve(metrics, pathStatus, wire.QueryCodec, wire.JSONCodec, func(*wire.NameMessage) (*wire.JSONDocument, error) { return handler.Status() }))
	mux.Handle(pathExplain, serve(metrics, pathExplain, wire.QueryCodec, wire.JSONCodec, handler.Explain))
	mux.Handle(pathIncarnation, serve(metrics, pathIncarnation, wire.QueryCodec, wire.QueryCodec, func(*wire.NameMessage) (*wire.NameMessage, error) { return handler.Incarnation() }))
	mux.Handle(pathVote, serve(metrics, pathVote, wire.VoteCodec, wire.ReplyCodec, handler.Vote))
	mux.Handle(pathSeal, serve(metrics, pathSeal, wire.SealCodec, wire.SealReplyCodec, handler.Seal))
	mux.Handle(pathInstall, serve(metrics, pathInstall, wire.InstallCodec, wire.SealReplyCodec, handler.Install))
	mux.Handle(pathVoterSet, serve(metrics, pathVoterSet, wire.NoticeCodec, wire.QueryCodec, func(n *wire.VoterSetNotice) (*wire.NameMessage, error) { return empty, handler.NotifyVoterSet(n) }))
	return mux
}

// serve returns an HTTP handler that decodes a request, passes it to handle and encodes the reply.
func serve[Request, Reply any](metrics *telemetry.Metrics, path string, in *codec.Codec[Request], out *codec.Codec[Reply], handle func(*Request) (*Reply, error)) http.Handler {
	name := strings.TrimPrefix(path, prefix)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			http.Error(w, "cannot read request body", http.StatusBadRequest)
			return
		}
		metrics.ControlBytes.WithLabelValues(name, directionReceived).Add(float64(len(data)))
		request, err := in.Decode(data)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		reply, err := handle(request)
		if err != nil {
			http.Error(w, err.Error(), httpStatus(err))
			return
		}
		body, err := out.Encode(reply)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		metrics.ControlBytes.WithLabelValues(name, directionSent).Add(float64(len(body)))
		_, _ = w.Write(body)
	})
}

func httpStatus(err error) int {
	switch failure.KindOf(err) {
	case failure.BadInput:
		return http.StatusBadRequest
	case failure.NotFound:
		return http.StatusNotFound
	default:
		return http.StatusInternalServerError
	}
}

// Client sends control messages to other nodes.
type Client struct {
	transport http.RoundTripper
	metrics   *telemetry.Metrics
}

// NewClient returns a Client that uses transport.
func NewClient(transport http.RoundTripper, metrics *telemetry.Metrics) *Client {
	return &Client{transport: transport, metrics: metrics}
}

func send[Request, Reply any](ctx context.Context, c *Client, address, path string, in *codec.Codec[Request], out *codec.Codec[Reply], message *Request) (*Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	data, err := in.Encode(message)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+address+path, bytes.NewReader(data))
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "report this as a bug", "cannot create request to %s", address)
	}
	request.GetBody = nil
	name := strings.TrimPrefix(path, prefix)
	c.metrics.ControlBytes.WithLabelValues(name, directionSent).Add(float64(len(data)))
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return nil, failure.Wrap(err, failure.Unavailable, "check the node and the network path to it", "request to node at %s failed", address)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		return nil, failure.Wrap(err, failure.Unavailable, "check the node and the network path to it", "cannot read response of node at %s", address)
	}
	c.metrics.ControlBytes.WithLabelValues(name, directionReceived).Add(float64(len(body)))
	if response.StatusCode != http.StatusOK {
		return nil, failure.New(failureKind(response.StatusCode), "see the log of that node", "node at %s rejected the request: %s", address, bytes.TrimSpace(body))
	}
	return out.Decode(body)
}

func failureKind(status int) failure.Kind {
	switch status {
	case http.StatusNotFound:
		return failure.NotFound
	case http.StatusBadRequest:
		return failure.BadInput
	default:
		return failure.Unavailable
	}
}

// ExchangeVersions sends the version of a topic to a node and returns the version of that node.
func (c *Client) ExchangeVersions(ctx context.Context, address string, message *wire.VersionMessage) (*wire.VersionMessage, error) {
	return send(ctx, c, address, pathTell, wire.VersionCodec, wire.VersionCodec, message)
}

// FetchBundle requests the release in force on a node. The reply is a delta if the node has one
// from version have.
func (c *Client) FetchBundle(ctx context.Context, address string, have int64) (*bundle.Release, error) {
	return send(ctx, c, address, pathBundle, wire.FetchCodec, wire.ReleaseCodec, &wire.Fetch{Topic: wire.TopicBundle, Have: have})
}

// FetchMachines requests the list of leaving machines.
func (c *Client) FetchMachines(ctx context.Context, address string) (*wire.Machines, error) {
	return send(ctx, c, address, pathMachines, wire.FetchCodec, wire.MachinesCodec, &wire.Fetch{Topic: wire.TopicMachines})
}

// Status requests the status of a node, as JSON of the admin API.
func (c *Client) Status(ctx context.Context, address string) ([]byte, error) {
	reply, err := send(ctx, c, address, pathStatus, wire.QueryCodec, wire.JSONCodec, &wire.NameMessage{})
	if err != nil {
		return nil, err
	}
	return reply.Body, nil
}

// Explain requests the decision records of a request, as JSON of the admin API.
func (c *Client) Explain(ctx context.Context, address, requestID string) ([]byte, error) {
	reply, err := send(ctx, c, address, pathExplain, wire.QueryCodec, wire.JSONCodec, &wire.NameMessage{Name: requestID})
	if err != nil {
		return nil, err
	}
	return reply.Body, nil
}

// Incarnation requests the incarnation of a node, which changes at each start.
func (c *Client) Incarnation(ctx context.Context, address string) (string, error) {
	reply, err := send(ctx, c, address, pathIncarnation, wire.QueryCodec, wire.QueryCodec, &wire.NameMessage{})
	if err != nil {
		return "", err
	}
	return reply.Name, nil
}

// Vote sends a prepare or accept request to a voter.
func (c *Client) Vote(ctx context.Context, address string, vote *wire.Vote) (*claim.Reply, error) {
	return send(ctx, c, address, pathVote, wire.VoteCodec, wire.ReplyCodec, vote)
}

// Seal requests that a voter stops voting in an epoch and returns its claims.
func (c *Client) Seal(ctx context.Context, address string, request *wire.SealRequest) (*wire.SealReply, error) {
	return send(ctx, c, address, pathSeal, wire.SealCodec, wire.SealReplyCodec, request)
}

// Install transfers claims to a voter and activates it in an epoch.
func (c *Client) Install(ctx context.Context, address string, request *wire.InstallRequest) (*wire.SealReply, error) {
	return send(ctx, c, address, pathInstall, wire.InstallCodec, wire.SealReplyCodec, request)
}

// NotifyVoterSet sends an active voter set to a node.
func (c *Client) NotifyVoterSet(ctx context.Context, address string, notice *wire.VoterSetNotice) error {
	_, err := send(ctx, c, address, pathVoterSet, wire.NoticeCodec, wire.QueryCodec, notice)
	return err
}
