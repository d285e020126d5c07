package sidecar

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/landingmast/landingmast/internal/core/quota"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/store"
	"github.com/landingmast/landingmast/internal/wire"
)

// Times of the keepers of quotas.
const (
	// keeperLease is how long the right to give parts of limits lasts without the store.
	// Longer than most of its outages last; after it nobody holds anything that a keeper
	// gave that is gone.
	keeperLease = 6 * time.Second
	keeperRenew = 1500 * time.Millisecond
	keeperAgain = 300 * time.Millisecond // after a call that failed
	keeperCall  = 400 * time.Millisecond // of one call
	// turnStep is the time that the follower of each zone leaves to those before it.
	turnStep = 400 * time.Millisecond
	// replaceStep is that time where the keeper's process is known to be gone.
	replaceStep = 150 * time.Millisecond
	// settleEvery is the time between two looks for nodes that a new keeper has not heard of.
	settleEvery = 500 * time.Millisecond
	settleAfter = 200 * time.Millisecond // after the taking over
	// pruneAfter is the time after which the name of a node is dropped that holds nothing:
	// a new keeper withholds something for each name until it hears of the node.
	pruneAfter = 2 * time.Second
	// listGather is the time in which the names of new nodes are written together.
	listGather = 20 * time.Millisecond
)

// quotaPath takes the questions of other nodes for parts of limits.
const quotaPath = "/quota"

// offices are the groups of tenants whose quotas the node keeps. The right to do so is a
// key in the store with a lease, so that there is one keeper at most; beside it stand the
// names of the nodes that may hold parts, for the one that takes over.
type offices struct {
	node *Node

	overtake chan struct{} // one group is taken over at a time: all share a lease

	mutex   sync.Mutex
	lease   *store.Lease
	right   time.Duration // end of the right to give, on the node's clock
	paused  bool          // it has ended, and the lease may still be in the store
	held    map[int]*office
	absence map[int]time.Duration // since when a group is seen without a keeper
	taking  map[int]bool
}

// office is one group. Its fields belong to the mutex of offices.
type office struct {
	keeper   *quota.Keeper
	part     float64 // most of a limit that one share is
	reign    int64
	revision int64
	joining  map[string]bool // nodes whose names are not kept yet
	writing  bool
}

func newOffices(node *Node) *offices {
	return &offices{node: node, overtake: make(chan struct{}, 1), held: map[int]*office{}, absence: map[int]time.Duration{}, taking: map[int]bool{}}
}

// run renews the right until ctx ends.
func (o *offices) run(ctx context.Context) {
	for ctx.Err() == nil {
		rest := keeperRenew
		o.prune()
		if lease := o.inUse(); lease != nil && !o.renew(ctx, lease) {
			rest = keeperAgain
		}
		pause(ctx, rest)
	}
}

// inUse gives the lease of the groups that are kept, nil when there is none. It is renewed
// also when the right to give has ended: the store's leases may wait while it is away, and
// as long as the key is there nobody else can have it.
func (o *offices) inUse() *store.Lease {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if len(o.held) == 0 {
		return nil
	}
	if ended := o.node.now() >= o.right; ended != o.paused {
		o.pauseLocked(ended)
	}
	return o.lease
}

// pauseLocked notes that the right to give has ended or come back.
func (o *offices) pauseLocked(ended bool) {
	o.paused = ended
	change := "resumed"
	if ended {
		change = "paused"
	}
	for shard, one := range o.held {
		o.node.events.Add(eventlog.Keeper{Shard: shard, Change: change, Reign: one.reign}, eventlog.State)
	}
}

// keeps tells whether the node keeps the quotas of any group.
func (o *offices) keeps() bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return len(o.held) > 0
}

func (o *offices) dropLocked(why string) {
	for shard, one := range o.held {
		o.node.events.Add(eventlog.Keeper{Shard: shard, Change: "ended", Reign: one.reign, Error: why}, eventlog.State)
	}
	o.held, o.lease, o.paused = map[int]*office{}, nil, false
}

