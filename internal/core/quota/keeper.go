package quota

import (
	"slices"
	"time"
)

// Keeper is the node that gives parts of the limits of some tenants. It is not safe for
// concurrent use.
type Keeper struct {
	config   Config
	reign    int64
	number   int64               // of the last share given
	accounts map[string]*account // by tenant
	// listed are the nodes that may hold shares; the driver keeps their names where the
	// next keeper finds them.
	listed map[string]bool
	// awaited are the nodes of which it is not known what the keeper before gave them;
	// nothing but what nodes say that they hold is given until none is left, or until
	// settled, when all of that has ended.
	awaited map[string]bool
	began   time.Duration // all that is given is known from then on
}

// NewKeeper makes a keeper that takes over at now. reign tells its shares from those of
// other keepers. listed are the nodes that may hold shares of the keeper before, which end
// at settled at the latest; none: nobody holds any. Pools begin empty: what the time before
// has used up of a window is not known.
func NewKeeper(config Config, reign int64, now time.Duration, listed []string, settled time.Duration) *Keeper {
	k := &Keeper{config: config, reign: reign, accounts: map[string]*account{}, listed: map[string]bool{}, awaited: map[string]bool{}, began: now}
	for _, node := range listed {
		k.listed[node] = true
		if now < settled {
			k.awaited[node] = true
		}
	}
	if len(k.awaited) > 0 {
		k.began = settled
	}
	return k
}

// Settled tells whether all that the keeper before may have given is known.
func (k *Keeper) Settled(now time.Duration) bool { return now >= k.began }

// Awaited gives the nodes of which it is not known what they hold.
func (k *Keeper) Awaited(now time.Duration) (names []string) {
	if k.Settled(now) {
		return nil
	}
	for name := range k.awaited {
		names = append(names, name)
	}
	return names
}

// Lists tells whether a node is among those that may hold shares.
func (k *Keeper) Lists(node string) bool { return k.listed[node] }

// List adds nodes to them, once their names are kept.
func (k *Keeper) List(nodes []string) {
	for _, node := range nodes {
		k.listed[node] = true
	}
}

// Listed gives the names of the nodes that may hold shares.
func (k *Keeper) Listed() []string {
	names := make([]string, 0, len(k.listed))
	for name := range k.listed {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Heard notes that a node has told all that it holds. What an earlier process of the node
// held is gone with that process.
func (k *Keeper) Heard(now time.Duration, node string) {
	delete(k.awaited, node)
	if len(k.awaited) == 0 {
		k.began = min(k.began, now)
	}
}

// unsettledRest is the pause of a node that an unsettled keeper has nothing for.
const unsettledRest = 150 * time.Millisecond

// Answer gives a process its part of a tenant's limit. life is how long the keeper's right
// to give lasts. Its node must be listed.
func (k *Keeper) Answer(now time.Duration, process string, limit Limit, report Report, life time.Duration) Allotment {
	one := k.account(now, report.Tenant, limit)
	held := one.holding(process)
	held.confirm(now, k.reign, report)
	k.number++
	given := Allotment{Tenant: report.Tenant, Grant: Grant{Reign: k.reign, Number: k.number}, Life: life}
	settled := k.Settled(now)
	switch {
	case settled:
		given.Share = one.share(now, k.config, held)
	case report.Left > 0:
		given.Share = report.Held
	}
	offered := granted{number: k.number, share: given.Share, until: now + life}
	held.offer(offered)
	if !settled {
		one.clip(now, k.config)
		given.Again, given.Unsettled = unsettledRest, true
		return given
	}
	given.Tokens = one.draw(now, k.config, held, report, offered)
	one.clip(now, k.config)
	if lacks := report.Need - given.Tokens; lacks > 0 {
		one.lacking += float64(lacks)
		given.Again = one.again(now)
	}
	return given
}

// account gives that of a tenant, filled up to now and with the limit in force.
func (k *Keeper) account(now time.Duration, tenant string, limit Limit) *account {
	one := k.accounts[tenant]
	if one == nil {
		one = &account{limit: limit, holdings: map[string]*holding{}}
		k.accounts[tenant] = one
	}
	// The pool gets nothing for the time before it is known what is in no share.
	one.at = max(one.at, min(k.began, now))
	one.refill(now, k.config)
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
func (k *Keeper) Use(now time.Duration, tenant string) (Use, bool) {
	one := k.accounts[tenant]
	if one == nil {
		return Use{}, false
	}
	return Use{Limit: one.limit, Shared: one.shared(now, nil), Holders: len(one.holdings), Pool: one.pool, Demand: one.demand(now)}, true
}
