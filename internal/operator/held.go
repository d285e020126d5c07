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

// Stores configures access to the metadata store of sidecar nodes.
type Stores struct {
	Open     func(address string) store.Store
	CrashKey string    // key of the crash evidence
	Input    io.Reader // source of answers to confirmation prompts
}

// Limits of store access.
const (
	storeTimeout = 2 * time.Second // timeout of one call
	liftAttempts = 5               // a lift is retried when a node modifies the key concurrently
)

// heldRequest is the printed form of a held-back request.
type heldRequest struct {
	Digest  string    `json:"digest"`
	Service string    `json:"service"`
	Route   string    `json:"route"`
	Since   time.Time `json:"since"`
	Targets []string  `json:"targets"` // targets that crashed while running it
}

// registerHeld registers `landingmast held`, which lists and lifts held-back requests.
func (c *cli) registerHeld() {
	group := c.application.Command("held", "Manage requests that sidecar nodes hold back because targets crashed while running them.")
	address := group.Flag("store", "Address of the metadata store, IP:port.").Required().String()

	list := group.Command("list", "List held-back requests.")
	c.add(list, func(ctx context.Context) error { return c.heldList(ctx, *address) })

	lift := group.Command("lift", "Stop holding back a request on all nodes.")
	digest := lift.Arg("digest", "Digest of the request, from `held list`.").Required().String()
	yes := lift.Flag("yes", "Skip the confirmation prompt.").Bool()
	c.add(lift, func(ctx context.Context) error { return c.heldLift(ctx, *address, *digest, *yes) })
}

// readHeld reads the crash evidence from the store, with its revision.
func (c *cli) readHeld(ctx context.Context, address string) (*crashes.Ledger, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	ledger := crashes.New(crashes.DefaultConfig())
	item, _, err := c.stores.Open(address).Get(ctx, c.stores.CrashKey)
	if err != nil {
		return nil, 0, failure.Wrap(err, failure.Unavailable, "check the address given with --store, or try again", "store at %s", address)
	}
	if item == nil {
		return ledger, 0, nil
	}
	message, err := wire.CrashesCodec.Decode(item.Value)
	if err != nil {
		return nil, 0, err
	}
	ledger.Add(message.DecodeEvidence()...)
	return ledger, item.Revision, nil
}

func (c *cli) heldList(ctx context.Context, address string) error {
	ledger, _, err := c.readHeld(ctx, address)
	if err != nil {
		return err
	}
	held := []heldRequest{}
	for content, evidence := range ledger.HeldBack() {
		held = append(held, newHeldRequest(content, evidence))
	}
	slices.SortFunc(held, func(a, b heldRequest) int { return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.Digest, b.Digest)) })
	return c.print(held, func(table *tabwriter.Writer) {
		writeRow(table, "DIGEST", "SERVICE", "ROUTE", "SINCE", "TARGETS THAT ENDED")
		for _, request := range held {
			writeRow(table, request.Digest, request.Service, request.Route, request.Since.Format(time.RFC3339), strings.Join(request.Targets, " "))
		}
	})
}

// newHeldRequest summarizes the evidence against a request, except what was cleared.
func newHeldRequest(content crashes.Content, evidence []crashes.Evidence) heldRequest {
	held := heldRequest{Digest: content.String(), Service: evidence[0].Service, Route: evidence[0].Route}
	for _, e := range evidence {
		if e.Cleared {
			continue
		}
		at := time.UnixMilli(e.CrashedAtMillis).UTC()
		if held.Since.Before(at) {
			held.Since = at
		}
		held.Targets = append(held.Targets, e.Instance)
	}
	slices.Sort(held.Targets)
	held.Targets = slices.Compact(held.Targets)
	return held
}

func (c *cli) heldLift(ctx context.Context, address, digest string, confirmed bool) error {
	content, err := crashes.ParseContent(digest)
	if err != nil {
		return failure.Wrap(err, failure.BadInput, "use a digest printed by `landingmast held list`", "digest")
	}
	for range liftAttempts {
		ledger, revision, err := c.readHeld(ctx, address)
		if err != nil {
			return err
		}
		evidence, held := ledger.HeldBack()[content]
		if !held {
			return failure.New(failure.NotFound, "list the digests with `landingmast held list`", "no held-back request has digest %s", digest)
		}
		if !confirmed && !c.confirm(newHeldRequest(content, evidence)) {
			return failure.New(failure.BadInput, "answer yes, or use --yes", "nothing was lifted")
		}
		confirmed = true
		ledger.Lift(content)
		err = c.writeHeld(ctx, address, ledger, revision)
		if !errors.Is(err, store.ErrConflict) {
			return err
		}
	}
	return failure.New(failure.Conflict, "try again", "nodes modified the held-back requests concurrently")
}

// confirm prompts the operator to confirm that a request may be sent to targets again.
func (c *cli) confirm(held heldRequest) bool {
	_, _ = fmt.Fprintf(c.output, "%d targets of %s crashed while running this request of route %s: %s\nStop holding it back on all nodes? (yes) ", len(held.Targets), held.Service, held.Route, strings.Join(held.Targets, " "))
	answer, err := bufio.NewReader(c.stores.Input).ReadString('\n')
	return (err == nil || err == io.EOF) && strings.TrimSpace(answer) == "yes"
}

func (c *cli) writeHeld(ctx context.Context, address string, ledger *crashes.Ledger, revision int64) error {
	value, err := wire.CrashesCodec.Encode(&wire.Crashes{Forward: []string{}, Evidence: wire.EncodeEvidence(ledger.Persistent())})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err = c.stores.Open(address).Put(ctx, store.Write{Key: c.stores.CrashKey, Value: value, IfRevision: &revision})
	if err == nil || errors.Is(err, store.ErrConflict) {
		return err
	}
	return failure.Wrap(err, failure.Uncertain, "check with `landingmast held list` whether it is still listed", "store at %s", address)
}
