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
	// otherZoneAfter is the age from which a node asks nodes of other zones too,
	// directAfter that from which it reads the store itself.
	otherZoneAfter = 1800 * time.Millisecond
	directAfter    = 2500 * time.Millisecond
	// directEvery is the least time between two such reads of one node.
	directEvery = 900 * time.Millisecond
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

	mutex          sync.Mutex
	evidence       freshness.Evidence
	storedRevision int64 // of the configuration in the store, for the version in force; 0: not known
	storedVersion  uint64
	unconfirmed    bool // the evidence was too old for keys at the last look
	lastDirect     time.Duration

	early chan struct{} // the evidence is to be renewed now
}

// New makes a revalidator without evidence.
func New(options Options) *Revalidator {
	return &Revalidator{options: options, early: make(chan struct{}, 1)}
}

// RevalidateNow has the evidence renewed before its time.
func (r *Revalidator) RevalidateNow() { wait.Signal(r.early) }

// Fresh tells whether the configuration is fresh enough for a key to be believed.
func (r *Revalidator) Fresh() bool {
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
		r.noteStored(version, item.Revision)
	}
	return version, err
}

// noteStored notes the revision with which the store has a version.
func (r *Revalidator) noteStored(version uint64, revision int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if version >= r.storedVersion {
		r.storedVersion, r.storedRevision = version, revision
	}
}

// needed tells whether evidence is of use: some tenant holds keys that may be taken away.
func (r *Revalidator) needed() bool {
	current := r.options.Configuration.Load()
	return current != nil && len(current.Tenants) > 0 && r.options.Settings().Keys.Bound() > 0
}

// Run keeps the evidence young until ctx ends.
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

// renew gets younger evidence and gives the time until the next try.
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

// AskPeer asks another node how fresh its configuration is.
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

// confirmDirectly reads the store on the node's own account, when nobody else can tell.
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

// confirmAtStore confirms at the store that the configuration in force is the newest, or takes
// the newest one.
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

// ReadStored reads the configuration whole; the question began at asked. A node that comes back
// with nothing has its proof with it: after a loss of power of all 71 nodes requests with
// keys were refused for another 0.3 s in which each asked again.
func (r *Revalidator) ReadStored(ctx context.Context, asked time.Duration) bool {
	item, _, err := r.options.Store.Get(ctx, r.options.ConfigurationKey)
	r.options.StoreHealth.Note("read", err)
	if err != nil || item == nil {
		return false
	}
	return r.install(item, asked)
}

// install puts a configuration of the store in force; the question for it began at asked.
func (r *Revalidator) install(item *store.Item, asked time.Duration) bool {
	version, err := r.InstallStored(item)
	return err == nil && r.confirm(asked, version)
}

// logChange logs when keys are refused for want of evidence, and when no longer.
func (r *Revalidator) logChange() {
	bound := r.options.Settings().Keys.Bound()
	age, version, known := r.Age()
	lost := r.needed() && (!known || age >= bound)
	if lost == r.unconfirmed {
		return
	}
	r.unconfirmed = lost
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

// request asks the node at an address how fresh its configuration is.
func (r *Revalidator) request(ctx context.Context, address string) (*wire.Freshness, error) {
	read, err := r.options.Peers.Post(ctx, address, Path, nil)
	if err != nil {
		return nil, err
	}
	return wire.FreshnessCodec.Decode(read)
}
