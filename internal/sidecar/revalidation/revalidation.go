// Package revalidation keeps a node's evidence that its configuration is fresh: that no newer
// one was acknowledged before a moment that is not long ago. Requests with keys are served
// only while there is such evidence, since a key that has been taken away is refused only
// by a configuration that no longer has it.
//
// A node that follows the store for its zone confirms its configuration at the store; the
// others ask that node. Only answers to questions count: an age that is sent unasked may
// have lain anywhere for long, while one that was asked for was no greater when the question
// began.
//
// The package owns the evidence, and the revision with which the store has the version in
// force. It relies on package core/freshness for the rules, on the configuration in force
// never going back, and on Options.Now counting the time for which the machine was
// suspended. While the store is away the evidence ages, and requests with keys are refused
// from the bound of the settings on; without keys that may be taken away nothing is asked.
// All of it is safe for concurrent use.
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

// Times of the proof that the configuration is fresh. A node's evidence is at most
// confirmEvery and askEvery old while its follower reaches the store, 1.4 s. An outage of
// the store then has to last 3.6 s of the users' five before a key is refused; they do
// not count on requests with keys after three.
const (
	confirmEvery   = 800 * time.Millisecond // of a follower, at the store
	confirmTimeout = 400 * time.Millisecond
	askEvery       = 600 * time.Millisecond // of the others, at their follower
	askTimeout     = 250 * time.Millisecond
	// elsewhereAfter is the age from which a node asks nodes of other zones too,
	// directAfter that from which it reads the store itself.
	elsewhereAfter = 1800 * time.Millisecond
	directAfter    = 2500 * time.Millisecond
	// directRest is the least time between two such reads of one node.
	directRest = 900 * time.Millisecond
)

// Path is where a node answers how fresh a node's configuration is.
const Path = "/freshness"

// Options are what the proof of freshness needs of the node's other parts.
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

// Keepers are the keepers of quotas that are known; answers carry them along.
type Keepers interface {
	Learn(keeper *wire.Keeper) (isNew bool)
	All() []wire.Keeper
}

// Revalidator keeps the evidence that the node's configuration is fresh. Followers confirm it
// at the store, the other nodes ask their zone's follower. An age that somebody pushed
// would prove nothing, since the message may have lain anywhere for long; an age that was
// asked for proves that it was no greater when the question began.
type Revalidator struct {
	options Options

	mutex    sync.Mutex
	evidence freshness.Evidence
	revision int64 // of the configuration in the store, for the version in force; 0: not known
	version  uint64
	lost     bool // the evidence was too old for keys at the last look
	direct   time.Duration

	now chan struct{} // the evidence is to be renewed now
}

// New makes a revalidator without evidence.
func New(options Options) *Revalidator {
	return &Revalidator{options: options, now: make(chan struct{}, 1)}
}

// RenewNow has the evidence renewed before its time.
func (r *Revalidator) RenewNow() { wait.Signal(r.now) }

// Holds tells whether the configuration is fresh enough for a key to be believed.
func (r *Revalidator) Holds() bool {
	bound := r.options.Settings().Keys.Bound()
	if bound == 0 {
		return true
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.evidence.Within(r.options.Now(), bound)
}

// Age gives how old the evidence is; false: there is none.
func (r *Revalidator) Age() (age time.Duration, version uint64, known bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.evidence.Age(r.options.Now())
}

// confirm takes in that version was the newest as of a moment.
func (r *Revalidator) confirm(asOf time.Duration, version uint64) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.evidence.Confirm(asOf, version, r.options.Configuration.Version())
}

// InstallStored puts a configuration of the store in force unless a newer one is. It gives
// its version.
func (r *Revalidator) InstallStored(item *store.Item) (uint64, error) {
	version, err := r.options.Configuration.Install(item.Value, configuration.FromStore)
	if err == nil {
		r.stored(version, item.Revision)
	}
	return version, err
}

// stored notes the revision with which the store has a version.
func (r *Revalidator) stored(version uint64, revision int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if version >= r.version {
		r.version, r.revision = version, revision
	}
}

// wanted tells whether evidence is of use: some tenant holds keys that may be taken away.
func (r *Revalidator) wanted() bool {
	current := r.options.Configuration.Load()
	return current != nil && len(current.Tenants) > 0 && r.options.Settings().Keys.Bound() > 0
}

