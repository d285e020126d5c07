// Package revalidation maintains a node's evidence that its configuration is fresh, meaning that
// no newer configuration had been acknowledged as of a recent time. With the setting
// keys.fail_closed, requests with API keys are served only while the node has such evidence,
// since a revoked key is refused only by a configuration without it.
//
// A node that follows the store for its zone confirms its configuration with the store. The
// other nodes poll that node. Evidence comes only from answers to requests: the delay of an
// unsolicited message is unknown, while the age in an answer is valid as of the time at which
// the request was sent.
//
// The package relies on package core/freshness for the rules, on the configuration in force
// never being rolled back, and on Options.Now to include the time for which the machine was
// suspended. While the store is unavailable the evidence ages; when it is older than
// keys.revoke, requests with keys are refused. Nothing is revalidated if no tenant has keys or
// keys.fail_closed is off. All types are safe for concurrent use.
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

// Intervals and timeouts. While the zone's follower is connected to the store, evidence is at
// most confirmInterval + pollInterval = 1.4 s old. The difference between that and keys.revoke is how
// long an outage of the store can last before requests with keys are refused; at the default
// of 5 s it must be at least 3 s.
const (
	confirmInterval = 800 * time.Millisecond // of a follower, with the store
	confirmTimeout  = 400 * time.Millisecond
	pollInterval    = 600 * time.Millisecond // of the other nodes, with their follower
	pollTimeout     = 250 * time.Millisecond
	// crossZoneAge is the age of the evidence above which a node also polls other zones.
	crossZoneAge = 1800 * time.Millisecond
	// directReadAge is the age of the evidence above which a node that is not a follower reads
	// the store itself, half of the default bound. It would be too many reads if all nodes did so all
	// the time.
	directReadAge = 2500 * time.Millisecond
	// directReadInterval is the minimum time between direct reads of a node.
	directReadInterval = 900 * time.Millisecond
)

// Path is the HTTP path of freshness requests.
const Path = "/freshness"

// Options configure a Revalidator and connect it to the other parts of a node.
type Options struct {
	Settings         func() *settings.Settings // current settings
	Now              func() time.Duration      // time since start, including suspensions of the machine
	Configuration    *configuration.Active
	ConfigurationKey string // store key of the configuration
	Events           *eventlog.Log
	Store            store.Store // nil if the node has no store
	StoreHealth      *storehealth.Health
	Peers            *peer.Client
	Membership       Membership
	Follower         Follower
	Keepers          Keepers
	// Fetch fetches the configuration from the node at an address, unless a fetch is in progress.
	Fetch func(address string)
}

// Membership provides the known nodes.
type Membership interface {
	RemoteZoneAddress() string // address of a node in another zone, or empty
}

// Follower provides the state of the zone's follower, the node elected to watch the store.
type Follower interface {
	HealthyPeerAddress() string // address of another follower in the zone that is connected to the store, or empty
	StoreReachable() bool       // this node is a follower and the store answers
}

// Keepers caches the keepers of quotas, which are included in freshness answers to save a
// separate request.
type Keepers interface {
	Learn(keeper *wire.Keeper) (isNew bool)
	All() []wire.Keeper
}

// Revalidator maintains the evidence that the node's configuration is fresh.
type Revalidator struct {
	options Options

	mutex    sync.Mutex
	evidence freshness.Evidence
	// Newest version read from the store, and its store revision; 0 if none.
	storedVersion  uint64
	storedRevision int64

	wake chan struct{} // makes Run refresh the evidence before the next interval

	// The fields below are used only by Run.
	unconfirmed    bool          // logged state: the evidence was too old or missing
	lastDirectRead time.Duration // 0 if never
}

// New returns a Revalidator without evidence.
func New(options Options) *Revalidator {
	return &Revalidator{options: options, wake: make(chan struct{}, 1)}
}

// RevalidateNow makes Run refresh the evidence before the next interval.
func (r *Revalidator) RevalidateNow() { wait.Notify(r.wake) }

// Fresh reports whether the configuration is fresh enough to accept a key. It is always true if
// keys.fail_closed is off.
func (r *Revalidator) Fresh() bool {
	bound := r.options.Settings().Keys.MaxConfigurationAge()
	if bound == 0 {
		return true
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.evidence.YoungerThan(r.options.Now(), bound)
}

// Age returns the age of the evidence and the version that it confirms. known is false if there
// is no evidence.
func (r *Revalidator) Age() (age time.Duration, version uint64, known bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.evidence.Age(r.options.Now())
}

// confirm adds the evidence that version was the newest as of a time. It returns false if this
// node does not have that version in force.
func (r *Revalidator) confirm(asOf time.Duration, version uint64) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.evidence.Confirm(asOf, version, r.options.Configuration.Version())
}

// InstallStored installs a configuration read from the store, unless a newer one is in force, and
// returns its version. Install logs errors; they leave the configuration unchanged.
func (r *Revalidator) InstallStored(item *store.Item) (uint64, error) {
	version, err := r.options.Configuration.Install(item.Value, configuration.SourceStore)
	if err == nil {
		r.recordStored(version, item.Revision)
	}
	return version, err
}

// recordStored records the store revision of a version.
func (r *Revalidator) recordStored(version uint64, revision int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if version >= r.storedVersion {
		r.storedVersion, r.storedRevision = version, revision
	}
}