func (o *offices) renew(ctx context.Context, lease *store.Lease) bool {
	began := o.node.now()
	call, cancel := context.WithTimeout(ctx, keeperCall)
	defer cancel()
	err := o.node.store.Keep(call, lease.ID)
	o.node.storeResult("lease", err)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	switch {
	case err == nil && o.lease == lease:
		o.right = max(o.right, began+lease.TTL)
	case errors.Is(err, store.ErrLeaseGone) && o.lease == lease:
		o.dropLocked("lease is gone")
	}
	return err == nil
}

// fill takes over the groups that have no keeper, when it is the turn of the follower of
// this zone.
func (o *offices) fill(ctx context.Context) {
	if o.node.planned.stopping.Load() || !o.node.quotas.wanted() {
		return
	}
	now := o.node.now()
	zones := o.node.membership.zoneNames()
	without := map[int]bool{}
	for _, shard := range o.node.keepers.without() {
		without[shard] = true
		since, seen := o.absence[shard]
		if !seen {
			o.absence[shard], since = now, now
		}
		if now-since >= turnStep*time.Duration(turnOf(shard, o.node.settings().Zone, zones)) {
			o.begin(ctx, shard, nil)
		}
	}
	for shard := range o.absence {
		if !without[shard] {
			delete(o.absence, shard)
		}
	}
}

// resume takes over again what an earlier process of this node kept, before its lease is
// over: nobody else can have it until then.
func (o *offices) resume(ctx context.Context) {
	own := o.node.settings()
	for _, one := range o.node.keepers.all() {
		if one.Node == own.Node && one.Address == own.Listen.Inbound && one.Incarnation != o.node.incarnation {
			o.begin(ctx, one.Shard, &one)
		}
	}
}

// replace takes over a group whose keeper's process is gone: nobody listens at its address
// any more. What it gave is told by the nodes, and by those of which nobody listens either.
func (o *offices) replace(ctx context.Context, gone *wire.Keeper) {
	if o.node.planned.stopping.Load() || !o.node.follower.reaches() {
		return
	}
	turn := turnOf(gone.Shard, o.node.settings().Zone, o.node.membership.zoneNames())
	pause(ctx, replaceStep*time.Duration(turn))
	if known := o.node.keepers.of(gone.Shard); known != nil && known.Revision == gone.Revision {
		o.begin(ctx, gone.Shard, gone)
	}
}

// settle asks the nodes that a group's keeper has not heard of yet, until there are none: of
// one at whose address nobody listens the process is gone, and what it held with it.
func (o *offices) settle(ctx context.Context) {
	for pause(ctx, settleAfter); ctx.Err() == nil; pause(ctx, settleEvery) {
		awaited := o.awaited()
		if len(awaited) == 0 {
			return
		}
		var asked sync.WaitGroup
		for _, holder := range awaited {
			asked.Go(func() { o.settleOne(ctx, holder) })
		}
		asked.Wait()
	}
}

func (o *offices) settleOne(ctx context.Context, holder string) {
	call, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	if err := o.node.peers.pingPeer(call, addressOfHolder(holder)); !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for _, one := range o.held {
		one.keeper.Heard(o.node.now(), holder)
	}
}

// prune takes the names of nodes that are gone out of the records.
func (o *offices) prune() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for shard, one := range o.held {
		if one.keeper.Prune(o.node.now(), pruneAfter) && !one.writing {
			one.writing = true
			go o.writeNames(shard, one)
		}
	}
}

// awaited gives the nodes that keepers here have not heard of.
func (o *offices) awaited() []string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	var found []string
	for _, one := range o.held {
		for _, holder := range one.keeper.Awaited(o.node.now()) {
			if !slices.Contains(found, holder) {
				found = append(found, holder)
			}
		}
	}
	return found
}

// holderName names a node among those that may hold parts of limits, with its address: at
// one address there is one process at a time.
func holderName(node, address string) string { return node + " " + address }

func addressOfHolder(holder string) string {
	_, address, _ := strings.Cut(holder, " ")
	return address
}