// Run keeps the evidence young until ctx ends.
func (r *Revalidator) Run(ctx context.Context) {
	wait.For(ctx, time.Duration(rand.Int64N(int64(askEvery))))
	for ctx.Err() == nil {
		rest := askEvery
		if r.wanted() {
			rest = r.renew(ctx)
		}
		r.noteLoss()
		timer := time.NewTimer(rest)
		select {
		case <-ctx.Done():
		case <-r.now:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// renew gets younger evidence and gives the time until the next try.
func (r *Revalidator) renew(ctx context.Context) time.Duration {
	nearest := r.options.Follower.Address()
	switch {
	case r.options.Follower.Reaches():
		if r.atStore(ctx) {
			return confirmEvery
		}
	case r.Ask(ctx, nearest):
		return askEvery
	}
	age, _, known := r.Age()
	if !known || age > elsewhereAfter || nearest == "" {
		if r.Ask(ctx, r.options.Membership.AddressElsewhere()) {
			return askEvery
		}
	}
	if !known || age > directAfter {
		r.atStoreRarely(ctx)
	}
	return askEvery / 2
}

// Ask asks another node how fresh its configuration is.
func (r *Revalidator) Ask(ctx context.Context, address string) bool {
	if address == "" {
		return false
	}
	asked := r.options.Now()
	call, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	told, err := r.question(call, address)
	if err != nil {
		return false
	}
	for index := range told.Keepers {
		r.options.Keepers.Learn(&told.Keepers[index])
	}
	if !told.Known {
		return false
	}
	if uint64(told.Version) > r.options.Configuration.Version() {
		r.options.Fetch(address)
	}
	return r.confirm(freshness.Told(asked, time.Duration(told.Age)*time.Microsecond), uint64(told.Version))
}

// atStoreRarely reads the store on the node's own account, when nobody else can tell.
func (r *Revalidator) atStoreRarely(ctx context.Context) {
	if r.options.Store == nil {
		return
	}
	now := r.options.Now()
	if r.direct != 0 && now-r.direct < directRest {
		return
	}
	r.direct = now
	r.atStore(ctx)
}

// atStore confirms at the store that the configuration in force is the newest, or takes
// the newest one.
func (r *Revalidator) atStore(ctx context.Context) bool {
	r.mutex.Lock()
	version, revision := r.version, r.revision
	r.mutex.Unlock()
	asked := r.options.Now()
	call, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if revision == 0 || version != r.options.Configuration.Version() {
		return r.Read(call, asked)
	}
	newer, err := r.options.Store.Unchanged(call, r.options.ConfigurationKey, revision)
	r.options.StoreHealth.Note("confirm", err)
	switch {
	case err == nil:
		return r.confirm(asked, version)
	case errors.Is(err, store.ErrConflict) && newer != nil:
		return r.take(newer, asked)
	}
	return false
}

// Read reads the configuration whole; the question began at asked. A node that comes back
// with nothing has its proof with it: after a loss of power of all 71 nodes requests with
// keys were refused for another 0.3 s in which each asked again.
func (r *Revalidator) Read(ctx context.Context, asked time.Duration) bool {
	item, _, err := r.options.Store.Get(ctx, r.options.ConfigurationKey)
	r.options.StoreHealth.Note("read", err)
	if err != nil || item == nil {
		return false
	}
	return r.take(item, asked)
}

// take puts a configuration of the store in force; the question for it began at asked.
func (r *Revalidator) take(item *store.Item, asked time.Duration) bool {
	version, err := r.InstallStored(item)
	return err == nil && r.confirm(asked, version)
}

// noteLoss logs when keys are refused for want of evidence, and when no longer.
func (r *Revalidator) noteLoss() {
	bound := r.options.Settings().Keys.Bound()
	age, version, known := r.Age()
	lost := r.wanted() && (!known || age >= bound)
	if lost == r.lost {
		return
	}
	r.lost = lost
	change := "confirmed"
	if lost {
		change = "unconfirmed"
	}
	r.options.Events.Add(eventlog.Freshness{Change: change, Version: version, AgeMS: eventlog.Milliseconds(age)}, eventlog.State)
}

// ServeHTTP answers the question of another node.
func (r *Revalidator) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	age, version, known := r.Age()
	peer.WriteMessage(w, wire.FreshnessCodec, &wire.Freshness{Known: known, Version: int64(version), Age: age.Microseconds(), Keepers: r.options.Keepers.All()})
}

// question asks the node at an address how fresh its configuration is.
func (r *Revalidator) question(ctx context.Context, address string) (*wire.Freshness, error) {
	read, err := r.options.Peers.Post(ctx, address, Path, nil)
	if err != nil {
		return nil, err
	}
	return wire.FreshnessCodec.Decode(read)
}
