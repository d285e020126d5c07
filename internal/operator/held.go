package operator

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
	"github.com/landingmast/landingmast/internal/core/crashes"
	"github.com/landingmast/landingmast/internal/failure"
	"github.com/landingmast/landingmast/internal/store"
	"github.com/landingmast/landingmast/internal/wire"
)

// Stores tells the commands how to reach the store of sidecar nodes.
type Stores struct {
	Open     func(address string) store.Store
	CrashKey string    // of what is kept about requests that end targets
	Input    io.Reader // where questions are answered
}

// Bounds of a lift.
const (
	storeCall = 2 * time.Second // of one call
	liftTries = 5               // nodes may write between the read and the write
)

// heldRequest is a request that is held back, for the output.
type heldRequest struct {
	Digest  string    `json:"digest"`
	Service string    `json:"service"`
	Route   string    `json:"route"`
	Since   time.Time `json:"since"`
	Targets []string  `json:"targets"` // that ended with it
}

// registerHeld registers `landingmast held`: requests that are held back.
func (s *shell) registerHeld() {
	group := s.application.Command("held", "Requests that sidecar nodes hold back since targets ended with them.")
	address := group.Flag("store", "Address of the nodes' store, IP:port.").Required().String()

	list := group.Command("list", "List them.")
	s.add(list, func(ctx context.Context) error { return s.heldList(ctx, *address) })

	lift := group.Command("lift", "Have a request sent again, at all nodes.")
	digest := lift.Arg("digest", "Digest of the request, as list shows it.").Required().String()
	sure := lift.Flag("yes", "Do not ask.").Bool()
	s.add(lift, func(ctx context.Context) error { return s.heldLift(ctx, *address, *digest, *sure) })
}

// readHeld reads what the store keeps.
func (s *shell) readHeld(ctx context.Context, address string) (*crashes.Ledger, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCall)
	defer cancel()
	ledger := crashes.New(crashes.DefaultConfig())
	item, _, err := s.stores.Open(address).Get(ctx, s.stores.CrashKey)
	if err != nil {
		return nil, 0, failure.Wrap(err, failure.Unavailable, "name the store's address with --store, or try again", "store at %s", address)
	}
	if item == nil {
		return ledger, 0, nil
	}
	message, err := wire.CrashesCodec.Decode(item.Value)
	if err != nil {
		return nil, 0, err
	}
	ledger.Add(message.Known()...)
	return ledger, item.Revision, nil
}

func (s *shell) heldList(ctx context.Context, address string) error {
	ledger, _, err := s.readHeld(ctx, address)
	if err != nil {
		return err
	}
	held := []heldRequest{}
	for content, evidence := range ledger.Held() {
		held = append(held, describe(content, evidence))
	}
	slices.SortFunc(held, func(a, b heldRequest) int { return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.Digest, b.Digest)) })
	return s.print(held, func(table *tabwriter.Writer) {
		row(table, "DIGEST", "SERVICE", "ROUTE", "SINCE", "TARGETS THAT ENDED")
		for _, one := range held {
			row(table, one.Digest, one.Service, one.Route, one.Since.Format(time.RFC3339), strings.Join(one.Targets, " "))
		}
	})
}

func describe(content crashes.Content, evidence []crashes.Evidence) heldRequest {
	one := heldRequest{Digest: content.String(), Service: evidence[0].Service, Route: evidence[0].Route}
	for _, e := range evidence {
		if e.Cleared {
			continue
		}
		at := time.UnixMilli(e.At).UTC()
		if one.Since.Before(at) {
			one.Since = at
		}
		one.Targets = append(one.Targets, e.Instance)
	}
	slices.Sort(one.Targets)
	one.Targets = slices.Compact(one.Targets)
	return one
}

func (s *shell) heldLift(ctx context.Context, address, digest string, sure bool) error {
	content, err := crashes.ParseContent(digest)
	if err != nil {
		return failure.Wrap(err, failure.BadInput, "copy the digest that `landingmast held list` shows", "digest")
	}
	for range liftTries {
		ledger, revision, err := s.readHeld(ctx, address)
		if err != nil {
			return err
		}
		evidence, held := ledger.Held()[content]
		if !held {
			return failure.New(failure.Missing, "see `landingmast held list`", "no request with the digest %s is held back", digest)
		}
		if !sure && !s.confirmed(describe(content, evidence)) {
			return failure.New(failure.BadInput, "answer yes, or give --yes", "nothing was lifted")
		}
		sure = true
		ledger.Lift(content)
		err = s.writeHeld(ctx, address, ledger, revision)
		if !errors.Is(err, store.ErrConflict) {
			return err
		}
	}
	return failure.New(failure.Conflict, "try again", "nodes wrote at the same time")
}

// confirmed asks whether a request is to be sent again.
func (s *shell) confirmed(one heldRequest) bool {
	_, _ = fmt.Fprintf(s.output, "%d targets of %s ended with this request of route %s: %s\nHave it sent again at all nodes? (yes) ", len(one.Targets), one.Service, one.Route, strings.Join(one.Targets, " "))
	answer, err := bufio.NewReader(s.stores.Input).ReadString('\n')
	return (err == nil || err == io.EOF) && strings.TrimSpace(answer) == "yes"
}

func (s *shell) writeHeld(ctx context.Context, address string, ledger *crashes.Ledger, revision int64) error {
	value, err := wire.CrashesCodec.Encode(&wire.Crashes{Forward: []string{}, Evidence: wire.CrashForms(ledger.Lasting())})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, storeCall)
	defer cancel()
	_, err = s.stores.Open(address).Put(ctx, store.Write{Key: s.stores.CrashKey, Value: value, IfRevision: &revision})
	if err == nil || errors.Is(err, store.ErrConflict) {
		return err
	}
	return failure.Wrap(err, failure.Uncertain, "look with `landingmast held list` whether it is still there", "store at %s", address)
}
