package quota

import (
	"maps"
	"slices"
	"time"
)

// Keeper allocates the limits of a set of tenants to nodes. It is not safe for concurrent use.
type Keeper struct {
	config      Config
	epoch       int64
	lastGrant   int64
	tenants     map[string]*tenantState
	maxFraction float64 // largest fraction of a limit in one share
	// listed maps each node that may hold shares to the expiry of its last one. The caller
	// persists the names for the next keeper.
	listed map[string]time.Duration
	// unreported are the predecessor's nodes that have not reported their shares yet. Each
	// is assumed to hold unreportedFraction of every limit until it reports or settledAt passes.
	unreported         map[string]bool
	unreportedFraction float64
	settledAt          time.Duration
	noPredecessor      bool // no shares existed at startedAt
	startedAt          time.Duration
}

// PreviousKeeper describes the previous keeper; the zero value means that none of its shares exist.
type PreviousKeeper struct {
	Listed      []string      // nodes that may hold shares
	MaxFraction float64       // largest fraction of a limit in one share
	ExpiresAt   time.Duration // expiry of the last share
}

// MaxShareFraction returns the largest fraction of a limit that one share may have among the given
// number of nodes. Nodes with more demand draw tokens from the pool. A smaller fraction reduces
// what a new keeper withholds for nodes that have not reported.
func MaxShareFraction(listed int) float64 { return min(maxEvenShares/float64(max(listed, 1)), 1) }

// maxEvenShares is the size limit of a share, as a multiple of an even split.
const maxEvenShares = 3

// NewKeeper returns a keeper that takes over at now. epoch distinguishes its grants from those
// of other keepers; part limits each share to a fraction of the limit. Pools start empty, since
// the usage before now is unknown.
func NewKeeper(config Config, epoch int64, now time.Duration, part float64, before PreviousKeeper) *Keeper {
	k := &Keeper{
		config: config, epoch: epoch, tenants: map[string]*tenantState{}, maxFraction: part, listed: map[string]time.Duration{},
		unreported: map[string]bool{}, unreportedFraction: before.MaxFraction, settledAt: before.ExpiresAt, noPredecessor: len(before.Listed) == 0, startedAt: now,
	}
	for _, node := range before.Listed {
		k.listed[node] = before.ExpiresAt
		k.unreported[node] = true
	}
	return k
}

// Unreported returns the predecessor's nodes that have not reported their shares.
func (k *Keeper) Unreported(now time.Duration) (names []string) {
	if now >= k.settledAt {
		return nil
	}
	for name := range k.unreported {
		names = append(names, name)
	}
	return names
}

// withheld returns the fraction of every limit reserved for nodes that have not reported.
func (k *Keeper) withheld(now time.Duration) float64 {
	if now >= k.settledAt {
		return 0
	}
	return k.unreportedFraction * float64(len(k.unreported))
}

// IsListed reports whether a node is among those that may hold shares.
func (k *Keeper) IsListed(node string) bool {
	_, listed := k.listed[node]
	return listed
}

// AddListed adds nodes that may hold shares. Their names must have been persisted.
func (k *Keeper) AddListed(now time.Duration, nodes []string) {
	for _, node := range nodes {
		k.listed[node] = now
	}
}

// Listed returns the sorted names of the nodes that may hold shares.
func (k *Keeper) Listed() []string { return slices.Sorted(maps.Keys(k.listed)) }

// Prune removes nodes that have held no share for span and reports whether there were any. They
// are listed again with their next request.
func (k *Keeper) Prune(now, span time.Duration) bool {
	before := len(k.listed)
	maps.DeleteFunc(k.listed, func(node string, ends time.Duration) bool {
		return now-ends >= span && (now >= k.settledAt || !k.unreported[node])
	})
	return len(k.listed) < before
}

// MarkReported records that a node has reported all its shares. Shares of an earlier process of the
// node ended with that process.
func (k *Keeper) MarkReported(now time.Duration, node string) {
	if !k.unreported[node] {
		return
	}
	for _, t := range k.tenants {
		t.refill(now, k.config, k.withheld(t.refilledAt))
	}
	delete(k.unreported, node)
}

// Allocate allocates a share and tokens to a process. life is the remaining time of the keeper's
// lease. The node must be listed.
func (k *Keeper) Allocate(now time.Duration, node, process string, limit Limit, report Report, life time.Duration) Allotment {
	t := k.tenant(now, report.Tenant, limit)
	p := t.process(process)
	p.applyReport(now, k.epoch, report)
	t.updateTotals(now, p)
	k.lastGrant++
	withheld := k.withheld(now)
	given := Allotment{Tenant: report.Tenant, Grant: GrantID{Epoch: k.epoch, Number: k.lastGrant}, TTL: life}
	given.Share = t.computeShare(k.config, p, k.maxFraction, withheld)
	offered := lease{grant: k.lastGrant, share: given.Share, expiresAt: now + life}
	p.addLease(offered)
	t.updateTotals(now, p)
	k.listed[node] = max(k.listed[node], offered.expiresAt)
	given.Tokens = t.drawTokens(now, k.config, p, report, offered, withheld)
	t.clampPool(k.config, withheld)
	p.shortfall = float64(max(report.Waiting-given.Tokens, 0))
	t.updateTotals(now, p)
	if p.shortfall > 0 {
		given.RetryAfter, given.Unsettled = t.retryAfter(withheld), withheld > 0
	}
	return given
}

// tenant returns the refilled state of a tenant with its current limit.
func (k *Keeper) tenant(now time.Duration, tenant string, limit Limit) *tenantState {
	t := k.tenants[tenant]
	if t == nil {
		t = &tenantState{limit: limit, refilledAt: now, processes: map[string]*processState{}}
		if k.noPredecessor {
			t.refilledAt = k.startedAt
		}
		k.tenants[tenant] = t
	}
	t.refill(now, k.config, k.withheld(t.refilledAt))
	t.limit = limit
	return t
}
