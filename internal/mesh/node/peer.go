package node

import (
	"bytes"
	"context"
	"encoding/json"

	"github.com/landingmast/landingmast/internal/failure"
	"github.com/landingmast/landingmast/internal/mesh/core/bundle"
	"github.com/landingmast/landingmast/internal/mesh/core/claim"
	"github.com/landingmast/landingmast/internal/mesh/wire"
	"github.com/sirupsen/logrus"
)

// peerHandler handles control requests from other nodes.
type peerHandler struct{ node *Node }

// ExchangeVersions implements control.Handler.
func (h *peerHandler) ExchangeVersions(message *wire.VersionMessage) (*wire.VersionMessage, error) {
	d := h.node.disseminator
	if d.states[message.Topic] == nil {
		return nil, failure.New(failure.BadInput, "run program versions that are at most one release apart", "unknown topic %q", message.Topic)
	}
	reply := &wire.VersionMessage{From: h.node.settings.Node, Incarnation: h.node.incarnation, Topic: message.Topic, Version: d.version(message.Topic)}
	if message.Version > reply.Version {
		d.handleVersion(context.Background(), message.Topic, message.From, message.Version)
	}
	return reply, nil
}

// FetchBundle implements control.Handler. It returns a delta if the sender has the previous
// version.
func (h *peerHandler) FetchBundle(request *wire.Fetch) (*bundle.Release, error) {
	h.node.mu.Lock()
	installed, previous := h.node.installed, h.node.previous
	h.node.mu.Unlock()
	if installed == nil {
		return nil, failure.New(failure.NotFound, "ask another node", "no bundle is in force on this node")
	}
	if previous != nil && previous.Version == request.Have {
		return installed.Release.Delta(previous), nil
	}
	return installed.Release, nil
}

// FetchMachines implements control.Handler.
func (h *peerHandler) FetchMachines(*wire.Fetch) (*wire.Machines, error) {
	h.node.mu.Lock()
	defer h.node.mu.Unlock()
	machines := &wire.Machines{Version: h.node.machines.version}
	for name := range h.node.machines.leaving {
		machines.Leaving = append(machines.Leaving, name)
	}
	return machines, nil
}

// Status implements control.Handler.
func (h *peerHandler) Status() (*wire.JSONDocument, error) {
	body, err := json.Marshal(h.node.status())
	return &wire.JSONDocument{Body: body}, err
}

// Explain implements control.Handler.
func (h *peerHandler) Explain(query *wire.NameMessage) (*wire.JSONDocument, error) {
	body, err := json.Marshal(h.node.localDecisions(query.Name))
	return &wire.JSONDocument{Body: body}, err
}

// Incarnation implements control.Handler.
func (h *peerHandler) Incarnation() (*wire.NameMessage, error) {
	return &wire.NameMessage{Name: h.node.incarnation}, nil
}

func (h *peerHandler) requireVoter() error {
	if h.node.claims == nil {
		return failure.New(failure.BadInput, "send the request to a node with a target", "a node without a target is not a voter")
	}
	return nil
}

// Vote implements control.Handler.
func (h *peerHandler) Vote(vote *wire.Vote) (*claim.Reply, error) {
	if err := h.requireVoter(); err != nil {
		return nil, err
	}
	reply := h.node.claims.HandleVote(vote)
	return &reply, nil
}

// Seal implements control.Handler.
func (h *peerHandler) Seal(request *wire.SealRequest) (*wire.SealReply, error) {
	if err := h.requireVoter(); err != nil {
		return nil, err
	}
	return h.node.claims.HandleSeal(request), nil
}

// Install implements control.Handler.
func (h *peerHandler) Install(request *wire.InstallRequest) (*wire.SealReply, error) {
	if err := h.requireVoter(); err != nil {
		return nil, err
	}
	return h.node.claims.HandleInstall(request), nil
}

// NotifyVoterSet implements control.Handler.
func (h *peerHandler) NotifyVoterSet(notice *wire.VoterSetNotice) error {
	if err := h.requireVoter(); err != nil {
		return err
	}
	return h.node.claims.HandleNotice(notice)
}

// httpErrorLog logs the error messages of net/http servers. Panics are logged as errors; all other
// messages concern single connections, such as failed TLS handshakes, and are logged at debug level.
type httpErrorLog struct{ log *logrus.Entry }

// Write implements io.Writer.
func (l httpErrorLog) Write(line []byte) (int, error) {
	level := logrus.DebugLevel
	if bytes.HasPrefix(line, []byte("http: panic")) {
		level = logrus.ErrorLevel
	}
	l.log.Log(level, string(line))
	return len(line), nil
}
