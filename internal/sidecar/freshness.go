package sidecar

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

// freshnessPath tells how fresh a node's configuration is.
const freshnessPath = "/freshness"

// freshnessOptions are what the proof of freshness needs of the node's other parts.
type freshnessOptions struct {
	Settings         func() *settings.Settings // in force
	Now              func() time.Duration      // since the start, suspensions of the machine included
	Configuration    *configuration.InForce
	ConfigurationKey string // of the operators' configuration in the store
	Events           *eventlog.Log
	Store            store.Store // nil: none
	StoreHealth      *storehealth.Health
	Peers            *peer.Client
	Membership       freshnessMembership
	Follower         freshnessFollower
	Keepers          freshnessKeepers
	// Fetch fetches the configuration of the node at an address, unless one is being fetched.
	Fetch func(address string)
}

// freshnessMembership is what is known of the nodes.
type freshnessMembership interface {
	AddressElsewhere() string // of a node in another zone; empty: no other node is known
}

// freshnessFollower is the election of the node that follows the store for the zone.
type freshnessFollower interface {
	Address() string // of another follower of the zone that hears the store; empty: none is known
	Reaches() bool   // this node follows the store, and the store answers
}

// freshnessKeepers are the keepers of quotas that are known; answers carry them along.
type freshnessKeepers interface {
	Learn(keeper *wire.Keeper) (isNew bool)
	All() []wire.Keeper
}

// prover keeps the evidence that the node's configuration is fresh. Followers confirm it
// at the store, the other nodes ask their zone's follower. An age that somebody pushed
// would prove nothing, since the message may have lain anywhere for long; an age that was
// asked for proves that it was no greater when the question began.
type prover struct {
	options freshnessOptions

	mutex    sync.Mutex
	evidence freshness.Evidence
	revision int64 // of the configuration in the store, for the version in force; 0: not known
	version  uint64
	lost     bool // the evidence was too old for keys at the last look
	direct   time.Duration

	now chan struct{} // the evidence is to be renewed now
}

func newProver(options freshnessOptions) *prover {
	return &prover{options: options, now: make(chan struct{}, 1)}
}

// RenewNow has the evidence renewed before its time.
func (p *prover) RenewNow() { wait.Signal(p.now) }

// Holds tells whether the configuration is fresh enough for a key to be believed.
func (p *prover) Holds() bool {
	bound := p.options.Settings().Keys.Bound()
	if bound == 0 {
		return true
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.evidence.Within(p.options.Now(), bound)
}

// Age gives how old the evidence is; false: there is none.
func (p *prover) Age() (age time.Duration, version uint64, known bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.evidence.Age(p.options.Now())
}

// confirm takes in that version was the newest as of a moment.
func (p *prover) confirm(asOf time.Duration, version uint64) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.evidence.Confirm(asOf, version, p.options.Configuration.Version())
}

// InstallStored puts a configuration of the store in force unless a newer one is. It gives
// its version.
func (p *prover) InstallStored(item *store.Item) (uint64, error) {
	version, err := p.options.Configuration.Install(item.Value, configuration.FromStore)
	if err == nil {
		p.stored(version, item.Revision)
	}
	return version, err
}

// stored notes the revision with which the store has a version.
func (p *prover) stored(version uint64, revision int64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if version >= p.version {
		p.version, p.revision = version, revision
	}
}

// wanted tells whether evidence is of use: some tenant holds keys that may be taken away.
func (p *prover) wanted() bool {
	current := p.options.Configuration.Load()
	return current != nil && len(current.Tenants) > 0 && p.options.Settings().Keys.Bound() > 0
}