// needed reports whether evidence is required: there are tenants, and keys.fail_closed is on.
func (r *Revalidator) needed() bool {
	current := r.options.Configuration.Load()
	return current != nil && len(current.Tenants) > 0 && r.options.Settings().Keys.MaxConfigurationAge() > 0
}

// Run refreshes the evidence until ctx is done. It starts with a random delay, so that nodes
// started together do not poll at the same time.
func (r *Revalidator) Run(ctx context.Context) {
	wait.Sleep(ctx, time.Duration(rand.Int64N(int64(pollInterval))))
	for ctx.Err() == nil {
		delay := pollInterval
		if r.needed() {
			delay = r.refresh(ctx)
		}
		r.logChange()
		timer := time.NewTimer(delay)
		select {
		case <-ctx.Done():
		case <-r.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// refresh obtains newer evidence, from the store if this node is a follower and otherwise from
// other nodes, falling back to a direct read. It returns the delay until the next attempt.
func (r *Revalidator) refresh(ctx context.Context) time.Duration {
	followerAddress := r.options.Follower.HealthyPeerAddress()
	switch {
	case r.options.Follower.StoreReachable():
		if r.confirmAtStore(ctx) {
			return confirmInterval
		}
	case r.PollPeer(ctx, followerAddress):
		return pollInterval
	}
	age, _, known := r.Age()
	if !known || age > crossZoneAge || followerAddress == "" {
		if r.PollPeer(ctx, r.options.Membership.RemoteZoneAddress()) {
			return pollInterval
		}
	}
	if !known || age > directReadAge {
		r.confirmDirectly(ctx)
	}
	return pollInterval / 2
}

// PollPeer polls the node at address for the freshness of its configuration and the keepers it
// knows. It reports whether the answer added evidence. If the other node has a newer
// configuration, a fetch is started. Errors are not logged, since other nodes are polled next and
// Run logs when the evidence becomes too old.
func (r *Revalidator) PollPeer(ctx context.Context, address string) bool {
	if address == "" {
		return false
	}
	sentAt := r.options.Now()
	call, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	answer, err := r.requestFreshness(call, address)
	if err != nil {
		return false
	}
	for i := range answer.Keepers {
		r.options.Keepers.Learn(&answer.Keepers[i])
	}
	if !answer.Known {
		return false
	}
	if uint64(answer.Version) > r.options.Configuration.Version() {
		r.options.Fetch(address)
	}
	return r.confirm(freshness.ObservedAt(sentAt, time.Duration(answer.Age)*time.Microsecond), uint64(answer.Version))
}

// confirmDirectly confirms the configuration with the store even though this node is not a
// follower, at most once per directReadInterval.
func (r *Revalidator) confirmDirectly(ctx context.Context) {
	if r.options.Store == nil {
		return
	}
	now := r.options.Now()
	if r.lastDirectRead != 0 && now-r.lastDirectRead < directReadInterval {
		return
	}
	r.lastDirectRead = now
	r.confirmAtStore(ctx)
}

// confirmAtStore checks with the store that the configuration in force is the newest, and
// installs a newer one if not. It reports whether that added evidence.
func (r *Revalidator) confirmAtStore(ctx context.Context) bool {
	r.mutex.Lock()
	version, revision := r.storedVersion, r.storedRevision
	r.mutex.Unlock()
	sentAt := r.options.Now()
	call, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if revision == 0 || version != r.options.Configuration.Version() {
		return r.ReadStored(call, sentAt)
	}
	newer, err := r.options.Store.CheckRevision(call, r.options.ConfigurationKey, revision)
	r.options.StoreHealth.Record("confirm", err)
	switch {
	case err == nil:
		return r.confirm(sentAt, version)
	case errors.Is(err, store.ErrConflict) && newer != nil:
		return r.install(newer, sentAt)
	}
	return false
}

// ReadStored installs the configuration from the store and uses the read as evidence, so that a
// node that has just started need not poll first: after a power loss of all 71 nodes, requests with
// keys were refused for 0.3 s more before it counted. sentAt is when the call began.
func (r *Revalidator) ReadStored(ctx context.Context, sentAt time.Duration) bool {
	item, _, err := r.options.Store.Get(ctx, r.options.ConfigurationKey)
	r.options.StoreHealth.Record("read", err)
	if err != nil || item == nil {
		return false
	}
	return r.install(item, sentAt)
}

// install installs a configuration from the store and adds evidence for it. sentAt is when the
// call that read it began.
func (r *Revalidator) install(item *store.Item, sentAt time.Duration) bool {
	version, err := r.InstallStored(item)
	return err == nil && r.confirm(sentAt, version)
}

// logChange logs when requests with keys start or stop being refused for lack of evidence.
func (r *Revalidator) logChange() {
	bound := r.options.Settings().Keys.MaxConfigurationAge()
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

// ServeHTTP answers PollPeer requests of other nodes.
func (r *Revalidator) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	age, version, known := r.Age()
	peer.WriteMessage(w, wire.FreshnessCodec, &wire.Freshness{Known: known, Version: int64(version), Age: age.Microseconds(), Keepers: r.options.Keepers.All()})
}

// requestFreshness sends a freshness request, which has no body.
func (r *Revalidator) requestFreshness(ctx context.Context, address string) (*wire.Freshness, error) {
	body, err := r.options.Peers.Post(ctx, address, Path, nil)
	if err != nil {
		return nil, err
	}
	return wire.FreshnessCodec.Decode(body)
}
