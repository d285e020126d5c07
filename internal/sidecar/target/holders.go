package target

import (
	"time"

	"github.com/landingmast/landingmast/internal/core/slots"
)

const (
	// scarceLoad is the offered load above which a gate states who holds its slots: the setpoint of
	// core/pricing.
	scarceLoad = 0.95
	// holdersInterval is the shortest time between two statements.
	holdersInterval = 2 * time.Second
	// scarcityCheckInterval is the shortest time between two looks at the offered load, which costs a
	// pass over the queue.
	scarcityCheckInterval = 100 * time.Millisecond
	// maxHolders is the number of routes and of tenants that are stated one by one.
	maxHolders = 8
)

// Holders is who holds the slots of a target.
type Holders struct {
	Load            slots.Load // with the offered load
	Routes, Tenants []slots.Holder
}

// DueHolders returns who holds the slots of the target, if its offered load is above scarceLoad and
// nothing was returned in the last holdersInterval. It must be called when a request arrives.
func (g *Gate) DueHolders() (holders Holders, due bool) {
	now := g.now()
	if now < time.Duration(g.holdersDueAt.Load()) {
		return Holders{}, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if now < time.Duration(g.holdersDueAt.Load()) {
		return Holders{}, false // another request was first
	}
	offered := g.core.OfferedLoad(now)
	if offered <= scarceLoad {
		g.holdersDueAt.Store(int64(now + scarcityCheckInterval))
		return Holders{}, false
	}
	g.holdersDueAt.Store(int64(now + holdersInterval))
	holders.Load = g.core.Load(now)
	holders.Load.Offered = offered
	holders.Routes, holders.Tenants = g.core.Holders(maxHolders)
	return holders, true
}
