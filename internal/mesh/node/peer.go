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

// peerHandler answers the control messages of other nodes.
type peerHandler struct{ node *Node }

// ExchangeVersions implements control.Handler.
func (h *peerHandler) ExchangeVersions(message *wire.Tell) (*wire.Tell, error) {
	spread := h.node.spread
	if spread.states[message.Topic] == nil {
		return nil, failure.New(failure.BadInput, "run versions that are at most one release apart", "topic %q is unknown", message.Topic)
	}
	reply := &wire.Tell{From: h.node.settings.Node, Incarnation: h.node.incarnation, Topic: message.Topic, Version: spread.version(message.Topic)}
	if message.Version > reply.Version {
		spread.heard(context.Background(), message.Topic, message.From, message.Version)
	}
	return reply, nil
}

// FetchBundle implements control.Handler. The release is a delta when the asker
// has the version just before.
func (h *peerHandler) FetchBundle(request *wire.Fetch) (*bundle.Release, error) {
	h.node.mutex.Lock()
	installed, previous := h.node.installed, h.node.previous
	h.node.mutex.Unlock()
	if installed == nil {
		return nil, failure.New(failure.Missing, "ask another node", "no bundle is in force here")
	}
	if previous != nil && previous.Version == request.Have {
		return installed.Release.Delta(previous), nil
	}
	return installed.Release, nil
}

// FetchMachines implements control.Handler.
func (h *peerHandler) FetchMachines(*wire.Fetch) (*wire.Machines, error) {
	h.node.mutex.Lock()
	defer h.node.mutex.Unlock()
	machines := &wire.Machines{Version: h.node.machines.version}
	for name := range h.node.machines.leaving {
		machines.Leaving = append(machines.Leaving, name)
	}
	return machines, nil
}

// Status implements control.Handler.
func (h *peerHandler) Status() (*wire.JSON, error) {
	body, err := json.Marshal(h.node.status())
	return &wire.JSON{Body: body}, err
}

// Explain implements control.Handler.
func (h *peerHandler) Explain(query *wire.Query) (*wire.JSON, error) {
	body, err := json.Marshal(h.node.localDecisions(query.Name))
	return &wire.JSON{Body: body}, err
}

// Incarnation implements control.Handler.
func (h *peerHandler) Incarnation() (*wire.Query, error) {
	return &wire.Query{Name: h.node.incarnation}, nil
}

func (h *peerHandler) voter() error {
	if h.node.claims == nil {
		return failure.New(failure.BadInput, "ask a node with a target", "an entry is no voter")
	}
	return nil
}

// Vote implements control.Handler.
func (h *peerHandler) Vote(vote *wire.Vote) (*claim.Reply, error) {
	if err := h.voter(); err != nil {
		return nil, err
	}
	reply := h.node.claims.HandleVote(vote)
	return &reply, nil
}

// Seal implements control.Handler.
func (h *peerHandler) Seal(request *wire.SealRequest) (*wire.SealReply, error) {
	if err := h.voter(); err != nil {
		return nil, err
	}
	return h.node.claims.HandleSeal(request), nil
}

// Install implements control.Handler.
func (h *peerHandler) Install(request *wire.InstallRequest) (*wire.SealReply, error) {
	if err := h.voter(); err != nil {
		return nil, err
	}
	return h.node.claims.HandleInstall(request), nil
}

// NotifyVoterSet implements control.Handler.
func (h *peerHandler) NotifyVoterSet(notice *wire.VoterSetNotice) error {
	if err := h.voter(); err != nil {
		return err
	}
	return h.node.claims.HandleNotice(notice)
}

// serverLog takes what net/http says: a panic is a fault of the program, the rest (failed
// handshakes, callers that hang up) is about single connections.
type serverLog struct{ log *logrus.Entry }

// Write implements io.Writer.
func (s serverLog) Write(line []byte) (int, error) {
	level := logrus.DebugLevel
	if bytes.HasPrefix(line, []byte("http: panic")) {
		level = logrus.ErrorLevel
	}
	s.log.Log(level, string(line))
	return len(line), nil
}
