// Package revalidation keeps a node's evidence that its configuration is fresh: that no newer
// one was acknowledged before a moment that is not long ago. If the settings ask for it
// (keys.fail_closed), requests with keys are served only while there is such evidence: a key
// that has been taken away is refused only by a configuration that no longer has it.
//
// A node that follows the store for its zone confirms its configuration at the store; the
// others ask that node. Only answers to questions count: an age that is sent unasked may
// have lain anywhere for long, while one that was asked for was no greater when the question
// began.
//
// The package owns the evidence, and the revision with which the store has the version in
// force. It relies on package core/freshness for the rules, on the configuration in force
// never going back, and on Options.Now counting the time for which the machine was
// suspended. While the store is away the evidence ages, and once it is older than the bound
// in the settings (keys.revoke) requests with keys are refused. If no tenant has keys, or the
// settings don't ask for it, nothing is revalidated. All of it is safe for concurrent use.
package revalidation

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/landingmast/landingmast/internal/core/freshness"
	"github.com/landingmast/landingmast/internal/sidecar/configuration"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/sidecar/peer"
	"github.com/landingmast/landingmast/internal/sidecar/settings"
	"github.com/landingmast/landingmast/internal/sidecar/storehealth"
	"github.com/landingmast/landingmast/internal/sidecar/wait"
	"github.com/landingmast/landingmast/internal/store"
	"github.com/landingmast/landingmast/internal/wire"
)

// Intervals and timeouts. While a zone's follower reaches the store, the evidence of its nodes
// is at most confirmEvery + askEvery = 1.4 s old. With the default bound of 5 s an outage of
// the store then has to last 3.6 s before requests with keys are refused; to be served through
// the first 3 s of an outage is what is required. No measurement set the other figures.
const (
	confirmEvery   = 800 * time.Millisecond // of a follower, at the store
	confirmTimeout = 400 * time.Millisecond
	askEvery       = 600 * time.Millisecond // of the other nodes, at their follower
	askTimeout     = 250 * time.Millisecond
	// otherZoneAfter is the age of the evidence from which a node also asks nodes of other zones.
	otherZoneAfter = 1800 * time.Millisecond
	// directAfter is the age from which a node reads the store itself, which would be too many
	// calls if all nodes did it all the time: half the default bound.
	directAfter = 2500 * time.Millisecond
	// directEvery is the least time between two such reads of a node.
	directEvery = 900 * time.Millisecond
)

// Path is where a node answers how fresh its configuration is.
const Path = "/freshness"

// Options are what a revalidator needs of the other parts of a node.
type Options struct {
	Settings         func() *settings.Settings // in force
	Now              func() time.Duration      // since the start, suspensions of the machine included
	Configuration    *configuration.InForce
	ConfigurationKey string // of the operators' configuration in the store
	Events           *eventlog.Log
	Store            store.Store // nil: none
	StoreHealth      *storehealth.Health
	Peers            *peer.Client
	Membership       Membership
	Follower         Follower
	Keepers          Keepers
	// Fetch fetches the configuration of the node at an address, unless one is being fetched.
	Fetch func(address string)
}

// Membership is what is known of the nodes.
type Membership interface {
	AddressElsewhere() string // of a node in another zone; empty: no other node is known
}

// Follower is the election of the node that follows the store for the zone.
type Follower interface {
	Address() string // of another follower of the zone that hears the store; empty: none is known
	Reaches() bool   // this node follows the store, and the store answers
}

// Keepers is what is known of the keepers of quotas. Answers carry it along, which saves a
// message of its own.
type Keepers interface {
	Learn(keeper *wire.Keeper) (isNew bool)
	All() []wire.Keeper
}

// Revalidator keeps the evidence that the node's configuration is fresh.
type Revalidator struct {
	options Options

	mutex    sync.Mutex
	evidence freshness.Evidence
	// The newest version that came from the store, and the key's revision then; 0: none.
	storedVersion  uint64
	storedRevision int64

	early chan struct{} // ends the pause of Run

	// Only Run uses these.
	unconfirmed bool          // the evidence was too old for keys when it was last checked
	lastDirect  time.Duration // when this node last read the store itself; 0: never
}

// New makes a revalidator without evidence.
func New(options Options) *Revalidator {
	return &Revalidator{options: options, early: make(chan struct{}, 1)}
}

// RevalidateNow makes Run renew the evidence before the next interval.
func (r *Revalidator) RevalidateNow() { wait.Signal(r.early) }

// Fresh reports whether the configuration is fresh enough to accept a key; always if the
// settings don't ask for it.
func (r *Revalidator) Fresh() bool {
	bound := r.options.Settings().Keys.Bound()
	if bound == 0 {
		return true
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.evidence.Within(r.options.Now(), bound)
}

// Age returns how old the evidence is and the version that it is for; false: there is none.
func (r *Revalidator) Age() (age time.Duration, version uint64, known bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.evidence.Age(r.options.Now())
}

// confirm takes in that version was the newest as of a moment. It returns false if this node
// does not have that version yet.
func (r *Revalidator) confirm(asOf time.Duration, version uint64) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.evidence.Confirm(asOf, version, r.options.Configuration.Version())
}

// InstallStored puts a configuration of the store in force unless a newer one is, and returns
// its version. An error has been logged, and nothing has changed.
func (r *Revalidator) InstallStored(item *store.Item) (uint64, error) {
	version, err := r.options.Configuration.Install(item.Value, configuration.FromStore)
	if err == nil {
		r.noteStored(version, item.Revision)
	}
	return version, err
}

// noteStored notes the revision at which the store has a version.
func (r *Revalidator) noteStored(version uint64, revision int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if version >= r.storedVersion {
		r.storedVersion, r.storedRevision = version, revision
	}
}