// begin takes a group over unless that is under way.
func (o *offices) begin(ctx context.Context, shard int, before *wire.Keeper) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.taking[shard] || o.held[shard] != nil {
		return
	}
	o.taking[shard] = true
	go func() {
		err := o.takeOver(ctx, shard, before)
		if err != nil {
			o.node.events.Add(eventlog.Keeper{Shard: shard, Change: "not taken over", Error: err.Error()}, eventlog.Failure)
		}
		o.mutex.Lock()
		defer o.mutex.Unlock()
		delete(o.taking, shard)
	}()
}

func (o *offices) takeOver(ctx context.Context, shard int, before *wire.Keeper) error {
	o.overtake <- struct{}{}
	defer func() { <-o.overtake }()
	revision, known := int64(0), quota.Before{}
	if before != nil {
		item, record, err := o.read(ctx, shard)
		if err != nil {
			return err
		}
		if record == nil || record.Node != before.Node || record.Incarnation == o.node.incarnation {
			return nil
		}
		// The one before may have given parts that last until its lease would have ended.
		revision, known = item.Revision, quota.Before{Listed: record.Listed, Part: record.Part, Ends: o.node.now() + keeperLease}
	}
	lease, err := o.leased(ctx)
	if err != nil {
		return err
	}
	names := known.Listed
	if before == nil {
		for _, record := range o.node.membership.all() {
			names = append(names, holderName(record.Node, record.Address))
		}
	}
	// A node that this keeper does not hear of may be heard by the next one: the part that
	// it may hold stays as it was.
	part := known.Part
	if before == nil {
		part = quota.PartOf(len(names))
	}
	written, err := o.write(ctx, shard, lease.ID, names, part, revision)
	if err != nil {
		return err
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.lease != lease {
		return errors.New("lease ended meanwhile")
	}
	now := o.node.now()
	keeper := quota.NewKeeper(o.node.quotas.config(), written, now, part, known)
	if before == nil {
		keeper.List(now, names)
	}
	o.held[shard] = &office{keeper: keeper, part: part, reign: written, revision: written, joining: map[string]bool{}}
	o.node.keepers.learn(o.record(shard, written))
	if before != nil {
		go o.settle(ctx)
	}
	o.node.events.Add(eventlog.Keeper{Shard: shard, Change: "taken over", Reign: written, Listed: len(known.Listed)}, eventlog.State)
	return nil
}

// read gives the key of a group; nil when there is none.
func (o *offices) read(ctx context.Context, shard int) (*store.Item, *wire.KeeperRecord, error) {
	call, cancel := context.WithTimeout(ctx, keeperCall)
	defer cancel()
	item, _, err := o.node.store.Get(call, o.key(shard))
	o.node.storeResult("read", err)
	if err != nil || item == nil {
		return nil, nil, err
	}
	record, err := wire.KeeperRecordCodec.Decode(item.Value)
	return item, record, err
}

// leased gives the lease of the groups that the node keeps.
func (o *offices) leased(ctx context.Context) (*store.Lease, error) {
	o.inUse()
	o.mutex.Lock()
	known, left := o.lease, o.right-o.node.now()
	o.mutex.Unlock()
	if known != nil && (o.keeps() || left > keeperLease/2) {
		return known, nil
	}
	began := o.node.now()
	call, cancel := context.WithTimeout(ctx, keeperCall)
	defer cancel()
	lease, err := o.node.store.Grant(call, keeperLease)
	o.node.storeResult("lease", err)
	if err != nil {
		return nil, err
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	lease.TTL = min(lease.TTL, keeperLease)
	o.lease, o.right = &lease, began+lease.TTL
	return o.lease, nil
}

func (o *offices) key(shard int) string {
	return o.node.options.QuotaPrefix + strconv.Itoa(shard)
}

func (o *offices) record(shard int, revision int64) *wire.Keeper {
	own := o.node.settings()
	return &wire.Keeper{Shard: shard, Node: own.Node, Address: own.Listen.Inbound, Incarnation: o.node.incarnation, Revision: revision}
}

// write writes the key of a group if it still has a revision.
func (o *offices) write(ctx context.Context, shard int, lease int64, names []string, part float64, revision int64) (int64, error) {
	own := o.node.settings()
	value, err := wire.KeeperRecordCodec.Encode(&wire.KeeperRecord{
		Node: own.Node, Incarnation: o.node.incarnation, Address: own.Listen.Inbound, Listed: names, Part: part,
	})
	if err != nil {
		return 0, err
	}
	call, cancel := context.WithTimeout(ctx, keeperCall)
	defer cancel()
	written, err := o.node.store.Put(call, store.Write{Key: o.key(shard), Value: value, Lease: lease, IfRevision: &revision})
	o.node.storeResult("keeper", err)
	return written, err
}

// ServeHTTP answers the question of another node for parts of limits.
func (o *offices) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxExchange))
	if err != nil {
		return
	}
	asked, err := wire.QuotaAskCodec.Decode(data)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	encoded, err := wire.QuotaAnswerCodec.Encode(o.answer(asked))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	bare(w)
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	_, _ = w.Write(encoded)
}

