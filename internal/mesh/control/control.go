// Package control carries the messages between nodes that are not calls: Avro
// bodies over the same mutually authenticated peer port.
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

// Paths of the messages.
const (
	prefix        = "/.landingmast/v1/"
	pathTell      = prefix + "tell"
	pathBundle    = prefix + "fetch/bundle"
	pathMachines  = prefix + "fetch/machines"
	pathStatus    = prefix + "status"
	pathExplain   = prefix + "explain"
	pathIdentity  = prefix + "incarnation"
	pathVote      = prefix + "claim/vote"
	pathSeal      = prefix + "claim/seal"
	pathInstall   = prefix + "claim/install"
	pathVoterSet  = prefix + "claim/voter-set"
	maxBody       = 32 << 20
	slowTimeout   = 5 * time.Second
	directionSent = "sent"
	directionRead = "received"
)

// Handler answers the messages of other nodes. Its methods are called from the
// goroutines of the peer port; an error is sent as a refusal.
type Handler interface {
	Tell(*wire.Tell) (*wire.Tell, error)
	FetchBundle(*wire.Fetch) (*bundle.Release, error)
	FetchMachines(*wire.Fetch) (*wire.Machines, error)
	Status() (*wire.JSON, error)
	Explain(*wire.Query) (*wire.JSON, error)
	Incarnation() (*wire.Query, error)
	Vote(*wire.Vote) (*claim.Reply, error)
	Seal(*wire.SealRequest) (*wire.SealReply, error)
	Install(*wire.InstallRequest) (*wire.SealReply, error)
	VoterSet(*wire.VoterSetNotice) error
}

// NewServer makes the HTTP handler of the control messages.
func NewServer(handler Handler, metrics *telemetry.Metrics) http.Handler {
	mux := http.NewServeMux()
	none := &wire.Query{}
	mux.Handle(pathTell, serve(metrics, pathTell, wire.TellCodec, wire.TellCodec, handler.Tell))
	mux.Handle(pathBundle, serve(metrics, pathBundle, wire.FetchCodec, wire.ReleaseCodec, handler.FetchBundle))
	mux.Handle(pathMachines, serve(metrics, pathMachines, wire.FetchCodec, wire.MachinesCodec, handler.FetchMachines))
	mux.Handle(pathStatus, serve(metrics, pathStatus, wire.QueryCodec, wire.JSONCodec, func(*wire.Query) (*wire.JSON, error) { return handler.Status() }))
	mux.Handle(pathExplain, serve(metrics, pathExplain, wire.QueryCodec, wire.JSONCodec, handler.Explain))
	mux.Handle(pathIdentity, serve(metrics, pathIdentity, wire.QueryCodec, wire.QueryCodec, func(*wire.Query) (*wire.Query, error) { return handler.Incarnation() }))
	mux.Handle(pathVote, serve(metrics, pathVote, wire.VoteCodec, wire.ReplyCodec, handler.Vote))
	mux.Handle(pathSeal, serve(metrics, pathSeal, wire.SealCodec, wire.SealReplyCodec, handler.Seal))
	mux.Handle(pathInstall, serve(metrics, pathInstall, wire.InstallCodec, wire.SealReplyCodec, handler.Install))
	mux.Handle(pathVoterSet, serve(metrics, pathVoterSet, wire.NoticeCodec, wire.QueryCodec, func(n *wire.VoterSetNotice) (*wire.Query, error) { return none, handler.VoterSet(n) }))
	return mux
}