// needed reports whether evidence is of use: there are tenants with keys, and the settings
// bound the age of the configuration for them.
func (r *Revalidator) needed() bool {
	current := r.options.Configuration.Load()
	return current != nil && len(current.Tenants) > 0 && r.options.Settings().Keys.Bound() > 0
}

// Run renews the evidence until ctx ends. It begins at a random time within an interval, so that
// nodes that start together do not ask together.
func (r *Revalidator) Run(ctx context.Context) {
	wait.For(ctx, time.Duration(rand.Int64N(int64(askEvery))))
	for ctx.Err() == nil {
		rest := askEvery
		if r.needed() {
			rest = r.renew(ctx)
		}
		r.logChange()
		timer := time.NewTimer(rest)
		select {
		case <-ctx.Done():
		case <-r.early:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// renew gets younger evidence from the store or, if this node does not follow it, from the
// nearest node that does. It returns the pause until the next attempt.
func (r *Revalidator) renew(ctx context.Context) time.Duration {
	nearest := r.options.Follower.Address()
	switch {
	case r.options.Follower.Reaches():
		if r.confirmAtStore(ctx) {
			return confirmEvery
		}
	case r.AskPeer(ctx, nearest):
		return askEvery
	}
	age, _, known := r.Age()
	if !known || age > otherZoneAfter || nearest == "" {
		if r.AskPeer(ctx, r.options.Membership.AddressElsewhere()) {
			return askEvery
		}
	}
	if !known || age > directAfter {
		r.confirmDirectly(ctx)
	}
	return askEvery / 2
}

// AskPeer asks the node at an address how fresh its configuration is, and which keepers of
// quotas it knows. It reports whether the answer has made evidence; if the other node has a
// newer configuration that is fetched first. A failure needs no line in the log: other nodes
// are asked, and Run logs when the evidence is too old.
func (r *Revalidator) AskPeer(ctx context.Context, address string) bool {
	if address == "" {
		return false
	}
	asked := r.options.Now()
	call, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answer, err := r.request(call, address)
	if err != nil {
		return false
	}
	for index := range answer.Keepers {
		r.options.Keepers.Learn(&answer.Keepers[index])
	}
	if !answer.Known {
		return false
	}
	if uint64(answer.Version) > r.options.Configuration.Version() {
		r.options.Fetch(address)
	}
	return r.confirm(freshness.Told(asked, time.Duration(answer.Age)*time.Microsecond), uint64(answer.Version))
}

// confirmDirectly asks the store though this node does not follow it: no other node has given
// evidence.
func (r *Revalidator) confirmDirectly(ctx context.Context) {
	if r.options.Store == nil {
		return
	}
	now := r.options.Now()
	if r.lastDirect != 0 && now-r.lastDirect < directEvery {
		return
	}
	r.lastDirect = now
	r.confirmAtStore(ctx)
}

// confirmAtStore asks the store whether the configuration in force is still the newest, and
// installs the newer one if not. It reports whether there is evidence as of now.
func (r *Revalidator) confirmAtStore(ctx context.Context) bool {
	r.mutex.Lock()
	version, revision := r.storedVersion, r.storedRevision
	r.mutex.Unlock()
	asked := r.options.Now()
	call, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if revision == 0 || version != r.options.Configuration.Version() {
		return r.ReadStored(call, asked)
	}
	newer, err := r.options.Store.Unchanged(call, r.options.ConfigurationKey, revision)
	r.options.StoreHealth.Note("confirm", err)
	switch {
	case err == nil:
		return r.confirm(asked, version)
	case errors.Is(err, store.ErrConflict) && newer != nil:
		return r.install(newer, asked)
	}
	return false
}

// ReadStored reads the configuration from the store; the call began at asked. What it reads is
// evidence too, so a node that has just started need not ask again: after a loss of power of
// all 71 nodes, requests with keys were refused for 0.3 s more before it counted.
func (r *Revalidator) ReadStored(ctx context.Context, asked time.Duration) bool {
	item, _, err := r.options.Store.Get(ctx, r.options.ConfigurationKey)
	r.options.StoreHealth.Note("read", err)
	if err != nil || item == nil {
		return false
	}
	return r.install(item, asked)
}

// install puts a configuration of the store in force; the call that read it began at asked.
func (r *Revalidator) install(item *store.Item, asked time.Duration) bool {
	version, err := r.InstallStored(item)
	return err == nil && r.confirm(asked, version)
}

// logChange logs when requests with keys begin to be refused for lack of evidence, and when
// that ends.
func (r *Revalidator) logChange() {
	bound := r.options.Settings().Keys.Bound()
	age, version, known := r.Age()
	unconfirmed := r.needed() && (!known || age >= bound)
	if unconfirmed == r.unconfirmed {
		return
	}
	r.unconfirmed = unconfirmed
	change := "confirmed"
	if unconfirmed {
		change = "unconfirmed"
	}
	r.options.Events.Add(eventlog.Freshness{Change: change, Version: version, AgeMS: eventlog.Milliseconds(age)}, eventlog.State)
}

// ServeHTTP answers another node's AskPeer.
func (r *Revalidator) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	age, version, known := r.Age()
	peer.WriteMessage(w, wire.FreshnessCodec, &wire.Freshness{Known: known, Version: int64(version), Age: age.Microseconds(), Keepers: r.options.Keepers.All()})
}

// request sends the message of AskPeer, which has no body.
func (r *Revalidator) request(ctx context.Context, address string) (*wire.Freshness, error) {
	read, err := r.options.Peers.Post(ctx, address, Path, nil)
	if err != nil {
		return nil, err
	}
	return wire.FreshnessCodec.Decode(read)
}