// Run keeps the evidence young until ctx ends.
func (p *prover) Run(ctx context.Context) {
	wait.For(ctx, time.Duration(rand.Int64N(int64(askEvery))))
	for ctx.Err() == nil {
		rest := askEvery
		if p.wanted() {
			rest = p.renew(ctx)
		}
		p.noteLoss()
		timer := time.NewTimer(rest)
		select {
		case <-ctx.Done():
		case <-p.now:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// renew gets younger evidence and gives the time until the next try.
func (p *prover) renew(ctx context.Context) time.Duration {
	nearest := p.options.Follower.Address()
	switch {
	case p.options.Follower.Reaches():
		if p.atStore(ctx) {
			return confirmEvery
		}
	case p.Ask(ctx, nearest):
		return askEvery
	}
	age, _, known := p.Age()
	if !known || age > elsewhereAfter || nearest == "" {
		if p.Ask(ctx, p.options.Membership.AddressElsewhere()) {
			return askEvery
		}
	}
	if !known || age > directAfter {
		p.atStoreRarely(ctx)
	}
	return askEvery / 2
}

// Ask asks another node how fresh its configuration is.
func (p *prover) Ask(ctx context.Context, address string) bool {
	if address == "" {
		return false
	}
	asked := p.options.Now()
	call, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	told, err := p.question(call, address)
	if err != nil {
		return false
	}
	for index := range told.Keepers {
		p.options.Keepers.Learn(&told.Keepers[index])
	}
	if !told.Known {
		return false
	}
	if uint64(told.Version) > p.options.Configuration.Version() {
		p.options.Fetch(address)
	}
	return p.confirm(freshness.Told(asked, time.Duration(told.Age)*time.Microsecond), uint64(told.Version))
}

// atStoreRarely reads the store on the node's own account, when nobody else can tell.
func (p *prover) atStoreRarely(ctx context.Context) {
	if p.options.Store == nil {
		return
	}
	now := p.options.Now()
	if p.direct != 0 && now-p.direct < directRest {
		return
	}
	p.direct = now
	p.atStore(ctx)
}

// atStore confirms at the store that the configuration in force is the newest, or takes
// the newest one.
func (p *prover) atStore(ctx context.Context) bool {
	p.mutex.Lock()
	version, revision := p.version, p.revision
	p.mutex.Unlock()
	asked := p.options.Now()
	call, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if revision == 0 || version != p.options.Configuration.Version() {
		return p.Read(call, asked)
	}
	newer, err := p.options.Store.Unchanged(call, p.options.ConfigurationKey, revision)
	p.options.StoreHealth.Note("confirm", err)
	switch {
	case err == nil:
		return p.confirm(asked, version)
	case errors.Is(err, store.ErrConflict) && newer != nil:
		return p.take(newer, asked)
	}
	return false
}

// Read reads the configuration whole; the question began at asked. A node that comes back
// with nothing has its proof with it: after a loss of power of all 71 nodes requests with
// keys were refused for another 0.3 s in which each asked again.
func (p *prover) Read(ctx context.Context, asked time.Duration) bool {
	item, _, err := p.options.Store.Get(ctx, p.options.ConfigurationKey)
	p.options.StoreHealth.Note("read", err)
	if err != nil || item == nil {
		return false
	}
	return p.take(item, asked)
}

// take puts a configuration of the store in force; the question for it began at asked.
func (p *prover) take(item *store.Item, asked time.Duration) bool {
	version, err := p.InstallStored(item)
	return err == nil && p.confirm(asked, version)
}

// noteLoss logs when keys are refused for want of evidence, and when no longer.
func (p *prover) noteLoss() {
	bound := p.options.Settings().Keys.Bound()
	age, version, known := p.Age()
	lost := p.wanted() && (!known || age >= bound)
	if lost == p.lost {
		return
	}
	p.lost = lost
	change := "confirmed"
	if lost {
		change = "unconfirmed"
	}
	p.options.Events.Add(eventlog.Freshness{Change: change, Version: version, AgeMS: eventlog.Milliseconds(age)}, eventlog.State)
}

// ServeHTTP answers the question of another node.
func (p *prover) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	age, version, known := p.Age()
	peer.WriteMessage(w, wire.FreshnessCodec, &wire.Freshness{Known: known, Version: int64(version), Age: age.Microseconds(), Keepers: p.options.Keepers.All()})
}

// question asks the node at an address how fresh its configuration is.
func (p *prover) question(ctx context.Context, address string) (*wire.Freshness, error) {
	read, err := p.options.Peers.Post(ctx, address, freshnessPath, nil)
	if err != nil {
		return nil, err
	}
	return wire.FreshnessCodec.Decode(read)
}