// serve makes the handler of one message: decode, handle, encode.
func serve[Request, Reply any](metrics *telemetry.Metrics, path string, in *codec.Codec[Request], out *codec.Codec[Reply], handle func(*Request) (*Reply, error)) http.Handler {
	name := strings.TrimPrefix(path, prefix)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
		if err != nil {
			http.Error(w, "body cannot be read", http.StatusBadRequest)
			return
		}
		metrics.ControlBytes.WithLabelValues(name, directionRead).Add(float64(len(data)))
		request, err := in.Decode(data)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		reply, err := handle(request)
		if err != nil {
			http.Error(w, err.Error(), statusOf(err))
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

func statusOf(err error) int {
	switch failure.KindOf(err) {
	case failure.BadInput:
		return http.StatusBadRequest
	case failure.Missing:
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

// NewClient makes a client over the transport to peers.
func NewClient(transport http.RoundTripper, metrics *telemetry.Metrics) *Client {
	return &Client{transport: transport, metrics: metrics}
}

func send[Request, Reply any](ctx context.Context, c *Client, address, path string, in *codec.Codec[Request], out *codec.Codec[Reply], message *Request) (*Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, slowTimeout)
	defer cancel()
	data, err := in.Encode(message)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+address+path, bytes.NewReader(data))
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "report this", "message to %s", address)
	}
	request.GetBody = nil
	name := strings.TrimPrefix(path, prefix)
	c.metrics.ControlBytes.WithLabelValues(name, directionSent).Add(float64(len(data)))
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return nil, failure.Wrap(err, failure.Unavailable, "look at the node and the network to it", "node at %s does not answer", address)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBody))
	if err != nil {
		return nil, failure.Wrap(err, failure.Unavailable, "look at the node and the network to it", "answer of %s broke off", address)
	}
	c.metrics.ControlBytes.WithLabelValues(name, directionRead).Add(float64(len(body)))
	if response.StatusCode != http.StatusOK {
		return nil, failure.New(kindOf(response.StatusCode), "see the log of that node", "node at %s refused: %s", address, bytes.TrimSpace(body))
	}
	return out.Decode(body)
}

func kindOf(status int) failure.Kind {
	switch status {
	case http.StatusNotFound:
		return failure.Missing
	case http.StatusBadRequest:
		return failure.BadInput
	default:
		return failure.Unavailable
	}
}

// Tell tells a node of a version and gives the node's own.
func (c *Client) Tell(ctx context.Context, address string, message *wire.Tell) (*wire.Tell, error) {
	return send(ctx, c, address, pathTell, wire.TellCodec, wire.TellCodec, message)
}

// FetchBundle asks a node for its release.
func (c *Client) FetchBundle(ctx context.Context, address string, have int64) (*bundle.Release, error) {
	return send(ctx, c, address, pathBundle, wire.FetchCodec, wire.ReleaseCodec, &wire.Fetch{Topic: wire.TopicBundle, Have: have})
}

// FetchMachines asks a node for the machines that are leaving.
func (c *Client) FetchMachines(ctx context.Context, address string) (*wire.Machines, error) {
	return send(ctx, c, address, pathMachines, wire.FetchCodec, wire.MachinesCodec, &wire.Fetch{Topic: wire.TopicMachines})
}

// Status asks a node for its status, as the admin API's JSON.
func (c *Client) Status(ctx context.Context, address string) ([]byte, error) {
	reply, err := send(ctx, c, address, pathStatus, wire.QueryCodec, wire.JSONCodec, &wire.Query{})
	if err != nil {
		return nil, err
	}
	return reply.Body, nil
}

// Explain asks a node for its records of a request, as the admin API's JSON.
func (c *Client) Explain(ctx context.Context, address, requestID string) ([]byte, error) {
	reply, err := send(ctx, c, address, pathExplain, wire.QueryCodec, wire.JSONCodec, &wire.Query{Name: requestID})
	if err != nil {
		return nil, err
	}
	return reply.Body, nil
}

// Incarnation asks a node for the name of its run.
func (c *Client) Incarnation(ctx context.Context, address string) (string, error) {
	reply, err := send(ctx, c, address, pathIdentity, wire.QueryCodec, wire.QueryCodec, &wire.Query{})
	if err != nil {
		return "", err
	}
	return reply.Name, nil
}

// Vote asks a voter.
func (c *Client) Vote(ctx context.Context, address string, vote *wire.Vote) (*claim.Reply, error) {
	return send(ctx, c, address, pathVote, wire.VoteCodec, wire.ReplyCodec, vote)
}

// Seal ends a voter's part in an epoch.
func (c *Client) Seal(ctx context.Context, address string, request *wire.SealRequest) (*wire.SealReply, error) {
	return send(ctx, c, address, pathSeal, wire.SealCodec, wire.SealReplyCodec, request)
}

// Install makes a voter active in an epoch.
func (c *Client) Install(ctx context.Context, address string, request *wire.InstallRequest) (*wire.SealReply, error) {
	return send(ctx, c, address, pathInstall, wire.InstallCodec, wire.SealReplyCodec, request)
}

// Notify tells a node of a voter set.
func (c *Client) Notify(ctx context.Context, address string, notice *wire.VoterSetNotice) error {
	_, err := send(ctx, c, address, pathVoterSet, wire.NoticeCodec, wire.QueryCodec, notice)
	return err
}