// answer gives a process its parts of the limits of a group.
func (o *offices) answer(asked *wire.QuotaAsk) *wire.QuotaAnswer {
	answer := &wire.QuotaAnswer{Allotments: []wire.QuotaAllotment{}}
	current := o.node.intent.Load()
	o.mutex.Lock()
	defer o.mutex.Unlock()
	one, now := o.held[asked.Shard], o.node.now()
	if one == nil || now >= o.right || current == nil {
		return answer
	}
	answer.Keeps = true
	if !one.keeper.Lists(asked.Holder) {
		o.join(asked.Shard, one, asked.Holder)
		return answer
	}
	answer.Listed, answer.Reign = true, one.reign
	process, left := asked.Holder+"/"+asked.Incarnation, o.right-now
	for index := range asked.Reports {
		report := reportOf(&asked.Reports[index])
		limit := quota.Limit{}
		if tenant := current.Tenant(report.Tenant); tenant != nil {
			limit = quota.Limit{Rate: tenant.Rate, Burst: tenant.Burst}
		}
		answer.Allotments = append(answer.Allotments, allotmentTo(one.keeper.Answer(now, asked.Holder, process, limit, report, left)))
	}
	if asked.Complete {
		one.keeper.Heard(now, asked.Holder)
	}
	return answer
}

// join has the name of a node kept that asks for the first time; it gets nothing before.
func (o *offices) join(shard int, one *office, name string) {
	one.joining[name] = true
	if one.writing {
		return
	}
	one.writing = true
	time.AfterFunc(listGather, func() { o.writeNames(shard, one) })
}

func (o *offices) writeNames(shard int, one *office) {
	o.mutex.Lock()
	names := one.keeper.Listed()
	added := make([]string, 0, len(one.joining))
	for name := range one.joining {
		added = append(added, name)
	}
	lease, revision, held := o.lease, one.revision, o.held[shard] == one
	o.mutex.Unlock()
	var written int64
	err := errors.New("no longer kept")
	if held && lease != nil {
		written, err = o.write(context.Background(), shard, lease.ID, append(names, added...), one.part, revision)
		if errors.Is(err, store.ErrUncertain) || errors.Is(err, store.ErrConflict) {
			written, err = o.lookAgain(shard, added)
		}
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	one.writing = false
	if err != nil {
		o.node.events.Add(eventlog.Keeper{Shard: shard, Change: "names not written", Reign: one.reign, Error: err.Error()}, eventlog.Failure)
		return // the nodes ask again
	}
	one.revision = written
	one.keeper.List(o.node.now(), added)
	for _, name := range added {
		delete(one.joining, name)
	}
	o.node.keepers.learn(o.record(shard, written))
}

// lookAgain reads the key after a write without an answer. Names that stand there count as
// written; a write that is done later changes nothing, since the next one goes by another
// revision.
func (o *offices) lookAgain(shard int, added []string) (int64, error) {
	item, record, err := o.read(context.Background(), shard)
	if err != nil {
		return 0, err
	}
	if record == nil || record.Incarnation != o.node.incarnation {
		return 0, errors.New("another node keeps the group")
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	one := o.held[shard]
	if one == nil {
		return 0, errors.New("no longer kept")
	}
	one.revision = item.Revision
	for _, name := range added {
		found := false
		for _, listed := range record.Listed {
			found = found || listed == name
		}
		if !found {
			return 0, errors.New("names are not in the store")
		}
	}
	return item.Revision, nil
}
