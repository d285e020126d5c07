package quota

import (
	"maps"
	"slices"
	"time"
)

// Keeper is the node that gives parts of the limits of some tenants. It is not safe for
// concurrent use.
type Keeper struct {
	config   Config
	epoch    int64
	number   int64               // of the last share given
	accounts map[string]*account // by tenant
	part     float64             // most of a limit that one share is
	// listed are the nodes that may hold shares, with the end of the last one; the driver
	// keeps their names where the next keeper finds them.
	listed map[string]time.Duration
	// awaited are the nodes of which it is not known what the keeper before gave them.
	// Each counts as holding the most that it may, before, of every limit, until it is
	// heard of or that has ended, at settled.
	awaited map[string]bool
	before  float64
	settled time.Duration
	clean   bool // nobody held anything at the begin
	began   time.Duration
}

// Before is what is known of the keeper before; the zero value: nobody holds anything of it.
type Before struct {
	Listed []string      // nodes that may hold shares
	Part   float64       // most of a limit that one share is
	Ends   time.Duration // when all shares have ended
}

// PartOf gives the most of a limit that a share may be where so many nodes are listed. A
// node to which more comes has tokens out of the pool. The smaller the part, the less is
// withheld for nodes that a new keeper has not heard of.
func PartOf(listed int) float64 { return min(evenParts/float64(max(listed, 1)), 1) }

// evenParts is the most that a share may be, in even parts of a limit.
const evenParts = 3

// NewKeeper makes a keeper that takes over at now. epoch tells its shares from those of
// other keepers, part is the most of a limit that one share of it is. Pools begin empty:
// what the time before has used up of a window is not known.
func NewKeeper(config Config, epoch int64, now time.Duration, part float64, before Before) *Keeper {
	k := &Keeper{
		config: config, epoch: epoch, accounts: map[string]*account{}, part: part, listed: map[string]time.Duration{},
		awaited: map[string]bool{}, before: before.Part, settled: before.Ends, clean: len(before.Listed) == 0, began: now,
	}
	for _, node := range before.Listed {
		k.listed[node] = before.Ends
		k.awaited[node] = true
	}
	return k
}

// Awaited gives the nodes of which it is not known what they hold.
func (k *Keeper) Awaited(now time.Duration) (names []string) {
	if now >= k.settled {
		return nil
	}
	for name := range k.awaited {
		names = append(names, name)
	}
	return names
}

// withheld is the part of every limit that counts as held by nodes that are awaited.
func (k *Keeper) withheld(now time.Duration) float64 {
	if now >= k.settled {
		return 0
	}
	return k.before * float64(len(k.awaited))
}

// Lists tells whether a node is among those that may hold shares.
func (k *Keeper) Lists(node string) bool {
	_, listed := k.listed[node]
	return listed
}

// List adds nodes to them, once their names are kept.
func (k *Keeper) List(now time.Duration, nodes []string) {
	for _, node := range nodes {
		k.listed[node] = now
	}
}

// Listed gives the names of the nodes that may hold shares.
func (k *Keeper) Listed() []string { return slices.Sorted(maps.Keys(k.listed)) }

// Prune drops the nodes that have held nothing for so long, and tells whether there were
// any. They are listed anew when they ask.
func (k *Keeper) Prune(now, span time.Duration) bool {
	before := len(k.listed)
	maps.DeleteFunc(k.listed, func(node string, ends time.Duration) bool {
		return now-ends >= span && (now >= k.settled || !k.awaited[node])
	})
	return len(k.listed) < before
}

// Heard notes that a node has told all that it holds. What an earlier process of the node
// held is gone with that process.
func (k *Keeper) Heard(now time.Duration, node string) {
	if !k.awaited[node] {
		return
	}
	for _, one := range k.accounts {
		one.refill(now, k.config, k.withheld(one.at))
	}
	delete(k.awaited, node)
}

// Answer gives a process of a node its part of a tenant's limit. life is how long the
// keeper's right to give lasts. The node must be listed.
func (k *Keeper) Answer(now time.Duration, node, process string, limit Limit, report Report, life time.Duration) Allotment {
	one := k.account(now, report.Tenant, limit)
	held := one.holding(process)
	held.confirm(now, k.epoch, report)
	one.count(now, held)
	k.number++
	withheld := k.withheld(now)
	given := Allotment{Tenant: report.Tenant, Grant: Grant{Epoch: k.epoch, Number: k.number}, Life: life}
	given.Share = one.share(k.config, held, k.part, withheld)
	offered := granted{number: k.number, share: given.Share, until: now + life}
	held.offer(offered)
	one.count(now, held)
	k.listed[node] = max(k.listed[node], offered.until)
	given.Tokens = one.draw(now, k.config, held, report, offered, withheld)
	one.clip(k.config, withheld)
	held.lacks = float64(max(report.Need-given.Tokens, 0))
	one.count(now, held)
	if held.lacks > 0 {
		given.Again, given.Unsettled = one.again(withheld), withheld > 0
	}
	return given
}

// account gives that of a tenant, filled up to now and with the limit in force.
func (k *Keeper) account(now time.Duration, tenant string, limit Limit) *account {
	one := k.accounts[tenant]
	if one == nil {
		one = &account{limit: limit, at: now, holdings: map[string]*holding{}}
		if k.clean {
			one.at = k.began
		}
		k.accounts[tenant] = one
	}
	one.refill(now, k.config, k.withheld(one.at))
	one.limit = limit
	return one
}

// Use is what is known of a tenant's limit, for operators.
type Use struct {
	Limit   Limit
	Demand  float64 // requests a second over all nodes that reported lately
	Shared  Share
	Holders int
	Pool    float64
}

// Use tells how a tenant's limit is dealt out; false: the keeper has had no report of it.
func (k *Keeper) Use(tenant string) (Use, bool) {
	one := k.accounts[tenant]
	if one == nil {
		return Use{}, false
	}
	return Use{Limit: one.limit, Shared: one.held, Holders: len(one.holdings), Pool: one.pool, Demand: one.demand}, true
}
